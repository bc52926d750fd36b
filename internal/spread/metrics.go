package spread

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/bluebellchute/bluebellchute/internal/platform"
)

// metrics are the metrics of one manager.
type metrics struct {
	syncs [reasonCount]prometheus.Counter
	calls *prometheus.CounterVec
}

func newMetrics(registerer prometheus.Registerer, m *Manager) *metrics {
	syncs := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "bluebell_spread_syncs_total",
		Help: "Requests to peers by reason.",
	}, []string{"reason"})
	result := &metrics{calls: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "bluebell_platform_calls_total",
		Help: "Calls to the platform by kind. A watch counts once however long it waits.",
	}, []string{"call"})}
	for reason := range reasonCount {
		result.syncs[reason] = syncs.WithLabelValues(reason.String())
	}
	nodes := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "bluebell_spread_nodes",
		Help: "Nodes in the list of nodes.",
	}, func() float64 { return float64(len(m.Members().Nodes)) })
	registerer.MustRegister(syncs, result.calls, nodes)
	for id := range documentCount {
		registerer.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name:        "bluebell_spread_revision",
			Help:        "Revision in force.",
			ConstLabels: prometheus.Labels{"document": id.String()},
		}, func() float64 { return float64(m.replicas[id].Revision()) }))
	}
	return result
}

// countingAPI counts the calls to the platform.
type countingAPI struct {
	platform.API
	metrics *metrics
}

func (c countingAPI) count(call string) { c.metrics.calls.WithLabelValues(call).Inc() }

// Get implements platform.API.
func (c countingAPI) Get(ctx context.Context, key string) (platform.Object, error) {
	c.count("get")
	return c.API.Get(ctx, key)
}

// Put implements platform.API.
func (c countingAPI) Put(ctx context.Context, key string, data []byte, expect platform.Version) (platform.Version, error) {
	c.count("put")
	return c.API.Put(ctx, key, data, expect)
}

// Delete implements platform.API.
func (c countingAPI) Delete(ctx context.Context, key string, expect platform.Version) error {
	c.count("delete")
	return c.API.Delete(ctx, key, expect)
}

// List implements platform.API.
func (c countingAPI) List(ctx context.Context, prefix string) ([]platform.Object, platform.Version, error) {
	c.count("list")
	return c.API.List(ctx, prefix)
}

// Watch implements platform.API.
func (c countingAPI) Watch(ctx context.Context, prefix string, from platform.Version, wait time.Duration) ([]platform.Change, platform.Version, error) {
	c.count("watch")
	return c.API.Watch(ctx, prefix, from, wait)
}

// VMs implements platform.API.
func (c countingAPI) VMs(ctx context.Context) ([]platform.VM, error) {
	c.count("vms")
	return c.API.VMs(ctx)
}

func isCompacted(err error) bool { return errors.Is(err, platform.ErrCompacted) }
