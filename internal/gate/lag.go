package gate

import (
	"context"
	"math"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/event"
)

const (
	// lagInterval is the interval between two measurements.
	lagInterval = 50 * time.Millisecond
	// lagWeight is the weight of the newest measurement in the average.
	lagWeight = 0.2
	// maxLag bounds one measurement, so that a single suspension of the whole VM, which is
	// over by the time it is measured, does not count as overload.
	maxLag = 120 * time.Millisecond
	// overloadLag is the average lag above which the router counts as overloaded. A request
	// waits for the processor several times.
	overloadLag = 30 * time.Millisecond
	// stallLag is the lag from which a measurement still in progress counts as a stall,
	// during which connections are refused. With a higher value requests in progress stall
	// for seconds.
	stallLag = 40 * time.Millisecond
	// recoveredLag is the average lag below which the router accepts more again.
	recoveredLag = 10 * time.Millisecond
	// The share of requests that are accepted is multiplied by shareDecrease after each
	// measurement above overloadLag, but not below minAcceptedShare, and raised by
	// shareIncrease after each measurement below recoveredLag. A refusal costs a good part
	// of what an answer costs, so a lower minAcceptedShare would gain little.
	shareDecrease    = 0.8
	minAcceptedShare = 0.3
	shareIncrease    = 0.01
	// withinShareLimit is the accepted share of requests down to which only requests beyond
	// their accounts' shares are refused.
	withinShareLimit = 0.5
	// recoveryDelay is the minimum time after the last overload until the router stops
	// counting as overloaded. The load balancer needs two seconds to notice a change.
	recoveryDelay = 3 * time.Second
)

// lagMeter measures how long a goroutine waits for the processor, to detect that a router
// gets more callers than it can serve. Callers are spread over routers by a hash, so one
// router may get many times as many as the others.
//
// Goroutines that are woken by a timer or another goroutine run first. Those that wait for
// the network are in the queue that a goroutine joins when it yields; on a busy processor
// they wait there for seconds while new requests are read and forwarded immediately.
// Therefore the meter yields and measures that, rather than a timer.
//
// The share of accepted requests is reduced step by step rather than to zero: all callers
// of an account may come to one router. If that refused all of them, the account would get
// less than half its share for as long as the load balancer moves them from one small VM to
// the next.
type lagMeter struct {
	logger          logrus.FieldLogger
	sheddingSeconds prometheus.Counter // time in which connections were refused

	overloaded        atomic.Bool
	acceptedShareBits atomic.Uint64    // share of requests that are accepted, as bits of a float64
	yieldedAt         atomic.Int64     // boottime.Instant of the yield in progress, 0 for none
	averageLag        atomic.Int64     // nanoseconds
	lastShed          atomic.Int64     // boottime.Instant when connections were last refused
	lastOverload      boottime.Instant // when an overload was last seen
	stalls            stallTracker
}

func newLagMeter(logger logrus.FieldLogger, registerer prometheus.Registerer) *lagMeter {
	m := &lagMeter{
		logger: logger,
		sheddingSeconds: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "bluebell_gate_turned_away_seconds_total",
			Help: "Time in which connections of callers were turned away because the processor was busy.",
		}),
	}
	registerer.MustRegister(m.sheddingSeconds)
	m.setAcceptedShare(1)
	return m
}

func (m *lagMeter) acceptedShare() float64 { return math.Float64frombits(m.acceptedShareBits.Load()) }

func (m *lagMeter) setAcceptedShare(share float64) {
	m.acceptedShareBits.Store(math.Float64bits(share))
}

// run measures until the context ends.
func (m *lagMeter) run(ctx context.Context) error {
	return every(ctx, lagInterval, func() {
		before := boottime.Now()
		m.stalls.tick(before)
		m.yieldedAt.Store(int64(before))
		runtime.Gosched()
		m.yieldedAt.Store(0)
		now := boottime.Now()
		m.observe(now.Sub(before), now)
	})
}

// observe records one measurement.
func (m *lagMeter) observe(lag time.Duration, now boottime.Instant) {
	lag = min(lag, maxLag)
	average := time.Duration(m.averageLag.Load())
	average += time.Duration(lagWeight * float64(lag-average))
	m.averageLag.Store(int64(average))
	if shedAt := boottime.Instant(m.lastShed.Load()); shedAt > m.lastOverload {
		m.lastOverload = shedAt
		m.overloaded.Store(true)
	}
	switch {
	case average > overloadLag:
		m.lastOverload = now
		m.overloaded.Store(true)
		m.setAcceptedShare(max(m.acceptedShare()*shareDecrease, minAcceptedShare))
	case average < recoveredLag:
		m.setAcceptedShare(min(m.acceptedShare()+shareIncrease, 1))
		if now.Sub(m.lastOverload) > recoveryDelay {
			m.overloaded.Store(false)
		}
	}
}

// busy reports whether the processor is overloaded.
func (m *lagMeter) busy(now boottime.Instant) bool { return m.overloaded.Load() || m.stalledAt(now) }

// stalledAt reports whether a measurement in progress has exceeded stallLag.
func (m *lagMeter) stalledAt(now boottime.Instant) bool {
	yielded := boottime.Instant(m.yieldedAt.Load())
	return yielded != 0 && now.Sub(yielded) > stallLag
}

// stalled reports whether goroutines are stalled now.
func (m *lagMeter) stalled() bool { return m.stalledAt(boottime.Now()) }

// accepts reports whether a request is accepted; drawn is uniform in [0, 1). Requests
// beyond their accounts' shares are refused first, and those within them only once no
// others are accepted: a flood from one account must not cost others their shares.
// withinShare reports whether the request is within its account's share; it is only called
// while some requests are refused.
func (m *lagMeter) accepts(now boottime.Instant, withinShare func() bool, drawn float64) bool {
	if m.stalledAt(now) {
		return false
	}
	accepted := m.acceptedShare()
	switch {
	case accepted >= 1:
		return true
	case withinShare():
		return drawn < accepted/withinShareLimit
	}
	return drawn < (accepted-withinShareLimit)/(1-withinShareLimit)
}

// recordShedding records that connections are refused because of the lag, so that the load
// balancer learns of it.
func (m *lagMeter) recordShedding() { m.lastShed.Store(int64(boottime.Now())) }

// recordRecovery records that connections are accepted again, and for how long they were
// not.
func (m *lagMeter) recordRecovery(refusedFor time.Duration) {
	m.sheddingSeconds.Add(refusedFor.Seconds())
	event.GateLoadShed.Log(m.logger, logrus.Fields{"duration_ms": refusedFor.Milliseconds()})
}

// recovered reports whether requests get the processor without delay again.
func (m *lagMeter) recovered() bool {
	return time.Duration(m.averageLag.Load()) < recoveredLag && !m.stalled()
}
