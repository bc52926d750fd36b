package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/do/v2"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/bluebellchute/bluebellchute/cmd/internal/gatewiring"
	"github.com/bluebellchute/bluebellchute/internal/emulator"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/gate"
	"github.com/bluebellchute/bluebellchute/internal/inifile"
	"github.com/bluebellchute/bluebellchute/platform"
	"github.com/bluebellchute/bluebellchute/platform/standin"
)

const (
	// plainWork is how long the sample's plain service works on a request.
	plainWork = 30 * time.Millisecond
	// tryPause is the pause between two tries of the first call.
	tryPause = 50 * time.Millisecond
	// tryMost bounds the wait for the first answer.
	tryMost = 20 * time.Second
)

// platformSample is a fleet as it runs on the users' platform: a stand-in of
// the platform's store, two model engines, a plain service and a gate.
type platformSample struct {
	callers fleet.Address
	store   *standin.Store
	servers []*http.Server
	address fleet.Address // of the store
	stop    chan struct{} // ends the engines
}

// runPlatformSample runs the fleet until the context ends. It prints calls that
// work once the first of them has been answered.
func runPlatformSample(ctx context.Context, callers fleet.Address, logger logrus.FieldLogger, out io.Writer) error {
	sample := &platformSample{callers: callers, store: standin.NewStore(), stop: make(chan struct{})}
	defer sample.close()
	if err := sample.start(); err != nil {
		return err
	}
	service, err := sample.gate(logger)
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return service.Run(ctx) })
	group.Go(func() error {
		if err := sample.await(ctx); err != nil {
			return err
		}
		sample.printWelcome(out)
		return nil
	})
	if err := group.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// start starts the store and the backend servers and writes the configuration.
func (s *platformSample) start() error {
	var err error
	if s.address, err = s.serve(s.store); err != nil {
		return err
	}
	for _, id := range []string{"engine-1", "engine-2"} {
		replica := standin.NewModelReplica(id, emulator.DefaultConfig(), s.stop)
		if err := s.register(id, "sample-lm", 64, replica); err != nil {
			return err
		}
	}
	if err := s.register("board-1", "line-board", 6, standin.NewPlainReplica("board-1", plainWork)); err != nil {
		return err
	}
	s.store.Put(platform.KindConfig, "main", sampleConfiguration)
	return nil
}

// serve serves the handler on a free port of loopback.
func (s *platformSample) serve(handler http.Handler) (fleet.Address, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.WithStack(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(listener) }() // ends with close
	return fleet.Address(listener.Addr().String()), nil
}

func (s *platformSample) register(id, service string, slots int, replica *standin.Replica) error {
	address, err := s.serve(replica)
	if err != nil {
		return err
	}
	s.store.Put(platform.KindServers, id, map[string]any{
		"service": service, "address": address, "zone": "kitchen", "slots": slots, "state": "ready",
	})
	return nil
}

// sampleConfiguration is what an operator would have written.
var sampleConfiguration = map[string]any{
	"version": 1,
	"routes": []map[string]any{
		{
			"name": "scale-up", "host": "recipes.example", "path_prefix": "/scale/", "type": "streaming", "service": "sample-lm",
			"timeout_ms": 15000, "target_latency_ms": 1000, "target_gap_ms": 300, "max_attempts": 2, "resumable": true, "sticky": true,
		},
		{
			"name": "sheet", "host": "recipes.example", "path_prefix": "/sheet/", "type": "unsafe", "service": "line-board",
			"timeout_ms": 800, "target_latency_ms": 150, "max_attempts": 1, "public": true,
		},
	},
	"services": []map[string]any{
		{"name": "sample-lm", "max_connections": 370, "runtime": map[string]any{"slots": 64, "kv_capacity": 580000, "stride": 6}},
		{"name": "line-board", "max_connections": 110},
	},
	"limits": map[string]any{
		"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tokens_per_s": 40000,
	},
	"tenants": []map[string]any{{"name": "kitchen", "api_keys": []string{"kitchen-key"}}},
}

// gate returns a gate for the sample.
func (s *platformSample) gate(logger logrus.FieldLogger) (*gatewiring.Service, error) {
	used := newAddresses(s.callers, s.address)
	readiness, err := used.next()
	if err != nil {
		return nil, err
	}
	peers, err := used.next()
	if err != nil {
		return nil, err
	}
	text := fmt.Sprintf("[node]\nname = dev\nzone = kitchen\n[listen]\ncallers = %s\nreadiness = %s\npeers = %s\n[store]\naddress = %s\n",
		s.callers, readiness, peers, s.address)
	config := new(gate.Config)
	if err := inifile.Parse("bluebell-dev", []byte(text), config); err != nil {
		return nil, err
	}
	injector := do.New()
	gatewiring.Wire(injector, config, "", logger)
	return do.Invoke[*gatewiring.Service](injector)
}

// await waits until a call has been answered.
func (s *platformSample) await(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, tryMost)
	defer cancel()
	for {
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+string(s.callers)+"/sheet/1", nil)
		if err != nil {
			return errors.WithStack(err)
		}
		request.Host = "recipes.example"
		request.Header.Set("X-Bluebellchute-Attempt-Id", "first")
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "the first call was not answered")
		case <-time.After(tryPause):
		}
	}
}

func (s *platformSample) printWelcome(out io.Writer) {
	fmt.Fprintf(out, `A fleet runs on loopback: a stand-in of the platform's store, two model
engines, a plain service and a gate.

A stream of a model, for the account "kitchen":

    curl -sN http://%[1]s/scale/stew -H 'Host: recipes.example' \
      -H 'X-Bluebellchute-Key: kitchen-key' -H 'X-Bluebellchute-Attempt-Id: a1' \
      -H 'X-Bluebellchute-Token-Usage: 1460,80' \
      -H 'X-Bluebellchute-Prompt-Prefix: 5c1e:800,91bd:410,e440:250' -d 'Scale the stew to 400 portions.'

A call of the plain service, which needs no key:

    curl -si http://%[1]s/sheet/1 -H 'Host: recipes.example' -H 'X-Bluebellchute-Attempt-Id: a2' -d ''

Ctrl-C ends it; nothing is kept.
`, s.callers)
}

func (s *platformSample) close() {
	close(s.stop)
	for _, server := range s.servers {
		_ = server.Close() // the process ends
	}
}
