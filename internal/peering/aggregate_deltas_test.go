package peering

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/gate"
	"github.com/bluebellchute/bluebellchute/internal/peering/peeringpb"
	"github.com/bluebellchute/bluebellchute/internal/shares"
)

// testAggregator is an aggregator of zone1 that sends to one router of zone0.
type testAggregator struct {
	*table
	log         aggregateLog
	incarnation uint64
	total       usage
	sent        []*peeringpb.Beat
}

func newTestAggregator(address fleet.Address) *testAggregator {
	return &testAggregator{table: newTable(address, "zone1"), incarnation: 1, total: newUsage(0)}
}

// change draws changes since the last round.
func (s *testAggregator) change(t *rapid.T, now boottime.Instant) {
	passed := now.Sub(s.total.at)
	for account, usage := range s.total.usages {
		s.total.usages[account] = usage.Decayed(passed)
	}
	s.total.at = now
	for range rapid.IntRange(0, 4).Draw(t, "changes") {
		engine := rapid.Uint32Range(0, 9).Draw(t, "engine")
		s.total.loads[engine] = gate.BackendLoad{
			Running: rapid.IntRange(1, 50).Draw(t, "running"),
			Pending: rapid.Float64Range(0, 20_000).Draw(t, "pending"),
			Memory:  rapid.Float64Range(0, 200_000).Draw(t, "memory"),
		}
		if rapid.Bool().Draw(t, "idle") {
			delete(s.total.loads, engine)
		}
		account := fleet.Account(fmt.Sprint("account-", rapid.IntRange(0, 9).Draw(t, "account")))
		tokens := rapid.Float64Range(0, 50_000).Draw(t, "tokens")
		s.total.usages[account] = s.total.usages[account].Add(shares.Usage{Requested: 2 * tokens, Granted: tokens, Idle: tokens / 3})
		if rapid.IntRange(0, 9).Draw(t, "forgotten") == 0 {
			delete(s.total.usages, account)
		}
	}
}

// nextHeartbeat returns the heartbeat of a round.
func (s *testAggregator) nextHeartbeat(now boottime.Instant) *peeringpb.Beat {
	s.log.update(s.total, now)
	heartbeat := &peeringpb.Beat{Address: string(s.self), Zone: "zone1", Incarnation: s.incarnation, Clock: int64(now), Held: &peeringpb.Held{}}
	for receiver := range s.groupByState([]fleet.Address{self}, &s.log) {
		encoded := receiver.encode(&s.log, s.total, []fleet.Zone{"zone1"}, false)
		heartbeat.Sums, heartbeat.SumChanges = encoded.full, encoded.deltas
	}
	s.sent = append(s.sent, heartbeat)
	return heartbeat
}

// restart simulates a restart of the sender's process, which loses its state.
func (s *testAggregator) restart() {
	address, total := s.self, s.total
	*s = *newTestAggregator(address)
	s.incarnation, s.total = uint64(total.at), total
}

// checkAggregate compares the aggregate that a router holds with the sender's.
func checkAggregate(t *rapid.T, held *aggregate, sender *testAggregator, now boottime.Instant) {
	if held == nil {
		t.Fatalf("no aggregate of %s is held", sender.self)
	}
	for engine := range uint32(10) {
		want, got := sender.total.loads[engine], held.loads[engine]
		if got.Running != want.Running || math.Abs(got.Pending-want.Pending) > loadTolerance*want.Pending+tokensPerLoadUnit || math.Abs(got.Memory-want.Memory) > loadTolerance*want.Memory+tokensPerLoadUnit {
			t.Fatalf("%s: load %+v at engine %d, receiver holds %+v", sender.self, want, engine, got)
		}
	}
	mean := meanGranted(sender.total.usages)
	passed := now.Sub(held.at)
	for i := range 10 {
		account := fleet.Account(fmt.Sprint("account-", i))
		want, got := sender.total.usages[account], held.usages[account].Decayed(passed)
		isClose := func(got, want float64) bool {
			return math.Abs(got-want) <= usageTolerance*(mean+want)+tokensPerUsageUnit
		}
		if !isClose(got.Requested, want.Requested) || !isClose(got.Granted, want.Granted) || !isClose(got.Idle, want.Idle) {
			t.Fatalf("%s: usage %+v of %s, receiver holds %+v", sender.self, want, account, got)
		}
	}
}

