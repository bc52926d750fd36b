package gate

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/bluebellchute/bluebellchute/internal/backendconn"
	"github.com/bluebellchute/bluebellchute/internal/event"
)

// connectionsInterval is the pause between two records of opened connections.
const connectionsInterval = 10 * time.Second

// idleBuckets are the bounds of the idle times, in seconds. Connections whose
// peer states no idle timeout are given up after 0.7 s; stated timeouts are
// whole seconds, rarely more than a minute.
var idleBuckets = []float64{0.25, 0.5, 1, 2, 4, 8, 15, 30, 60}

// connections counts the connections opened to backend servers, by reason. Its
// methods may be called concurrently.
type connections struct {
	logger logrus.FieldLogger
	total  *prometheus.CounterVec
	idle   *prometheus.HistogramVec

	mu        sync.Mutex
	since     map[backendconn.Reason]int // since the last record
	idleSince map[backendconn.Reason]*idleTally
}

// idleTally sums up the idle times before openings of one reason, and the idle
// timeouts that the backend servers had stated, 0 for none.
type idleTally struct {
	Least       int64 `json:"least_ms"`
	Mean        int64 `json:"mean_ms"`
	Most        int64 `json:"most_ms"`
	StatedLeast int64 `json:"stated_least_ms"`
	StatedMost  int64 `json:"stated_most_ms"`

	count int64
	sum   time.Duration
}

func newConnections(logger logrus.FieldLogger, registerer prometheus.Registerer) *connections {
	c := &connections{
		logger: logger,
		total: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bluebell_gate_connections_opened_total",
			Help: "Connections opened to backend servers, by reason.",
		}, []string{"reason"}),
		idle: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "bluebell_gate_connection_idle_seconds",
			Help:    "Time from the last answer on an expired or closed connection to the opening of the next one.",
			Buckets: idleBuckets,
		}, []string{"reason"}),
	}
	c.reset()
	registerer.MustRegister(c.total, c.idle)
	return c
}

// newPool returns a pool whose openings are counted.
func newPool(counted *connections) *backendconn.Pool {
	pool := backendconn.NewPool()
	pool.OnOpen(counted.opened)
	return pool
}

func (c *connections) reset() {
	c.since = make(map[backendconn.Reason]int)
	c.idleSince = make(map[backendconn.Reason]*idleTally)
}

// opened counts a connection.
func (c *connections) opened(opening backendconn.Opening) {
	c.total.WithLabelValues(string(opening.Reason)).Inc()
	if opening.FollowsIdle() {
		c.idle.WithLabelValues(string(opening.Reason)).Observe(opening.Idle.Seconds())
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.since[opening.Reason]++
	if !opening.FollowsIdle() {
		return
	}
	known := c.idleSince[opening.Reason]
	if known == nil {
		known = &idleTally{}
		c.idleSince[opening.Reason] = known
	}
	known.add(opening)
}

func (t *idleTally) add(opening backendconn.Opening) {
	idle, stated := opening.Idle.Milliseconds(), opening.Stated.Milliseconds()
	if t.count == 0 {
		t.Least, t.StatedLeast = idle, stated
	}
	t.count++
	t.sum += opening.Idle
	t.Least, t.Most = min(t.Least, idle), max(t.Most, idle)
	t.StatedLeast, t.StatedMost = min(t.StatedLeast, stated), max(t.StatedMost, stated)
	t.Mean = t.sum.Milliseconds() / t.count
}

// run logs what was opened until the context ends.
func (c *connections) run(ctx context.Context) error {
	return every(ctx, connectionsInterval, c.write)
}

// write logs what was opened since the last call, if anything, and counts anew.
func (c *connections) write() {
	c.mu.Lock()
	opened, idle := c.since, c.idleSince
	c.reset()
	c.mu.Unlock()
	if len(opened) == 0 {
		return
	}
	event.GateConnections.Log(c.logger, logrus.Fields{"opened": opened, "idle": idle})
}
