package gate

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

const (
	// toldAfter is how long routers take to tell each other of a conviction.
	toldAfter = 300 * time.Millisecond
	// staleMost is how long others' figures show requests at a server that has crashed:
	// a router that stopped is forgotten after 1.5 s, and sums of zones take a while.
	staleMost = 1900 * time.Millisecond
	// crashPrint is the request that crashes each server.
	crashPrint = uint64(7)
)

// crashFleet is a fleet of routers and backend servers in simulated time. Its caller sends
// one request, which crashes each server that runs it.
type crashFleet struct {
	now      boottime.Instant
	routers  []*crashRouter
	servers  []crashServer
	crashes  []boottime.Instant
	staleFor time.Duration
	blips    bool
}

type crashRouter struct {
	breaks   *crashDetector
	suspects *suspects
	told     []crashNews
}

type crashNews struct {
	from int
	at   boottime.Instant
}

type crashServer struct {
	born int
	back boottime.Instant // when it serves again, 0 while it serves
	died boottime.Instant
}

func newCrashFleet(t *rapid.T) *crashFleet {
	f := &crashFleet{now: breakStart, servers: make([]crashServer, rapid.IntRange(3, 12).Draw(t, "servers"))}
	f.staleFor = time.Duration(rapid.Int64Range(0, int64(staleMost)).Draw(t, "stale"))
	f.blips = rapid.Bool().Draw(t, "blips")
	for range rapid.IntRange(1, 8).Draw(t, "routers") {
		f.routers = append(f.routers, &crashRouter{breaks: newCrashDetector(), suspects: newSuspects()})
	}
	return f
}

// step lets 10 ms pass. Routers look at their breaks each 100 ms, not all together.
func (f *crashFleet) step(tick int) {
	f.now = f.now.Add(10 * time.Millisecond)
	for i := range f.servers {
		if server := &f.servers[i]; server.back != 0 && f.now >= server.back {
			server.back = 0
			server.born++
		}
	}
	for i, router := range f.routers {
		if (tick+i)%10 == 0 {
			f.judge(i, router)
		}
		f.hear(router)
	}
}

func (f *crashFleet) judge(self int, router *crashRouter) {
	for _, judged := range router.breaks.judge(f.now, f.report) {
		if judged.verdict != resetServerDown {
			continue
		}
		for _, print := range judged.fingerprints {
			router.suspects.crashed(print)
			for other := range f.routers {
				if other != self {
					f.routers[other].told = append(f.routers[other].told, crashNews{from: self, at: f.now.Add(toldAfter)})
				}
			}
		}
	}
}

// hear takes what other routers have told by now.
func (f *crashFleet) hear(router *crashRouter) {
	for len(router.told) > 0 && router.told[0].at <= f.now {
		router.suspects.crashReported(fleet.Address(fmt.Sprint("router-", router.told[0].from)), crashPrint)
		router.told = router.told[1:]
	}
}

// report tells what routers know of an incarnation: figures of others are old, and a
// request that is being refused a connection shows now and then.
func (f *crashFleet) report(incarnation string) serverReport {
	for i, server := range f.servers {
		switch {
		case incarnation != f.incarnation(i):
			continue
		case server.back == 0, f.now.Sub(server.died) < f.staleFor, f.blips && int64(f.now)/int64(100*time.Millisecond)%5 == 0:
			return reportRunning
		}
		return reportIdle
	}
	return reportUnlisted // it has started again
}

func (f *crashFleet) incarnation(server int) string {
	return fmt.Sprint(server, "@", f.servers[server].born)
}

// arrive sends the request to a router, which sends it to a server. It returns whether it
// arrived there.
func (f *crashFleet) arrive(router *crashRouter, at int) bool {
	count := router.suspects.count(crashPrint)
	if count >= maxCrashes || count+router.breaks.pendingFor(crashPrint) >= maxCrashes {
		return false // refused, or held until then
	}
	server := &f.servers[at]
	if server.back != 0 {
		router.breaks.connectionRefused(f.incarnation(at), f.now)
		return false
	}
	router.breaks.addReset(f.incarnation(at), crashPrint, f.now.Add(-time.Millisecond), f.now)
	f.crashes = append(f.crashes, f.now)
	return true
}

// Symptom: a request crashes one backend server after the other.
// Events: its caller sends it again and again, by way of all routers; servers come back
// after seconds, as new incarnations; figures of other routers are old.
// Cause: crashes wait for a verdict that comes too late, or is wrong.
func TestRequestThatCrashesServersIsStoppedInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newCrashFleet(t)
		pause := rapid.IntRange(1, 100).Draw(t, "pause between tries, 10 ms")
		restart := time.Duration(rapid.IntRange(2000, 8000).Draw(t, "restart, ms")) * time.Millisecond
		for tick := range 2000 {
			f.step(tick)
			if tick%pause != 0 {
				continue
			}
			router := f.routers[rapid.IntRange(0, len(f.routers)-1).Draw(t, "router")]
			at := rapid.IntRange(0, len(f.servers)-1).Draw(t, "server")
			if f.arrive(router, at) {
				f.servers[at].back, f.servers[at].died = f.now.Add(restart), f.now
			}
		}
		f.check(t)
	})
}

// check checks the users' rule: at most three arrivals later than 3 s after the third crash.
func (f *crashFleet) check(t *rapid.T) {
	if len(f.crashes) < 3 {
		return
	}
	late := 0
	for _, crash := range f.crashes {
		if crash.Sub(f.crashes[2]) > 3*time.Second {
			late++
		}
	}
	if late > 3 {
		t.Fatalf("%d arrivals later than 3 s after the third crash, of %d", late, len(f.crashes))
	}
}
