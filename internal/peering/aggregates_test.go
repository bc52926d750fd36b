package peering

import (
	"cmp"
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
	"github.com/bluebellchute/bluebellchute/internal/crash"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/gate"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
	"github.com/bluebellchute/bluebellchute/internal/pace"
	"github.com/bluebellchute/bluebellchute/internal/peering/peeringpb"
	"github.com/bluebellchute/bluebellchute/internal/shares"
)

// sharedEngine is the engine at which all routers of these tests have requests.
const sharedEngine = 7

// fakeLocal is a router with the given number of requests at the engine. It records the
// usages of other routers.
type fakeLocal struct {
	Local
	running              int
	paces                map[uint32]pace.Observation
	fingerprints         []uint64 // fingerprints to be sent
	receivedFingerprints []uint64 // fingerprints received
	usages               map[fleet.Address]map[fleet.Account]shares.Usage
	segments             *crash.SegmentTable
}

func (l *fakeLocal) Loads() map[uint32]gate.BackendLoad {
	return map[uint32]gate.BackendLoad{sharedEngine: {Running: l.running}}
}

func (l *fakeLocal) Usages() map[fleet.Account]shares.Usage {
	return map[fleet.Account]shares.Usage{"a": {Requested: float64(1000 * l.running)}}
}

func (l *fakeLocal) Paces() map[uint32]pace.Observation { return l.paces }

func (l *fakeLocal) TakeCrashFingerprints() []uint64 {
	taken := l.fingerprints
	l.fingerprints = nil
	return taken
}

func (l *fakeLocal) ReceiveCrashFingerprint(_ fleet.Address, fingerprint uint64) {
	l.receivedFingerprints = append(l.receivedFingerprints, fingerprint)
}

func (l *fakeLocal) NextCrashEvidence(limit int, now boottime.Instant) crash.Evidence {
	return l.segments.Next(limit, now)
}

func (l *fakeLocal) RefusedSegments(from, limit int, now boottime.Instant) (crash.Evidence, int) {
	return l.segments.Refused(from, limit, now)
}

func (l *fakeLocal) ReceiveCrashEvidence(evidence crash.Evidence, now boottime.Instant) crash.Evidence {
	return l.segments.Receive(evidence, now)
}

func (l *fakeLocal) SetUsages(router fleet.Address, usages map[fleet.Account]shares.Usage) {
	l.usages[router] = usages
}
func (l *fakeLocal) RemoveUsages(router fleet.Address) { delete(l.usages, router) }

// requestedByOthers returns the tokens requested at all other routers.
func (l *fakeLocal) requestedByOthers() float64 {
	sum := 0.0
	for _, usages := range l.usages {
		sum += usages["a"].Requested
	}
	return sum
}

// simNetwork delivers heartbeats between routers in simulated time.
type simNetwork struct {
	t              rapid.TB
	now            boottime.Instant
	round          int
	routers        map[fleet.Address]*Manager
	locals         map[fleet.Address]*fakeLocal
	drops          func(from, to *Manager) bool                            // whether a heartbeat is lost
	crossZoneBytes int                                                     // sent between zones
	onData         func(data []byte, to *Manager)                          // called for each heartbeat that arrives, if set
	onHeartbeat    func(heartbeat *peeringpb.Beat, bytes int, to *Manager) // the same, decoded
}

// newSimNetwork returns a network with the given number of zones and of routers in each.
// The n-th router has n requests at the engine.
func newSimNetwork(t rapid.TB, zones, perZone int) *simNetwork {
	f := &simNetwork{
		t:       t,
		now:     boottime.Now(),
		routers: make(map[fleet.Address]*Manager),
		locals:  make(map[fleet.Address]*fakeLocal),
		drops:   func(_, _ *Manager) bool { return false },
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
		local := &fakeLocal{running: i + 1, usages: make(map[fleet.Address]map[fleet.Account]shares.Usage), segments: crash.NewSegmentTable()}
		manager.SetLocal(local)
		manager.network = &simLink{sim: f, from: manager}
		f.routers[address], f.locals[address] = manager, local
	}
	for _, address := range f.addresses() {
		for _, other := range f.addresses() {
			f.routers[address].add(other, f.routers[other].options.Zone, f.now)
		}
	}
	return f
}