// Heartbeats are lost, repeated and delayed, and processes restart. Whenever a router
// holds an aggregate up to the newest heartbeat, it must equal the sender's within the
// tolerance, and two rounds after the last fault it must do so for both senders.
func TestAggregateDeltasConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := boottime.Instant(time.Hour)
		receiver, receiverIncarnation := newTable(self, "zone0"), uint64(1)
		senders := []*testAggregator{newTestAggregator("10.0.1.1:1"), newTestAggregator("10.0.1.2:1")}
		round := func(trouble bool) {
			now = now.Add(heartbeatInterval)
			happens := func(what string) bool { return trouble && rapid.IntRange(0, 3).Draw(t, what) == 0 }
			if happens("all are suspended") && happens("for a long time") {
				now = now.Add(fullResendInterval)
			}
			if happens("receiver restarts") && happens("indeed") {
				receiver, receiverIncarnation = newTable(self, "zone0"), uint64(now)
			}
			for _, sender := range senders {
				if happens("sender restarts") && happens("indeed") {
					sender.restart()
				}
				if !happens("heartbeat to sender is lost") {
					sender.applyHeartbeat(&peeringpb.Beat{Address: self, Zone: "zone0", Incarnation: receiverIncarnation, Clock: int64(now),
						Held: receiver.heldAggregates([]fleet.Address{sender.self})}, now)
				}
				sender.change(t, now)
				heartbeat := sender.nextHeartbeat(now)
				if !happens("heartbeat to receiver is lost") {
					receiver.applyHeartbeat(heartbeat, now)
				}
				if happens("an earlier heartbeat arrives") {
					receiver.applyHeartbeat(rapid.SampledFrom(sender.sent).Draw(t, "earlier"), now)
				}
				if held := receiver.aggregates[sender.self]; held != nil && held.clock == int64(now) {
					checkAggregate(t, held, sender, now)
				}
			}
		}
		for range rapid.IntRange(1, 40).Draw(t, "rounds") {
			round(true)
		}
		round(false)
		round(false)
		for _, sender := range senders {
			checkAggregate(t, receiver.aggregates[sender.self], sender, now)
		}
		total, covered := receiver.mergeAggregates(now, true, false)
		if len(covered) != 1 || len(total.loads) > 10 {
			t.Fatalf("zones %v are covered, with %d loads", covered, len(total.loads))
		}
		for engine, load := range total.loads {
			first, second := senders[0].total.loads[engine].Running, senders[1].total.loads[engine].Running
			if load.Running != first && load.Running != second {
				t.Fatalf("%d requests at engine %d, senders reported %d and %d", load.Running, engine, first, second)
			}
		}
	})
}

// Guards against deltas that are applied to the wrong entries. A delta with an unknown
// number, as from another version of the program or a foreign sender, must not be taken
// for a full aggregate, and the full one must be requested.
func TestDeltasWithUnknownNumbersRequestTheFullAggregate(t *testing.T) {
	now := boottime.Instant(time.Hour)
	receiver := newTable(self, "zone0")
	take := func(clock int64, changes *peeringpb.SumChanges) {
		receiver.applyHeartbeat(&peeringpb.Beat{Address: "a", Zone: "zone1", Incarnation: 1, Clock: clock, SumChanges: changes}, now)
	}
	zones := []string{"zone1"}
	take(1, &peeringpb.SumChanges{Zones: zones, Base: 9, LoadStep: []uint32{1}, Running: []uint32{1}, Pending: []uint32{1}, Memory: []uint32{1}})
	if receiver.aggregates["a"] != nil {
		t.Error("deltas since an unknown heartbeat were applied")
	}
	take(2, &peeringpb.SumChanges{Zones: zones, Backend: []uint32{sharedEngine}, BackendNumber: []uint32{3}, LoadStep: []uint32{3}, Running: []uint32{5}, Pending: []uint32{1}, Memory: []uint32{1}})
	if held := receiver.aggregates["a"]; held == nil || held.clock != 2 || held.loads[sharedEngine].Running != 5 {
		t.Fatalf("%+v after a full aggregate", held)
	}
	take(3, &peeringpb.SumChanges{Zones: zones, Base: 2, LoadStep: []uint32{4}, Running: []uint32{1, 2}, Pending: []uint32{1}, Memory: []uint32{1}})
	if held := receiver.aggregates["a"]; held.loads[sharedEngine].Running != 5 || len(receiver.heldAggregates([]fleet.Address{"a"}).Router) != 0 {
		t.Errorf("%+v after an unknown number", held)
	}
}

// Guards against full aggregates to all routers each time that aggregates are lost for a
// short time, and against numbers that grow without bound as accounts come and go.
func TestRenumberingIsRare(t *testing.T) {
	var log aggregateLog
	now := boottime.Instant(time.Hour)
	resets := 0
	const rounds, perRound = 3000, 20
	for i := range rounds {
		total := newUsage(now)
		for j := range perRound {
			if i%3 != 0 {
				total.usages[fleet.Account(fmt.Sprint(i, j))] = shares.Usage{Requested: 1000, Granted: 1000}
			}
		}
		startedAt := log.startedAt
		log.update(total, now)
		if log.startedAt != startedAt {
			resets++
		}
		if maxNumbers := perRound*int(minRenumberInterval/heartbeatInterval) + maxUnusedNumbers; len(log.usages) > maxNumbers {
			t.Fatalf("%d numbers are assigned, want at most %d", len(log.usages), maxNumbers)
		}
		now = now.Add(heartbeatInterval)
	}
	if maxResets := rounds*int(heartbeatInterval)/int(minRenumberInterval) + 1; resets > maxResets {
		t.Errorf("numbers were reassigned %d times, want at most %d", resets, maxResets)
	}
}

