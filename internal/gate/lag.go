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
	// lagInterval is the pause between two measurements.
	lagInterval = 50 * time.Millisecond
	// lagWeight is the weight of the newest measurement in the average.
	lagWeight = 0.2
	// maxLag bounds one measurement, so that a single standstill of the whole
	// VM, which is over when it is seen, does not count as overload.
	maxLag = 120 * time.Millisecond
	// overloadLag is the average lag from which the router leaves callers
	// to others. A request waits for its turn several times.
	overloadLag = 30 * time.Millisecond
	// stallLag is the lag from which a measurement that is not over yet counts
	// as overload, and callers are turned away. With a longer one requests in hand
	// stand for seconds.
	stallLag = 40 * time.Millisecond
	// recoveredLag is the average lag at which it takes callers again.
	recoveredLag = 10 * time.Millisecond
	// shareDecrease is what is left of the share of requests that are taken after
	// each measurement above overloadedFrom, shareLeast bounds it, and
	// shareIncrease is added after each measurement below relievedAt. A refusal costs a good
	// part of what an answer costs, so a smaller least share gains little time.
	shareDecrease = 0.8
	minShare      = 0.3
	shareIncrease = 0.01
	// owedShare is the share down to which only requests beyond the shares are
	// cut.
	owedShare = 0.5
	// minOverload is the least time in between. The balancer needs two
	// seconds to notice either.
	minOverload = 3 * time.Second
)

// lagMeter measures how long a goroutine waits for its turn, to notice a router
// that gets more callers than its processor can serve. Callers are spread over
// routers by a hash, so one may get many times what the others get.
//
// Goroutines that a timer or another goroutine wakes run first. Those that wait
// for the network stand in the queue that a goroutine joins when it yields; on
// a busy processor they wait for seconds there, while new requests are read and
// sent on at once. So it is the yielding that is measured, not a timer.
//
// What is taken is cut step by step and not altogether: all callers of an
// account may come to one router, and refused altogether there, the account
// gets less than half its share for as long as the balancer sends them from
// one small VM to the next.
type lagMeter struct {
	logger          logrus.FieldLogger
	sheddingSeconds prometheus.Counter // seconds

	overloaded   atomic.Bool
	shareBits    atomic.Uint64    // share of requests that are taken, as bits of a float64
	yieldedAt    atomic.Int64     // boot-time clock at the yield that is not over yet, 0 for none
	averageLag   atomic.Int64     // of the lag, nanoseconds
	lastShed     atomic.Int64     // boot-time clock when callers were turned away last
	lastOverload boottime.Instant // when the overload was noticed last
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
	m.setShare(1)
	return m
}

func (m *lagMeter) share() float64 { return math.Float64frombits(m.shareBits.Load()) }

func (m *lagMeter) setShare(share float64) { m.shareBits.Store(math.Float64bits(share)) }

// run measures until the context ends.
func (m *lagMeter) run(ctx context.Context) error {
	return every(ctx, lagInterval, func() {
		before := boottime.Now()
		m.yieldedAt.Store(int64(before))
		runtime.Gosched()
		m.yieldedAt.Store(0)
		now := boottime.Now()
		m.observe(now.Sub(before), now)
	})
}

// observe takes one measurement.
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
		m.setShare(max(m.share()*shareDecrease, minShare))
	case average < recoveredLag:
		m.setShare(min(m.share()+shareIncrease, 1))
		if now.Sub(m.lastOverload) > minOverload {
			m.overloaded.Store(false)
		}
	}
}

// busy tells whether the processor is overloaded at the moment.
func (m *lagMeter) busy(now boottime.Instant) bool { return m.overloaded.Load() || m.stalledAt(now) }

// stalledAt tells whether goroutines have been waiting for long already.
func (m *lagMeter) stalledAt(now boottime.Instant) bool {
	yielded := boottime.Instant(m.yieldedAt.Load())
	return yielded != 0 && now.Sub(yielded) > stallLag
}

// stalled is stands at this moment.
func (m *lagMeter) stalled() bool { return m.stalledAt(boottime.Now()) }

// accepts tells whether a request is taken. drawn is uniform in [0, 1). What goes
// beyond the shares is cut first, and what is owed only once nothing else is
// taken any more: a flood from one account must not cost others what is theirs.
// owed is asked only while something is cut.
func (m *lagMeter) accepts(now boottime.Instant, owed func() bool, drawn float64) bool {
	if m.stalledAt(now) {
		return false
	}
	share := m.share()
	switch {
	case share >= 1:
		return true
	case owed():
		return drawn < share/owedShare
	}
	return drawn < (share-owedShare)/(1-owedShare)
}

// recordShedding notes that callers are turned away because of the lag: the balancer has to
// hear of it.
func (m *lagMeter) recordShedding() { m.lastShed.Store(int64(boottime.Now())) }

// recordRecovery notes that connections are taken again.
func (m *lagMeter) recordRecovery(turnedAway time.Duration) {
	m.sheddingSeconds.Add(turnedAway.Seconds())
	event.GateLoadShed.Log(m.logger, logrus.Fields{"duration_ms": turnedAway.Milliseconds()})
}

// recovered tells whether requests wait for their turn no more.
func (m *lagMeter) recovered() bool {
	return time.Duration(m.averageLag.Load()) < recoveredLag && !m.stalled()
}
