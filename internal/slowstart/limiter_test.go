package slowstart

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/selection"
)

const start = boottime.Instant(time.Hour)

// bound allows 20 requests in any second, of which routers use 15.
var bound = Bound{Rate: 10, Overshoot: 1.5, Slack: 5}

func TestUsableStaysBelowTheBound(t *testing.T) {
	for _, test := range []struct {
		bound Bound
		want  int
	}{
		{bound, 15},
		{Bound{Rate: 10, Overshoot: 1}, 8},
		{Bound{Rate: 0, Overshoot: 1.5, Slack: 5}, 0},
		{Bound{Rate: 10}, 0},
	} {
		if got := test.bound.Usable(); got != test.want {
			t.Errorf("%+v: %d, want %d", test.bound, got, test.want)
		}
	}
}

// For any number of routers, the allotments add up to at most the usable requests, and to
// no less than half of them.
func TestAllotmentsAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		usable := rapid.IntRange(1, 100).Draw(t, "usable")
		known := rapid.IntRange(1, 500).Draw(t, "known")
		total := 0
		for before := range known {
			total += allotmentOf(usable, before, known)
		}
		if total > usable || 2*total < usable {
			t.Fatalf("%d of %d usable requests are allotted", total, usable)
		}
	})
}

// fakeFleet is what one router knows of the others.
type fakeFleet struct {
	self    uint64
	known   map[uint64]bool
	settled bool
}

func (f *fakeFleet) Settled() bool { return f.settled }

func (f *fakeFleet) Order(key uint64) (before, known int) {
	own := selection.Weight(key, f.self)
	for other := range f.known {
		if other != f.self && selection.Weight(key, other) > own {
			before++
		}
	}
	return before, len(f.known) + 1
}

// singleRouterFleet is a fleet of one router.
func singleRouterFleet() *fakeFleet { return &fakeFleet{self: 1, settled: true} }

// Guards against a cold server getting 24 requests in a second where 20 are allowed:
// placed requests may wait for the processor and then leave together, so they must be
// counted when they are sent.
func TestRequestsCountWhenTheyAreSent(t *testing.T) {
	limiter := NewLimiter(singleRouterFleet())
	var permits []*Permit
	now := start
	for {
		permit := limiter.Acquire(7, bound, now)
		if permit == nil {
			break
		}
		permits = append(permits, permit)
	}
	if len(permits) != bound.Usable() {
		t.Fatalf("%d permits, want %d", len(permits), bound.Usable())
	}
	now = now.Add(5 * time.Second) // none was sent meanwhile
	if limiter.CanAcquire(7, bound, now) {
		t.Error("unused permits have expired")
	}
	for _, permit := range permits {
		permit.MarkSent(now)
	}
	if limiter.CanAcquire(7, bound, now.Add(time.Second)) {
		t.Error("one more request is allowed within a second of the sends")
	}
	if !limiter.CanAcquire(7, bound, now.Add(window+time.Millisecond)) {
		t.Error("no request is allowed after the window")
	}
}

func TestReleasedPermitsAreFreeAgain(t *testing.T) {
	limiter := NewLimiter(singleRouterFleet())
	for range 3 * bound.Usable() {
		permit := limiter.Acquire(7, bound, start)
		if permit == nil {
			t.Fatal("a released permit is lost")
		}
		permit.Release()
		permit.Release()
	}
	permit := limiter.Acquire(7, bound, start)
	permit.MarkSent(start)
	permit.Release() // the answer has arrived
	for range bound.Usable() - 1 {
		if limiter.Acquire(7, bound, start) == nil {
			t.Fatal("a sent permit counts twice")
		}
	}
	if limiter.Acquire(7, bound, start) != nil {
		t.Error("releasing a sent permit freed it")
	}
}

// A router that has not learned of the others sends nothing to a cold server.
func TestUnsettledRouterSendsNothing(t *testing.T) {
	fleet := singleRouterFleet()
	fleet.settled = false
	if NewLimiter(fleet).CanAcquire(7, bound, start) {
		t.Error("a router that is not settled may send")
	}
}