func (f *simNetwork) addresses() []fleet.Address { return slices.Sorted(maps.Keys(f.routers)) }

// simLink is the Network of one router of a simNetwork. Heartbeats arrive immediately.
type simLink struct {
	Network
	sim  *simNetwork
	from *Manager
}

func (l *simLink) Send(heartbeat []byte, to fleet.Address) { l.sim.deliver(l.from, heartbeat, to) }

func (f *simNetwork) deliver(from *Manager, data []byte, target fleet.Address) {
	to := f.routers[target]
	if to == nil || f.drops(from, to) {
		return
	}
	var heartbeat peeringpb.Beat
	if err := proto.Unmarshal(data, &heartbeat); err != nil {
		f.t.Fatal(err)
	}
	if from.options.Zone != to.options.Zone {
		f.crossZoneBytes += len(data)
	}
	if f.onData != nil {
		f.onData(data, to)
	}
	if f.onHeartbeat != nil {
		f.onHeartbeat(&heartbeat, len(data), to)
	}
	if heartbeat.CrashEvidence != nil {
		to.handleEvidence(from.options.Address, heartbeat.CrashEvidence, f.now)
		return
	}
	to.handleHeartbeat(context.Background(), &heartbeat, f.now)
}

// run runs rounds of heartbeats of all routers.
func (f *simNetwork) run(rounds int) {
	for range rounds {
		f.now = f.now.Add(heartbeatInterval)
		f.round++
		for _, address := range f.addresses() {
			router := f.routers[address]
			for _, lost := range router.expire(f.now) {
				router.local.RemoveUsages(lost)
			}
			router.local.SetUsages(otherZones, router.refreshOtherZones(f.now))
			router.sendRound(f.round, f.now)
		}
	}
}

// checkUsage compares what each router knows of the others with their actual usage.
func (f *simNetwork) checkUsage(when string) {
	f.t.Helper()
	all := 0
	for _, local := range f.locals {
		all += local.running
	}
	for address, router := range f.routers {
		want := all - f.locals[address].running
		if got := router.Load(sharedEngine).Running; got != want {
			f.t.Fatalf("%s: %s knows of %d requests of others, there are %d", when, address, got, want)
		}
		// Usages decay by a twentieth between two rounds, and pass through three routers.
		if got := f.locals[address].requestedByOthers() / 1000; math.Abs(got-float64(want)) > 0.3*float64(want) {
			f.t.Fatalf("%s: %s knows of %v tokens of others, there are %d", when, address, got, want)
		}
	}
}

// settleRounds is the number of rounds until each router has received heartbeats of all
// others, and the aggregates of all zones.
const settleRounds = 60

func TestUsageReachesAllRouters(t *testing.T) {
	for _, size := range []struct{ zones, perZone int }{{1, 5}, {3, 2}, {4, 6}, {5, 14}, {1, 40}} {
		t.Run(fmt.Sprintf("%d zones of %d", size.zones, size.perZone), func(t *testing.T) {
			f := newSimNetwork(t, size.zones, size.perZone)
			f.run(settleRounds)
			f.checkUsage("after the start")
			for _, local := range f.locals {
				local.running += 3
			}
			f.run(2 * zoneCycleRounds(size.perZone))
			f.run(3)
			f.checkUsage("three rounds after a change")
		})
	}
}

// zoneCycleRounds is the number of rounds in which the routers of a zone all send to each
// other.
func zoneCycleRounds(perZone int) int { return roundsPerCycle(perZone, maxZoneHeartbeats) }

