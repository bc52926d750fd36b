package daemon

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/samber/do/v2"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/bluebellchute/bluebellchute/internal/control"
)

// Incarnation is the start time of a node in Unix nanoseconds. It is higher
// after each restart, so peers can recognize a restarted node.
type Incarnation uint64

// NewInjector returns an injector that provides what every node needs: the
// common sections (*Common), logrus.FieldLogger, prometheus.Registerer and
// Gatherer, *Readiness, Incarnation, *control.Metrics, *control.Server and
// *control.Pool. The node's Wire function adds the rest.
func NewInjector(config *Common, logger logrus.FieldLogger) do.Injector {
	injector := do.New()
	registry := prometheus.NewRegistry()
	do.ProvideValue(injector, config)
	do.ProvideValue(injector, logger)
	do.ProvideValue[prometheus.Registerer](injector, registry)
	do.ProvideValue[prometheus.Gatherer](injector, registry)
	do.ProvideValue(injector, NewReadiness())
	do.ProvideValue(injector, Incarnation(time.Now().UnixNano()))
	do.ProvideValue(injector, control.NewMetrics(registry))
	do.Provide(injector, newControlServer)
	do.Provide(injector, newControlPool)
	return injector
}

// RegisterProcessMetrics adds the metrics of the Go runtime and the process.
// With several nodes in one process, only one of them should register them.
func RegisterProcessMetrics(injector do.Injector) {
	registerer := do.MustInvoke[prometheus.Registerer](injector)
	registerer.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
}

func newControlServer(injector do.Injector) (*control.Server, error) {
	config := do.MustInvoke[*Common](injector)
	return control.NewServer(control.ServerConfig{
		Address:   config.Node.Control,
		Token:     config.Control.Token,
		Metrics:   do.MustInvoke[*control.Metrics](injector),
		Gatherer:  do.MustInvoke[prometheus.Gatherer](injector),
		Readiness: do.MustInvoke[*Readiness](injector),
	}), nil
}

func newControlPool(injector do.Injector) (*control.Pool, error) {
	config := do.MustInvoke[*Common](injector)
	return control.NewPool(config.Control.Token, do.MustInvoke[*control.Metrics](injector)), nil
}

// Node runs a role's service together with the node's control port.
type Node struct {
	service   Service
	server    *control.Server
	pool      *control.Pool
	readiness *Readiness
}

// NewNode builds the Service that the Wire function has provided. All twirp
// services are registered when it returns.
func NewNode(injector do.Injector) (*Node, error) {
	service, err := do.Invoke[Service](injector)
	if err != nil {
		return nil, errors.Wrap(err, "wiring")
	}
	return &Node{
		service:   service,
		server:    do.MustInvoke[*control.Server](injector),
		pool:      do.MustInvoke[*control.Pool](injector),
		readiness: do.MustInvoke[*Readiness](injector),
	}, nil
}

// Run implements Service. The control port opens first, so that a port already
// in use fails the node before it registers itself, and closes last, so that
// peers get replies until the service has finished.
func (n *Node) Run(ctx context.Context) error {
	if err := n.server.Listen(); err != nil {
		return err
	}
	defer n.pool.Close()
	serverCtx, stopServer := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServer()
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error { return n.server.Run(serverCtx) })
	group.Go(func() error {
		defer stopServer()
		return n.service.Run(groupCtx)
	})
	return group.Wait()
}

// Drain implements Service.
func (n *Node) Drain(ctx context.Context) error {
	n.readiness.SetDraining()
	return n.service.Drain(ctx)
}