// simRouter is one router of a simulated fleet.
type simRouter struct {
	fleet   *fakeFleet
	limiter *Limiter
	frozen  bool
	waiting []*Permit // acquired, but not sent yet
}

// simulation is a fleet in front of one cold server, in time steps.
type simulation struct {
	now     boottime.Instant
	routers []*simRouter
	sent    []boottime.Instant
	created uint64
}

const simStep = 10 * time.Millisecond

// join adds a router. It knows all present routers, as it would from the directory, and
// settles later. The present routers know it unless hidden reports that they are cut off
// from it.
func (s *simulation) join(hidden func(other int) bool) {
	s.created++
	fleet := &fakeFleet{self: selection.Hash(fmt.Sprint(s.created)), known: make(map[uint64]bool)}
	for index, other := range s.routers {
		fleet.known[other.fleet.self] = true
		if !hidden(index) {
			other.fleet.known[fleet.self] = true
		}
	}
	s.routers = append(s.routers, &simRouter{fleet: fleet, limiter: NewLimiter(fleet)})
}

// step lets each router acquire permits for its callers' requests, and send some.
func (s *simulation) step(t *rapid.T) {
	s.now = s.now.Add(simStep)
	for _, router := range s.routers {
		if router.frozen {
			continue
		}
		for range rapid.IntRange(0, 2).Draw(t, "callers") {
			if permit := router.limiter.Acquire(7, bound, s.now); permit != nil {
				router.waiting = append(router.waiting, permit)
			}
		}
		if rapid.IntRange(0, 3).Draw(t, "gets the processor") > 0 {
			s.flush(router)
		}
	}
}

func (s *simulation) flush(router *simRouter) {
	for _, permit := range router.waiting {
		permit.MarkSent(s.now)
		s.sent = append(s.sent, s.now)
	}
	router.waiting = nil
}

// maxPerSecond returns the largest number of requests in any second.
func (s *simulation) maxPerSecond() int {
	maximum := 0
	for i := range s.sent {
		from := i
		for from > 0 && s.sent[i].Sub(s.sent[from-1]) <= time.Second {
			from--
		}
		maximum = max(maximum, i-from+1)
	}
	return maximum
}

// A cold server gets no more than its bound in any second, whatever the number of
// routers, and whichever of them freeze and resume, join, restart, or are unknown to
// others.
func TestColdServerGetsNoMoreThanItsBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{now: start}
		visible := func(int) bool { return false }
		for range rapid.SampledFrom([]int{1, 2, 5, 16, 21, 60}).Draw(t, "routers") {
			s.join(visible)
		}
		for _, router := range s.routers {
			router.fleet.settled = true
		}
		for range rapid.IntRange(1, 12).Draw(t, "events") {
			victim := s.routers[rapid.IntRange(0, len(s.routers)-1).Draw(t, "victim")]
			switch rapid.SampledFrom([]string{"freeze", "wake", "restart", "join", "join behind a cut"}).Draw(t, "event") {
			case "freeze":
				victim.frozen = true
			case "wake":
				victim.frozen = false
				s.flush(victim)
			case "restart":
				// Its permits are lost; it settles once its requests are out of the
				// window.
				victim.limiter, victim.waiting, victim.fleet.settled = NewLimiter(victim.fleet), nil, false
			case "join":
				s.join(visible)
			case "join behind a cut":
				// The bound has room for one router that others do not know at all.
				if len(s.routers) <= bound.Usable() || slices.ContainsFunc(s.routers, func(r *simRouter) bool { return len(r.fleet.known) < len(s.routers)-1 }) {
					break
				}
				first := len(s.routers) / 2
				s.join(func(other int) bool { return other < first })
			}
			for range rapid.IntRange(1, 40).Draw(t, "steps") {
				s.step(t)
			}
			// By now the others know the routers that joined or restarted.
			if rapid.Bool().Draw(t, "settle time passes") {
				s.now = s.now.Add(2 * time.Second)
				for _, router := range s.routers {
					router.fleet.settled = true
				}
			}
		}
		if maximum := s.maxPerSecond(); maximum > 20 {
			t.Fatalf("%d requests in one second", maximum)
		}
	})
}