// Guards against requests sent to full engines after the aggregator of a zone was killed
// or suspended, because no other router sent the zone's usage to the other zones.
func TestStandbyReplacesLostAggregator(t *testing.T) {
	f := newSimNetwork(t, 5, 14)
	f.run(settleRounds)
	for address, router := range f.routers {
		if router.options.Zone == "zone2" && router.isAggregator(f.now) {
			delete(f.routers, address)
			delete(f.locals, address)
		}
	}
	f.run(int(minPeerTimeout/heartbeatInterval) + maxMissedCycles)
	f.checkUsage("after the loss of an aggregator")
}

// Guards against aggregates sent to routers that will not replace an aggregator, and to the
// one that will only in full and late, because its heartbeats to other zones are rare.
func TestAggregatorsSoonKnowTheStandbysOfOtherZones(t *testing.T) {
	const zones, perZone = 4, 25
	f := newSimNetwork(t, zones, perZone)
	f.run(zoneCycleRounds(perZone) + roundsPerCycle((zones-1)*perZone, maxRemoteHeartbeatsOfLead))
	want := make(map[fleet.Zone][]fleet.Address)
	for address, router := range f.routers {
		zone := router.options.Zone
		want[zone] = append(want[zone], address)
	}
	for zone, addresses := range want {
		slices.SortFunc(addresses, func(a, b fleet.Address) int { return cmp.Compare(addressHash(a), addressHash(b)) })
		want[zone] = addresses[:maxAggregateReceivers]
	}
	for address, router := range f.routers {
		if !router.isAggregator(f.now) {
			continue
		}
		for zone, receivers := range router.aggregateReceivers(f.now) {
			if !slices.Equal(receivers, want[zone]) {
				t.Errorf("%s sends aggregates to %v in %s, want %v", address, receivers, zone, want[zone])
			}
		}
	}
}

// Whichever heartbeats are lost, no usage may count twice, and all usage must be known
// again soon after the last loss.
func TestLostHeartbeatsNeverCountTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newSimNetwork(t, rapid.IntRange(2, 3).Draw(t, "zones"), rapid.IntRange(5, 6).Draw(t, "routers"))
		all := 0
		for _, local := range f.locals {
			all += local.running
		}
		seed := rapid.Uint64().Draw(t, "seed")
		f.drops = func(from, to *Manager) bool {
			// Cuts random paths for seven rounds, each in one direction.
			path := addressHash(from.options.Address) ^ addressHash(to.options.Address)*3 ^ seed ^ uint64(f.round/7)*0x9e3779b97f4a7c15
			return (path>>20)%3 == 0
		}
		for range settleRounds / 2 {
			f.run(1)
			for address, router := range f.routers {
				if got := router.Load(sharedEngine).Running; got > all-f.locals[address].running {
					t.Fatalf("%s knows of %d requests of others, there are %d", address, got, all-f.locals[address].running)
				}
			}
		}
		f.drops = func(_, _ *Manager) bool { return false }
		f.run(settleRounds / 2)
		f.checkUsage("after the last loss")
	})
}

// Guards against usage of other zones that counts permanently after the zone has been cut
// off, because its last aggregate was kept.
func TestAggregatesOfAnIsolatedZoneExpire(t *testing.T) {
	f := newSimNetwork(t, 3, 8)
	f.run(settleRounds)
	f.drops = func(from, to *Manager) bool { return from.options.Zone != to.options.Zone }
	f.run(int(aggregateTTL/heartbeatInterval) + 2)
	for address, router := range f.routers {
		want := 0
		for other, local := range f.locals {
			if other != address && f.routers[other].options.Zone == router.options.Zone {
				want += local.running
			}
		}
		if got := router.Load(sharedEngine).Running; got != want {
			t.Errorf("%s knows of %d requests, its zone has %d", address, got, want)
		}
	}
}

