package main

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/bluebellchute/bluebellchute/internal/daemon"
	"github.com/bluebellchute/bluebellchute/internal/engine"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/platform"
	"github.com/bluebellchute/bluebellchute/internal/settings"
)

const (
	// operator is the author of the first edit in the settings' history.
	operator = "bluebell-dev"
	// shutdownTimeout bounds the shutdown of the platform.
	shutdownTimeout = time.Second
	// modelSlots and plainSlots are the numbers of requests that a backend server
	// runs concurrently.
	modelSlots = 4
	plainSlots = 16
)

// sample is a complete fleet in one process.
type sample struct {
	logger    logrus.FieldLogger
	addresses *addressAllocator
	listener  net.Listener // of the platform
	platform  *platform.Server
	engines   []*engine.Engine
	nodes     []*daemon.Node
	readiness []*daemon.Readiness
	welcome   welcomeValues
}

// newSample creates all components without starting them. The ports of the
// platform and of the backend servers are open when it returns.
func newSample(callers fleet.Address, logger logrus.FieldLogger) (*sample, error) {
	s := &sample{logger: logger, addresses: newAddressAllocator(callers)}
	if err := s.addPlatform(); err != nil {
		return nil, err
	}
	s.welcome.Callers = callers
	if err := s.addRouter(callers); err != nil {
		return nil, err
	}
	for _, backend := range []engine.Config{
		{Name: string(modelService), Slots: modelSlots},
		{Name: string(modelService), Slots: modelSlots},
		{Name: string(plainService), Slots: plainSlots, Plain: true},
	} {
		if err := s.addBackend(backend); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// addPlatform creates the platform with the sample settings.
func (s *sample) addPlatform() error {
	store := platform.NewStore(platform.StoreOptions{NodesMakeVMs: true})
	result := settings.Bootstrap(context.Background(), store, settingsText(), operator)
	if result.Err != nil {
		return errors.Wrap(result.Err, "sample settings")
	}
	listener, err := net.Listen("tcp", anyPort)
	if err != nil {
		return errors.Wrap(err, "platform")
	}
	s.listener = listener
	s.platform = platform.NewServer(store)
	s.welcome.Platform = fleet.Address(listener.Addr().String())
	return nil
}

// addBackend creates a backend server and its agent.
func (s *sample) addBackend(config engine.Config) error {
	backend, err := engine.Listen(config, anyPort)
	if err != nil {
		return err
	}
	s.engines = append(s.engines, backend)
	return s.addAgent(fleet.Service(config.Name), fleet.Address(backend.Address()))
}

// run runs the fleet until the context ends or a component fails. It calls
// started once the fleet has answered a call of each service.
func (s *sample) run(ctx context.Context, started func(welcomeValues)) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.runPlatform(ctx) })
	for _, backend := range s.engines {
		group.Go(func() error { return backend.Run(ctx) })
	}
	for _, node := range s.nodes {
		group.Go(func() error { return node.Run(ctx) })
	}
	group.Go(func() error {
		if err := s.awaitReady(ctx); err != nil {
			return err
		}
		started(s.welcome)
		return nil
	})
	err := group.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func (s *sample) runPlatform(ctx context.Context) error {
	ended := make(chan error, 1)
	go func() { ended <- s.platform.Serve(s.listener) }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	return s.platform.Shutdown(limited)
}
