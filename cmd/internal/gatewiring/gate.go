// Package gatewiring assembles the components of a router.
package gatewiring

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/samber/do/v2"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/bluebellchute/bluebellchute/internal/daemon"
	"github.com/bluebellchute/bluebellchute/internal/gate"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
	"github.com/bluebellchute/bluebellchute/internal/peering"
	"github.com/bluebellchute/bluebellchute/internal/streamorigin"
	"github.com/bluebellchute/bluebellchute/platform"
)

// Wire registers the router's components with the injector. path is the settings file, which
// is reloaded when it changes; "" for none.
func Wire(injector do.Injector, config *gate.Config, path string, logger logrus.FieldLogger) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector())
	do.ProvideValue(injector, config)
	do.ProvideValue(injector, logger)
	do.ProvideValue(injector, registry)
	do.ProvideValue(injector, daemon.NewReadiness())
	do.ProvideValue(injector, newState(config))
	do.ProvideValue(injector, platform.NewStore(config.Store.Address))
	do.ProvideValue(injector, newJournal(config))
	do.Provide(injector, newPeering)
	do.Provide(injector, newGate)
	do.ProvideValue(injector, &daemon.Reloader{
		Path:      path,
		Logger:    logger,
		NewConfig: func() any { return new(gate.Config) },
	})
	do.Provide(injector, newService)
}

func newState(config *gate.Config) *knowledge.State {
	state := knowledge.NewState()
	if config.Node.NewFleet {
		state.SetNewFleet()
	}
	return state
}

// newJournal returns the journal of the origins of streams, nil if the store keeps none.
func newJournal(config *gate.Config) *streamorigin.Journal {
	records := platform.MaxOriginRecords(config.Store.MaxValueBytes)
	if config.Store.WritesPerS == 0 || records == 0 {
		return nil
	}
	return streamorigin.NewJournal(records)
}

func newPeering(injector do.Injector) (*peering.Manager, error) {
	config := do.MustInvoke[*gate.Config](injector)
	logger := do.MustInvoke[logrus.FieldLogger](injector)
	return peering.NewManager(peering.Options{
		Address:     config.Listen.Peers,
		Zone:        config.Node.Zone,
		Seeds:       config.Peers.Seeds,
		Incarnation: uint64(time.Now().UnixNano()),
		Directory:   platform.NewDirectory(do.MustInvoke[*platform.Store](injector), config.Node.Name, config.Node.Zone, logger),
		State:       do.MustInvoke[*knowledge.State](injector),
		Logger:      logger,
		Journal:     do.MustInvoke[*streamorigin.Journal](injector),
		StoreWrites: config.Store.WritesPerS,
	}), nil
}

func newGate(injector do.Injector) (*gate.Manager, error) {
	config := do.MustInvoke[*gate.Config](injector)
	peers := do.MustInvoke[*peering.Manager](injector)
	manager := gate.NewManager(gate.Options{
		Settings:    config.Settings(),
		VM:          config.Node.Name,
		Callers:     config.Listen.Callers,
		Zone:        config.Node.Zone,
		Connections: config.VM.MaxConnections(),
		Grace:       config.Bounds.Grace,
		Dialect:     platform.Dialect{},
		State:       do.MustInvoke[*knowledge.State](injector),
		Peers:       peers,
		Streams:     peers,
		Readiness:   do.MustInvoke[*daemon.Readiness](injector),
		Registerer:  do.MustInvoke[*prometheus.Registry](injector),
		Logger:      do.MustInvoke[logrus.FieldLogger](injector),
	})
	peers.SetLocal(manager)
	return manager, nil
}

// Service runs all components of a router.
type Service struct {
	config    *gate.Config
	store     *platform.Store
	logger    logrus.FieldLogger
	gate      *gate.Manager
	peers     *peering.Manager
	watcher   *platform.Watcher
	origins   *platform.OriginStore  // nil if the store keeps no origins of streams
	segments  *platform.SegmentStore // likewise for refused prompt segments
	readiness *daemon.Readiness
	registry  *prometheus.Registry
	reloader  *daemon.Reloader
}