// 70 routers in 5 zones with one engine and one account in use send 791,074 bytes per
// second between zones. The bytes must grow with the usage and not with the square of the
// number of routers.
func TestBytesBetweenZonesAreBounded(t *testing.T) {
	const maxBytes = 1_000_000
	f := newSimNetwork(t, 5, 14)
	f.run(settleRounds)
	f.crossZoneBytes = 0
	f.run(int(time.Second / heartbeatInterval))
	if f.crossZoneBytes > maxBytes {
		t.Errorf("%d bytes per second between zones", f.crossZoneBytes)
	}
}

// Messages between routers are counted by kind and zone.
func TestTrafficIsCounted(t *testing.T) {
	f := newSimNetwork(t, 3, 6)
	f.run(settleRounds)
	for _, what := range []string{"beat own", "beat other", "sums own", "sums other"} {
		total := 0
		for _, router := range f.routers {
			total += router.traffic.bytesSinceLog[what]
		}
		if total == 0 {
			t.Errorf("no bytes are counted for %s", what)
		}
	}
}

// Guards against a request that crashes more backend servers in a large fleet than in a
// small one. If a fingerprint is in the heartbeats of three rounds only, routers whose
// turn comes later never receive it.
func TestFingerprintReachesEachRouter(t *testing.T) {
	f := newSimNetwork(t, 5, 14)
	f.run(settleRounds)
	const fingerprint = 99
	f.locals["10.0.2.3:1"].fingerprints = []uint64{fingerprint}
	f.run(fingerprintRepeats * roundsPerCycle(70, maxUrgentRemoteHeartbeats))
	for address, local := range f.locals {
		if address != "10.0.2.3:1" && !slices.Contains(local.receivedFingerprints, fingerprint) {
			t.Errorf("%s did not receive the fingerprint", address)
		}
	}
}

// Guards against changes of the list that are pulled across availability zones by every
// router. When all routers of a zone learn of a newer list at the same time, each would
// pull it from the first that reports it.
func TestPullFromAnotherZoneIsDelayed(t *testing.T) {
	puller := newPuller(knowledge.NewState(), "here", logrus.New())
	now := boottime.Now()
	puller.crossZoneDelay = maxCrossZoneDelay / 2
	if puller.delayElapsed(now) || puller.delayElapsed(now.Add(maxCrossZoneDelay/4)) {
		t.Error("a router does not wait for its neighbours")
	}
	if !puller.delayElapsed(now.Add(maxCrossZoneDelay / 2)) {
		t.Error("a router waits for its neighbours longer than its delay")
	}
	if puller.delayElapsed(now.Add(3 * maxCrossZoneDelay)) {
		t.Error("a router does not wait at the next change")
	}
}

// A router that has just started must know how many routers it has not heard of, and not count those
// forever that are listed but gone.
func TestUnheardRouters(t *testing.T) {
	for _, size := range []struct{ zones, perZone int }{{1, 5}, {3, 2}, {4, 6}, {5, 14}, {1, 40}} {
		t.Run(fmt.Sprintf("%d zones of %d", size.zones, size.perZone), func(t *testing.T) {
			f := newSimNetwork(t, size.zones, size.perZone)
			newcomer := f.routers[f.addresses()[1]]
			newcomer.add("10.9.9.9:1", "zone0", f.now) // is gone
			others := len(f.routers)
			if got := newcomer.Unheard(f.now); got != others {
				t.Errorf("%d of %d unheard at the start", got, others)
			}
			f.run(1)
			if got := newcomer.Unheard(f.now); got == 0 {
				t.Error("none unheard after a round")
			}
			f.run(3)
			if got := newcomer.Unheard(f.now); got != 1 {
				t.Errorf("%d unheard after 4 rounds, of which one is gone", got)
			}
			f.run(3)
			if got := newcomer.Unheard(f.now); got != 0 {
				t.Errorf("%d unheard after 7 rounds", got)
			}
		})
	}
}