// Guards against wrong or missing aggregates while some routers run the previous version,
// which sends and accepts only full aggregates.
func TestAggregatesAmongOldAndNewRouters(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newSimNetwork(t, 3, 4)
		old := make(map[*Manager]bool)
		for _, address := range f.addresses() {
			old[f.routers[address]] = rapid.Bool().Draw(t, string(address))
		}
		for address := range f.routers {
			manager := f.routers[address]
			manager.network = &mixedVersionLink{simLink: simLink{sim: f, from: manager}, old: old}
		}
		f.run(settleRounds / 2)
		f.checkUsage("among old and new routers")
		for _, router := range f.addresses() {
			old[f.routers[router]] = false
		}
		f.run(settleRounds / 2)
		f.checkUsage("after all were upgraded")
	})
}

// mixedVersionLink is the link of a router in a fleet where some routers do not support
// deltas.
type mixedVersionLink struct {
	simLink
	old map[*Manager]bool
}

func (l *mixedVersionLink) Send(data []byte, target fleet.Address) {
	to := l.sim.routers[target]
	if l.old[l.from] || l.old[to] {
		var heartbeat peeringpb.Beat
		if err := proto.Unmarshal(data, &heartbeat); err != nil {
			l.sim.t.Fatal(err)
		}
		if heartbeat.SumChanges != nil && l.old[l.from] {
			l.sim.t.Fatalf("a router of the previous version sends deltas")
		}
		heartbeat.Held, heartbeat.SumChanges = nil, nil
		data, _ = proto.Marshal(&heartbeat)
	}
	l.simLink.Send(data, target)
}

// Guards against aggregator traffic that grows with all usage instead of with the
// changes, and against aggregates that arrive later because of the deltas.
func TestSumsOfALargeFleet(t *testing.T) {
	const (
		maxSent              = 2_000_000 // bytes per second of an aggregator
		maxReceived          = 20_000    // bytes of aggregates per second at each other router
		maxReceivedByStandby = 60_000    // the same at a standby, which receives the aggregates of other zones every standbyRounds rounds
	)
	f, c := startLoadedFleet(t, inTwoYears)
	received := make(map[*Manager]int)
	f.onHeartbeat = func(heartbeat *peeringpb.Beat, bytes int, to *Manager) {
		if carriesAggregate(heartbeat) {
			received[to] += bytes
		}
	}
	own, others := c.measurePropagation(inTwoYears.measured)
	seconds := float64(inTwoYears.measured) * heartbeatInterval.Seconds()
	for address, router := range f.routers {
		sentBytes := router.traffic.bytesSinceLog["sums own"] + router.traffic.bytesSinceLog["sums other"]
		if perSecond := float64(sentBytes) / seconds; perSecond > maxSent {
			t.Errorf("%s sends %.0f bytes of aggregates per second", address, perSecond)
		}
		if router.isAggregator(f.now) {
			continue
		}
		maxBytes := maxReceived
		if len(router.aggregateSenders()) > 0 {
			maxBytes = maxReceivedByStandby
		}
		if bytes := float64(received[router]) / seconds; bytes > float64(maxBytes) {
			t.Errorf("%s receives %.0f bytes of aggregates per second", address, bytes)
		}
	}
	t.Logf("a request is known after a median of %v in its own zone and %v in others", own, others)
	if own > 500*time.Millisecond || others > time.Second {
		t.Errorf("a request is known after %v in its own zone and %v in others", own, others)
	}
}

// measurePropagation starts one request at a router of each zone, each at a new engine,
// runs rounds, and returns the median time until routers of the same zone and of other
// zones know of it.
func (c *workload) measurePropagation(rounds int) (own, others time.Duration) {
	const newEngines = 1 << 20
	startedAt := c.sim.now
	at := make(map[uint32]*Manager)
	for zone := range c.size.zones {
		number := zone*c.size.perZone + c.random.IntN(c.size.perZone)
		engine := uint32(newEngines + zone)
		at[engine] = c.sim.routers[c.sim.addresses()[number]]
		c.locals[number].add(engine, gate.BackendLoad{Running: 1, Pending: 1000, Memory: 1000})
	}
	known := make(map[string]bool)
	var delays [2][]time.Duration // to routers of the same zone, and to others
	for range rounds {
		c.run(1)
		for engine, from := range at {
			for address, router := range c.sim.routers {
				name := fmt.Sprint(address, engine)
				if router == from || known[name] || router.Load(engine).Running == 0 {
					continue
				}
				known[name] = true
				index := 1
				if router.options.Zone == from.options.Zone {
					index = 0
				}
				delays[index] = append(delays[index], c.sim.now.Sub(startedAt))
			}
		}
	}
	all := c.size.zones * (c.size.zones*c.size.perZone - 1)
	if len(known) != all {
		c.sim.t.Errorf("%d of %d routers know of the requests", len(known), all)
	}
	return median(delays[0]), median(delays[1])
}

func median(durations []time.Duration) time.Duration {
	slices.Sort(durations)
	return durations[len(durations)/2]
}
