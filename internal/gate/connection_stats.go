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

// connectionLogInterval is the interval at which opened connections are logged.
const connectionLogInterval = 10 * time.Second

// idleBuckets are the histogram bounds of idle times, in seconds. Connections whose peer
// states no idle timeout are closed after 0.7 s; stated timeouts are whole seconds, rarely
// more than a minute.
var idleBuckets = []float64{0.25, 0.5, 1, 2, 4, 8, 15, 30, 60}

// connectionStats counts the connections opened to backend servers, by reason. Its methods
// may be called concurrently.
type connectionStats struct {
	logger logrus.FieldLogger
	total  *prometheus.CounterVec
	idle   *prometheus.HistogramVec

	mu             sync.Mutex
	openedByReason map[backendconn.Reason]int // since the last log entry
	idleByReason   map[backendconn.Reason]*idleTimes
}

// idleTimes summarizes the idle times before connections were opened for one reason, and
// the idle timeouts that the backend servers had stated, 0 for none.
type idleTimes struct {
	Min       int64 `json:"least_ms"`
	Mean      int64 `json:"mean_ms"`
	Max       int64 `json:"most_ms"`
	StatedMin int64 `json:"stated_least_ms"`
	StatedMax int64 `json:"stated_most_ms"`

	count int64
	sum   time.Duration
}

func newConnectionStats(logger logrus.FieldLogger, registerer prometheus.Registerer) *connectionStats {
	c := &connectionStats{
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

// newPool returns a pool that reports its opened connections to counted.
func newPool(counted *connectionStats) *backendconn.Pool {
	pool := backendconn.NewPool()
	pool.OnOpen(counted.opened)
	return pool
}

func (c *connectionStats) reset() {
	c.openedByReason = make(map[backendconn.Reason]int)
	c.idleByReason = make(map[backendconn.Reason]*idleTimes)
}

// opened counts an opened connection.
func (c *connectionStats) opened(opening backendconn.Opening) {
	c.total.WithLabelValues(string(opening.Reason)).Inc()
	if opening.FollowsIdle() {
		c.idle.WithLabelValues(string(opening.Reason)).Observe(opening.IdleTime.Seconds())
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.openedByReason[opening.Reason]++
	if !opening.FollowsIdle() {
		return
	}
	times := c.idleByReason[opening.Reason]
	if times == nil {
		times = &idleTimes{}
		c.idleByReason[opening.Reason] = times
	}
	times.add(opening)
}

func (t *idleTimes) add(opening backendconn.Opening) {
	idle, stated := opening.IdleTime.Milliseconds(), opening.StatedTimeout.Milliseconds()
	if t.count == 0 {
		t.Min, t.StatedMin = idle, stated
	}
	t.count++
	t.sum += opening.IdleTime
	t.Min, t.Max = min(t.Min, idle), max(t.Max, idle)
	t.StatedMin, t.StatedMax = min(t.StatedMin, stated), max(t.StatedMax, stated)
	t.Mean = t.sum.Milliseconds() / t.count
}

// run logs the opened connections periodically until the context ends.
func (c *connectionStats) run(ctx context.Context) error {
	return every(ctx, connectionLogInterval, c.logOpened)
}

// logOpened logs the connections opened since the last call, if any, and resets the counts.
func (c *connectionStats) logOpened() {
	c.mu.Lock()
	opened, idle := c.openedByReason, c.idleByReason
	c.reset()
	c.mu.Unlock()
	if len(opened) == 0 {
		return
	}
	event.GateConnections.Log(c.logger, logrus.Fields{"opened": opened, "idle": idle})
}
