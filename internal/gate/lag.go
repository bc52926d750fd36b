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
	// lagMemory is the weight of the newest measurement in the average.
	lagMemory = 0.2
	// lagMost bounds one measurement, so that a single standstill of the whole
	// VM, which is over when it is seen, does not count as overload.
	lagMost = 120 * time.Millisecond
	// overloadedFrom is the average lag from which the router leaves callers
	// to others. A request waits for its turn several times.
	overloadedFrom = 30 * time.Millisecond
	// pendingFrom is the lag from which a measurement that is not over yet counts
	// as overload, and callers are turned away. With a longer one requests in hand
	// stand for seconds.
	pendingFrom = 40 * time.Millisecond
	// relievedAt is the average lag at which it takes callers again.
	relievedAt = 10 * time.Millisecond
	// shareCut is what is left of the share of requests that are taken after
	// each measurement above overloadedFrom, shareLeast bounds it, and
	// shareRise is added after each measurement below relievedAt. A refusal costs a good
	// part of what an answer costs, so a smaller least share gains little time.
	shareCut   = 0.8
	shareLeast = 0.3
	shareRise  = 0.01
	// cutOwed is the share down to which only requests beyond the shares are
	// cut.
	cutOwed = 0.5
	// relievedAfter is the least time in between. The balancer needs two
	// seconds to notice either.
	relievedAfter = 3 * time.Second
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
	logger     logrus.FieldLogger
	turnedAway prometheus.Counter // seconds

	overloaded atomic.Bool
	taken      atomic.Uint64    // share of requests that are taken, as bits of a float64
	yielded    atomic.Int64     // boot-time clock at the yield that is not over yet, 0 for none
	average    atomic.Int64     // of the lag, nanoseconds
	shedAt     atomic.Int64     // boot-time clock when callers were turned away last
	since      boottime.Instant // when the overload was noticed last
}

func newLagMeter(logger logrus.FieldLogger, registerer prometheus.Registerer) *lagMeter {
	m := &lagMeter{
		logger: logger,
		turnedAway: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "bluebell_gate_turned_away_seconds_total",
			Help: "Time in which connections of callers were turned away because the processor was busy.",
		}),
	}
	registerer.MustRegister(m.turnedAway)
	m.setShare(1)
	return m
}

func (m *lagMeter) share() float64 { return math.Float64frombits(m.taken.Load()) }

func (m *lagMeter) setShare(share float64) { m.taken.Store(math.Float64bits(share)) }

// run measures until the context ends.
func (m *lagMeter) run(ctx context.Context) error {
	return every(ctx, lagInterval, func() {
		before := boottime.Now()
		m.yielded.Store(int64(before))
		runtime.Gosched()
		m.yielded.Store(0)
		now := boottime.Now()
		m.note(now.Sub(before), now)
	})
}

// note takes one measurement.
func (m *lagMeter) note(lag time.Duration, now boottime.Instant) {
	lag = min(lag, lagMost)
	average := time.Duration(m.average.Load())
	average += time.Duration(lagMemory * float64(lag-average))
	m.average.Store(int64(average))
	if shedAt := boottime.Instant(m.shedAt.Load()); shedAt > m.since {
		m.since = shedAt
		m.overloaded.Store(true)
	}
	switch {
	case average > overloadedFrom:
		m.since = now
		m.overloaded.Store(true)
		m.setShare(max(m.share()*shareCut, shareLeast))
	case average < relievedAt:
		m.setShare(min(m.share()+shareRise, 1))
		if now.Sub(m.since) > relievedAfter {
			m.overloaded.Store(false)
		}
	}
}

// busy tells whether the processor is overloaded at the moment.
func (m *lagMeter) busy(now boottime.Instant) bool { return m.overloaded.Load() || m.stands(now) }

// stands tells whether goroutines have been waiting for long already.
func (m *lagMeter) stands(now boottime.Instant) bool {
	yielded := boottime.Instant(m.yielded.Load())
	return yielded != 0 && now.Sub(yielded) > pendingFrom
}

// standing is stands at this moment.
func (m *lagMeter) standing() bool { return m.stands(boottime.Now()) }

// takes tells whether a request is taken. drawn is uniform in [0, 1). What goes
// beyond the shares is cut first, and what is owed only once nothing else is
// taken any more: a flood from one account must not cost others what is theirs.
// owed is asked only while something is cut.
func (m *lagMeter) takes(now boottime.Instant, owed func() bool, drawn float64) bool {
	if m.stands(now) {
		return false
	}
	share := m.share()
	switch {
	case share >= 1:
		return true
	case owed():
		return drawn < share/cutOwed
	}
	return drawn < (share-cutOwed)/(1-cutOwed)
}

// shed notes that callers are turned away because of the lag: the balancer has to
// hear of it.
func (m *lagMeter) shed() { m.shedAt.Store(int64(boottime.Now())) }

// relief notes that connections are taken again.
func (m *lagMeter) relief(turnedAway time.Duration) {
	m.turnedAway.Add(turnedAway.Seconds())
	event.GateTurnedAway.Log(m.logger, logrus.Fields{"duration_ms": turnedAway.Milliseconds()})
}

// relieved tells whether requests wait for their turn no more.
func (m *lagMeter) relieved() bool {
	return time.Duration(m.average.Load()) < relievedAt && !m.standing()
}
