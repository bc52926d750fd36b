package peering

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/gate"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
	"github.com/bluebellchute/bluebellchute/internal/pace"
	"github.com/bluebellchute/bluebellchute/internal/peering/peeringpb"
	"github.com/bluebellchute/bluebellchute/internal/shares"
)

// theEngine is the one at which all routers of these tests have requests.
const theEngine = 7

// fakeLocal is a router that has so many requests at the engine, and hears what
// others use.
type fakeLocal struct {
	Local
	running int
	paces   map[uint32]pace.Observation
	broken  []uint64 // fingerprints to be told
	told    []uint64 // fingerprints heard
	heard   map[fleet.Address]map[fleet.Account]shares.Usage
}

func (l *fakeLocal) Loads() map[uint32]gate.BackendLoad {
	return map[uint32]gate.BackendLoad{theEngine: {Running: l.running}}
}

func (l *fakeLocal) Usages() map[fleet.Account]shares.Usage {
	return map[fleet.Account]shares.Usage{"a": {Requested: float64(1000 * l.running)}}
}

func (l *fakeLocal) Paces() map[uint32]pace.Observation { return l.paces }

func (l *fakeLocal) TakeCrashFingerprints() []uint64 {
	taken := l.broken
	l.broken = nil
	return taken
}

func (l *fakeLocal) ReceiveCrashFingerprint(_ fleet.Address, fingerprint uint64) {
	l.told = append(l.told, fingerprint)
}

func (l *fakeLocal) SetUsages(router fleet.Address, uses map[fleet.Account]shares.Usage) {
	l.heard[router] = uses
}
func (l *fakeLocal) RemoveUsages(router fleet.Address) { delete(l.heard, router) }

// asked is what all others asked together.
func (l *fakeLocal) asked() float64 {
	sum := 0.0
	for _, uses := range l.heard {
		sum += uses["a"].Requested
	}
	return sum
}

// fabric carries beats between routers in simulated time.
type fabric struct {
	t       rapid.TB
	now     boottime.Instant
	round   int
	routers map[fleet.Address]*Manager
	locals  map[fleet.Address]*fakeLocal
	cut     func(from, to *Manager) bool                       // whether a beat gets lost
	bytes   int                                                // between zones
	arrived func(data []byte, to *Manager)                     // is told of each beat that arrives, if set
	took    func(beat *peeringpb.Beat, bytes int, to *Manager) // the same, decoded
}

// newFabric returns zones with so many routers each. Each router has as many
// requests at the engine as its place.
func newFabric(t rapid.TB, zones, perZone int) *fabric {
	f := &fabric{
		t:       t,
		now:     boottime.Now(),
		routers: make(map[fleet.Address]*Manager),
		locals:  make(map[fleet.Address]*fakeLocal),
		cut:     func(_, _ *Manager) bool { return false },
	}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	for i := range zones * perZone {
		address := fleet.Address(fmt.Sprintf("10.0.%d.%d:1", i/perZone, i%perZone+1))
		manager := NewManager(Options{
			Address: address,
			Zone:    fleet.Zone(fmt.Sprint("zone", i/perZone)),
			Seeds:   []fleet.Address{"10.0.0.1:1"},
			State:   knowledge.NewState(),
			Logger:  logger,
		})
		local := &fakeLocal{running: i + 1, heard: make(map[fleet.Address]map[fleet.Account]shares.Usage)}
		manager.SetLocal(local)
		manager.network = &link{fabric: f, from: manager}
		f.routers[address], f.locals[address] = manager, local
	}
	for _, address := range f.addresses() {
		for _, other := range f.addresses() {
			f.routers[address].add(other, f.routers[other].options.Zone, f.now)
		}
	}
	return f
}

func (f *fabric) addresses() []fleet.Address { return slices.Sorted(maps.Keys(f.routers)) }

// link is the Network of one router of a fabric. Beats arrive at once.
type link struct {
	Network
	fabric *fabric
	from   *Manager
}

