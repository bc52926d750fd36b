package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/do/v2"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/bluebellchute/bluebellchute/cmd/internal/gatewiring"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/gate"
	"github.com/bluebellchute/bluebellchute/internal/inifile"
	"github.com/bluebellchute/bluebellchute/platform/standin"
)

const (
	// retryInterval is the time between two attempts of the first call.
	retryInterval = 50 * time.Millisecond
	// firstCallTimeout bounds the wait until a call is answered.
	firstCallTimeout = 20 * time.Second
)

// runPlatformSample runs a fleet as on the users' platform until the context ends:
// a stand-in for the store, two model engines, a plain service and a gate. It
// prints the welcome text once a call has been answered.
func runPlatformSample(ctx context.Context, callers fleet.Address, logger logrus.FieldLogger, out io.Writer) error {
	sample, err := standin.NewSample()
	if err != nil {
		return err
	}
	defer sample.Close()
	service, err := newGate(callers, sample.Address, logger)
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return service.Run(ctx) })
	group.Go(func() error {
		if err := awaitAnswer(ctx, sample, callers); err != nil {
			return err
		}
		_, err := fmt.Fprint(out, sample.Welcome(callers))
		return err
	})
	if err := group.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// newGate returns a gate that uses the store.
func newGate(callers, store fleet.Address, logger logrus.FieldLogger) (*gatewiring.Service, error) {
	allocator := newAddressAllocator(callers, store)
	readiness, err := allocator.next()
	if err != nil {
		return nil, err
	}
	peers, err := allocator.next()
	if err != nil {
		return nil, err
	}
	text := fmt.Sprintf("[node]\nname = dev\nzone = kitchen\n[listen]\ncallers = %s\nreadiness = %s\npeers = %s\n[store]\naddress = %s\n",
		callers, readiness, peers, store)
	config := new(gate.Config)
	if err := inifile.Parse("bluebell-dev", []byte(text), config); err != nil {
		return nil, err
	}
	injector := do.New()
	gatewiring.Wire(injector, config, "", logger)
	return do.Invoke[*gatewiring.Service](injector)
}

// awaitAnswer waits until a call has been answered.
func awaitAnswer(ctx context.Context, sample *standin.Sample, callers fleet.Address) error {
	ctx, cancel := context.WithTimeout(ctx, firstCallTimeout)
	defer cancel()
	for {
		answered, err := sample.TryCall(ctx, callers)
		if err != nil || answered {
			return err
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "the first call was not answered")
		case <-time.After(retryInterval):
		}
	}
}