func newService(injector do.Injector) (*Service, error) {
	config := do.MustInvoke[*gate.Config](injector)
	manager := do.MustInvoke[*gate.Manager](injector)
	reloader := do.MustInvoke[*daemon.Reloader](injector)
	reloader.Apply = func(config any) { manager.ApplyConfig(config.(*gate.Config).Settings()) }
	store := do.MustInvoke[*platform.Store](injector)
	registry := do.MustInvoke[*prometheus.Registry](injector)
	store.Register(registry)
	peers := do.MustInvoke[*peering.Manager](injector)
	peers.Register(registry)
	return &Service{
		config:    config,
		store:     store,
		logger:    do.MustInvoke[logrus.FieldLogger](injector),
		gate:      manager,
		peers:     peers,
		watcher:   newWatcher(injector, config, store),
		origins:   newOriginStore(injector, config, store),
		segments:  newSegmentStore(injector, config, store),
		readiness: do.MustInvoke[*daemon.Readiness](injector),
		registry:  registry,
		reloader:  reloader,
	}, nil
}

func newWatcher(injector do.Injector, config *gate.Config, store *platform.Store) *platform.Watcher {
	watcher := platform.NewWatcher(
		store,
		do.MustInvoke[*knowledge.State](injector),
		platform.Bounds{Apply: config.Bounds.ShortestBound(), Revoke: config.Bounds.Revoke, Evacuate: config.Bounds.Evacuate},
		do.MustInvoke[*peering.Manager](injector),
		do.MustInvoke[logrus.FieldLogger](injector),
	)
	if config.Node.NewFleet {
		watcher.DeferFirstLists()
	}
	return watcher
}

func newOriginStore(injector do.Injector, config *gate.Config, store *platform.Store) *platform.OriginStore {
	journal := do.MustInvoke[*streamorigin.Journal](injector)
	if journal == nil {
		return nil
	}
	peers, logger := do.MustInvoke[*peering.Manager](injector), do.MustInvoke[logrus.FieldLogger](injector)
	origins := platform.NewOriginStore(store, config.Node.Name, journal, peers, logger)
	origins.Register(do.MustInvoke[*prometheus.Registry](injector))
	return origins
}

func newSegmentStore(injector do.Injector, config *gate.Config, store *platform.Store) *platform.SegmentStore {
	if config.Store.WritesPerS == 0 {
		return nil
	}
	table, peers := do.MustInvoke[*gate.Manager](injector).SegmentTable(), do.MustInvoke[*peering.Manager](injector)
	segments := platform.NewSegmentStore(store, config.Store.WritesPerS, table, peers, do.MustInvoke[logrus.FieldLogger](injector))
	segments.Register(do.MustInvoke[*prometheus.Registry](injector))
	return segments
}

// Run implements daemon.Service.
func (s *Service) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	if s.reloader.Path != "" {
		group.Go(func() error { return s.reloader.Run(ctx) })
	}
	group.Go(func() error { return s.watcher.Run(ctx) })
	group.Go(func() error { return s.store.LogCalls(ctx, s.logger) })
	group.Go(func() error { return s.peers.Run(ctx) })
	if s.origins != nil {
		group.Go(func() error { return s.origins.Run(ctx, s.config.Node.NewFleet) })
	}
	if s.segments != nil {
		group.Go(func() error { return s.segments.Run(ctx, s.config.Node.NewFleet) })
	}
	group.Go(func() error { return s.gate.Run(ctx) })
	group.Go(func() error {
		return gate.ServeReadiness(ctx, s.config.Listen.Readiness, s.config.Listen.ReadinessPath, s.readiness)
	})
	if s.config.Listen.Metrics != "" {
		group.Go(func() error { return gate.ServeMetrics(ctx, s.config.Listen.Metrics, s.registry) })
	}
	return group.Wait()
}

// Drain implements daemon.Service.
func (s *Service) Drain(ctx context.Context) error { return s.gate.Drain(ctx) }