func (l *link) Send(beat []byte, to fleet.Address) { l.fabric.carry(l.from, beat, to) }

func (f *fabric) carry(from *Manager, data []byte, target fleet.Address) {
	to := f.routers[target]
	if to == nil || f.cut(from, to) {
		return
	}
	var beat peeringpb.Beat
	if err := proto.Unmarshal(data, &beat); err != nil {
		f.t.Fatal(err)
	}
	if from.options.Zone != to.options.Zone {
		f.bytes += len(data)
	}
	if f.arrived != nil {
		f.arrived(data, to)
	}
	if f.took != nil {
		f.took(&beat, len(data), to)
	}
	to.takeBeat(context.Background(), &beat, f.now)
}

// play plays rounds of beats of all routers.
func (f *fabric) play(rounds int) {
	for range rounds {
		f.now = f.now.Add(beatInterval)
		f.round++
		for _, address := range f.addresses() {
			router := f.routers[address]
			for _, lost := range router.expire(f.now) {
				router.local.RemoveUsages(lost)
			}
			router.local.SetUsages(elsewhere, router.refreshOthers(f.now))
			router.sendRound(f.round, f.now)
		}
	}
}

// check compares what each router knows of the others with what they have.
func (f *fabric) check(when string) {
	f.t.Helper()
	all := 0
	for _, local := range f.locals {
		all += local.running
	}
	for address, router := range f.routers {
		want := all - f.locals[address].running
		if got := router.Load(theEngine).Running; got != want {
			f.t.Fatalf("%s: %s knows of %d requests of others, there are %d", when, address, got, want)
		}
		// Sums decay by a twentieth between two rounds, and pass three routers.
		if got := f.locals[address].asked() / 1000; math.Abs(got-float64(want)) > 0.3*float64(want) {
			f.t.Fatalf("%s: %s knows of %v tokens of others, there are %d", when, address, got, want)
		}
	}
}

// settled is how many rounds it takes until all have heard of all, and of all zones.
const settled = 60

func TestAllKnowWhatAllUse(t *testing.T) {
	for _, size := range []struct{ zones, perZone int }{{1, 5}, {3, 2}, {4, 6}, {5, 14}, {1, 40}} {
		t.Run(fmt.Sprintf("%d zones of %d", size.zones, size.perZone), func(t *testing.T) {
			f := newFabric(t, size.zones, size.perZone)
			f.play(settled)
			f.check("after the start")
			for _, local := range f.locals {
				local.running += 3
			}
			f.play(2 * zoneTurns(size.perZone))
			f.play(3)
			f.check("three rounds after a change")
		})
	}
}

// zoneTurns is how many rounds the routers of a zone take to tell each other.
func zoneTurns(perZone int) int { return rounds(perZone, zoneBeats) }

// Symptom: routers send to engines that are full, for as long as a router is gone.
// Events: the summing router of a zone is killed, or stands still.
// Cause: nobody else told the other zones what its zone uses.
func TestNextRouterSumsWhenOneFallsSilent(t *testing.T) {
	f := newFabric(t, 5, 14)
	f.play(settled)
	for address, router := range f.routers {
		if router.options.Zone == "zone2" && router.summing(f.now) {
			delete(f.routers, address)
			delete(f.locals, address)
		}
	}
	f.play(int(heardLife/beatInterval) + silentTurns)
	f.check("after the loss of a summing router")
}

// Whatever beats get lost, nothing counts twice, and all is known again soon after
// no more are lost.
func TestLostBeatsNeverCountTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFabric(t, rapid.IntRange(2, 3).Draw(t, "zones"), rapid.IntRange(5, 6).Draw(t, "routers"))
		all := 0
		for _, local := range f.locals {
			all += local.running
		}
		seed := rapid.Uint64().Draw(t, "seed")
		f.cut = func(from, to *Manager) bool {
			// Whole paths are cut for a while, one way each.
			path := hashOf(from.options.Address) ^ hashOf(to.options.Address)*3 ^ seed ^ uint64(f.round/7)*0x9e3779b97f4a7c15
			return (path>>20)%3 == 0
		}
		for range settled / 2 {
			f.play(1)
			for address, router := range f.routers {
				if got := router.Load(theEngine).Running; got > all-f.locals[address].running {
					t.Fatalf("%s knows of %d requests of others, there are %d", address, got, all-f.locals[address].running)
				}
			}
		}
		f.cut = func(_, _ *Manager) bool { return false }
		f.play(settled / 2)
		f.check("after the last loss")
	})
}

// Symptom: what other zones used long ago counts for good.
// Events: a zone is cut off from the others.
// Cause: its last sums were kept.
func TestSumsOfACutZoneGo(t *testing.T) {
	f := newFabric(t, 3, 8)
	f.play(settled)
	f.cut = func(from, to *Manager) bool { return from.options.Zone != to.options.Zone }
	f.play(int(sumsLife/beatInterval) + 2)
	for address, router := range f.routers {
		want := 0
		for other, local := range f.locals {
			if other != address && f.routers[other].options.Zone == router.options.Zone {
				want += local.running
			}
		}
		if got := router.Load(theEngine).Running; got != want {
			t.Errorf("%s knows of %d requests, its zone has %d", address, got, want)
		}
	}
}

// Bytes between zones a second among 70 routers in 5 zones with one engine and one
// account in use: 791,074. They are to grow with what is used and not with the square
// of the routers.
func TestBytesBetweenZonesAreBounded(t *testing.T) {
	const most = 1_000_000
	f := newFabric(t, 5, 14)
	f.play(settled)
	f.bytes = 0
	f.play(int(time.Second / beatInterval))
	if f.bytes > most {
		t.Errorf("%d bytes a second between zones", f.bytes)
	}
}

// What routers tell each other is counted by message and zone.
func TestTrafficIsCounted(t *testing.T) {
	f := newFabric(t, 3, 6)
	f.play(settled)
	for _, what := range []string{"beat own", "beat other", "sums own", "sums other"} {
		total := 0
		for _, router := range f.routers {
			total += router.traffic.since[what]
		}
		if total == 0 {
			t.Errorf("nothing is counted of %s", what)
		}
	}
}

// Symptom: a request that breaks backend servers breaks more of them in a large
// fleet than in a small one.
// Events: two routers see it break one each; the others have their turns to be told
// later than in the first rounds.
// Cause: a fingerprint was in the beats of three rounds, whoever was told in them.
func TestEachRouterHearsOfARequestThatBreaks(t *testing.T) {
	f := newFabric(t, 5, 14)
	f.play(settled)
	const print = 99
	f.locals["10.0.2.3:1"].broken = []uint64{print}
	f.play(brokenRepeats * rounds(70, urgentBeats))
	for address, local := range f.locals {
		if address != "10.0.2.3:1" && !slices.Contains(local.told, print) {
			t.Errorf("%s was not told", address)
		}
	}
}

// Symptom: each change of the list crosses the availability zones once for every
// router.
// Events: a backend server joins; all routers hear of a newer list at once.
// Cause: each took the list from whoever told of it first.
func TestOneOfAZoneTakesAChangeAcross(t *testing.T) {
	puller := newPuller(knowledge.NewState(), "here", logrus.New())
	now := boottime.Now()
	puller.patience = farPause / 2
	if puller.waited(now) || puller.waited(now.Add(farPause/4)) {
		t.Error("a router does not wait for its neighbours to know")
	}
	if !puller.waited(now.Add(farPause / 2)) {
		t.Error("a router waits for its neighbours for longer than its part")
	}
	if puller.waited(now.Add(3 * farPause)) {
		t.Error("a router does not wait at the next change")
	}
}
