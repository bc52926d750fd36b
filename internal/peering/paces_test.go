package peering

import (
	"fmt"
	"io"
	"math"
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
)

// observedPaces is what a router has observed of an engine whose usual work time is 0.55.
func observedPaces(now boottime.Instant, newest float64) map[uint32]pace.Observation {
	return map[uint32]pace.Observation{sharedEngine: {
		Usual: 0.55, Now: newest, NowAt: now, ReadTokens: 32_000, ReadSeconds: 2, Streams: 40, Late: 10,
	}}
}

// Guards against paces that are lost or changed by encoding.
func TestPacesSurviveEncoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := boottime.Now()
		seen := make(map[uint32]pace.Observation)
		for range rapid.IntRange(0, 9).Draw(t, "count") {
			usual := rapid.Float64Range(pace.MinWorkTime, pace.MaxWorkTime/4).Draw(t, "usual")
			seen[rapid.Uint32().Draw(t, "server")] = pace.Observation{
				Usual:       usual,
				Now:         usual * rapid.SampledFrom([]float64{1, 1.2, 2.5}).Draw(t, "ratio"),
				NowAt:       now.Add(-time.Duration(rapid.IntRange(0, 600).Draw(t, "age")) * time.Millisecond),
				ReadTokens:  rapid.Float64Range(0, 1e6).Draw(t, "tokens"),
				ReadSeconds: rapid.Float64Range(0, 100).Draw(t, "seconds"),
				Streams:     rapid.Float64Range(0, 1000).Draw(t, "streams"),
				Late:        rapid.Float64Range(0, 1000).Draw(t, "late"),
			}
		}
		own := splitPaces(seen, now)
		arrived := decodePaces(encodePaces(own.usual), encodeSlowed(own, now), now)
		if len(arrived.usual) != len(seen) {
			t.Fatalf("%d of %d servers are decoded", len(arrived.usual), len(seen))
		}
		for server, sent := range seen {
			got := arrived.usual[server]
			if math.Abs(got.Usual-sent.Usual) > 0.0051 || math.Abs(got.ReadTokens-sent.ReadTokens) > tokensPerLoadUnit ||
				math.Abs(got.ReadSeconds-sent.ReadSeconds) > 0.001 || math.Abs(got.Streams-sent.Streams) > 0.1 || math.Abs(got.Late-sent.Late) > 0.1 {
				t.Fatalf("%+v is decoded as %+v", sent, got)
			}
			newest, reported := arrived.slowed[server]
			if reported != sent.Slowed(now) {
				t.Fatalf("%+v is reported as slowed: %t", sent, reported)
			}
			if reported && (math.Abs(newest.Now-sent.Now) > 0.0051 || newest.NowAt.Sub(sent.NowAt).Abs() > time.Millisecond) {
				t.Fatalf("%+v is decoded as %+v", sent, newest)
			}
		}
	})
}

// Guards against a crash or invalid values caused by a datagram of another version of the
// program or from a foreign sender.
func TestInvalidPacesAreDropped(t *testing.T) {
	now := boottime.Now()
	usual := &peeringpb.Paces{Backend: []uint32{1, 2, 3}, Usual: []uint32{0, 50, 60}, ReadTokens: []uint32{1, 1}, ReadMs: []uint32{1, 1, 1}, Streams: []uint32{1, 1}, Late: []uint32{1, 1}}
	slowed := &peeringpb.Slowed{Backend: []uint32{1, 2, 3}, Now: []uint32{150, math.MaxUint32}, AgeMs: []uint32{math.MaxUint32, 1, 1}}
	got := decodePaces(usual, slowed, now)
	if len(got.usual) != 1 || got.usual[2].Usual != 0.5 {
		t.Errorf("usual work times %+v", got.usual)
	}
	if len(got.slowed) != 1 || got.slowed[1].NowAt < 1 || got.slowed[1].Current(now) != 0 {
		t.Errorf("newest work times %+v", got.slowed)
	}
}

// Guards against routers in large zones or in other zones that never receive an engine's
// pace because their turns fall into rounds without paces.
func TestPacesReachAllRouters(t *testing.T) {
	for _, size := range []struct{ zones, perZone int }{{1, 5}, {3, 2}, {3, 8}, {5, 14}, {1, 40}, {2, 33}} {
		t.Run(fmt.Sprintf("%d zones of %d", size.zones, size.perZone), func(t *testing.T) {
			f := newSimNetwork(t, size.zones, size.perZone)
			f.run(settleRounds)
			const reporter = "10.0.0.2:1"
			f.locals[reporter].paces = observedPaces(f.now, 0.55)
			f.run(3 * cyclesPerPaces * zoneCycleRounds(size.perZone))
			for address, router := range f.routers {
				got := router.Paces(f.now)[sharedEngine]
				if address != reporter && (got.Usual != 0.55 || got.Streams == 0) {
					t.Errorf("%s knows %+v", address, got)
				}
			}
		})
	}
}

// Guards against a slow phase that other routers learn of only after it is over.
func TestSlowedEngineIsReportedInEachHeartbeat(t *testing.T) {
	f := newSimNetwork(t, 3, 8)
	f.run(settleRounds)
	const reporter = "10.0.1.2:1"
	f.locals[reporter].paces = observedPaces(f.now, 0.55)
	f.run(settleRounds)
	f.locals[reporter].paces = observedPaces(f.now.Add(heartbeatInterval), 1.37)
	f.run(3) // to the zone's aggregator, to the other aggregators, to all routers
	for address, router := range f.routers {
		got := router.Paces(f.now)[sharedEngine]
		if address != reporter && got.Current(f.now) != 1.37 {
			t.Errorf("%s knows %+v", address, got)
		}
	}
	f.locals[reporter].paces = observedPaces(f.now, 0.55)
	f.run(3)
	for address, router := range f.routers {
		if got := router.Paces(f.now)[sharedEngine]; address != reporter && got.Current(f.now) != 0 {
			t.Errorf("%s knows %+v after the slow phase", address, got)
		}
	}
}

// Guards against sums that grow with each router that forwards them.
func TestPacesAreCountedOnce(t *testing.T) {
	const streams = 40
	f := newSimNetwork(t, 3, 8)
	for _, local := range f.locals {
		local.paces = observedPaces(f.now, 0.55)
	}
	f.run(2 * settleRounds)
	want := float64(streams * (len(f.routers) - 1))
	for address, router := range f.routers {
		// The sums decay between two rounds with paces, and pass through three routers.
		if got := router.Paces(f.now)[sharedEngine].Streams; got > want || got < 0.8*want {
			t.Errorf("%s knows of %v streams of others, there are %v", address, got, want)
		}
	}
}

// heartbeatWithPaces returns a heartbeat of router a with its observations.
func heartbeatWithPaces(incarnation uint64, clock int64, observed map[uint32]pace.Observation, now boottime.Instant) *peeringpb.Beat {
	heartbeat := newHeartbeat("a", incarnation, clock)
	heartbeat.Paces, heartbeat.Slowed = splitPaces(observed, now).encode(observed != nil, now)
	return heartbeat
}

// Guards against paces that outlive the router that reported them, and against ones that
// vanish with the next heartbeat, as most heartbeats carry none.
func TestReportedPacesAreKeptUntilTheirRouterExpires(t *testing.T) {
	now := boottime.Now()
	table := newTable(self, "")
	table.applyHeartbeat(heartbeatWithPaces(1, 1, observedPaces(now, 1.37), now), now)
	if got := table.Paces(now)[sharedEngine]; got.Usual != 0.55 || got.Current(now) != 1.37 {
		t.Errorf("paces %+v after the first heartbeat", got)
	}
	table.applyHeartbeat(heartbeatWithPaces(1, 2, nil, now), now)
	if got := table.Paces(now)[sharedEngine]; got.Usual != 0.55 || got.Current(now) != 0 {
		t.Errorf("paces %+v after a heartbeat without paces", got)
	}
	table.applyHeartbeat(heartbeatWithPaces(1, 1, observedPaces(now, 1.37), now), now) // out of order
	if got := table.Paces(now)[sharedEngine]; got.Current(now) != 0 {
		t.Errorf("paces %+v after an out-of-order heartbeat", got)
	}
	later := now.Add(minPeerTimeout)
	if got := table.Paces(later); got != nil {
		t.Errorf("paces %+v of an unreachable router", got)
	}
	table.applyHeartbeat(heartbeatWithPaces(2, 1, nil, now), now)
	if got := table.Paces(now); got != nil {
		t.Errorf("paces %+v of a router that has restarted", got)
	}
}

// Guards against paces that count permanently while their router sends heartbeats without
// any.
func TestReportedPacesExpire(t *testing.T) {
	now := boottime.Now()
	table := newTable(self, "")
	table.applyHeartbeat(heartbeatWithPaces(1, 1, observedPaces(now, 0.55), now), now)
	for clock := int64(2); clock < 2+int64(pace.MaxAge/time.Second); clock++ {
		now = now.Add(time.Second)
		table.applyHeartbeat(heartbeatWithPaces(1, clock, nil, now), now)
	}
	if got := table.Paces(now); got != nil {
		t.Errorf("paces %+v after %v", got, pace.MaxAge)
	}
}

// Guards against larger heartbeats in deployments whose servers report no work times.
func TestNothingIsSentWhileNoPaceIsKnown(t *testing.T) {
	f := newSimNetwork(t, 3, 8)
	heartbeats := 0
	f.onData = func(data []byte, _ *Manager) {
		var heartbeat peeringpb.Beat
		if err := proto.Unmarshal(data, &heartbeat); err != nil {
			t.Fatal(err)
		}
		heartbeat.Paces, heartbeat.Slowed = nil, nil
		if heartbeat.Sums != nil {
			heartbeat.Sums.Paces, heartbeat.Sums.Slowed = nil, nil
		}
		if size := proto.Size(&heartbeat); size != len(data) {
			t.Fatalf("%d bytes, %d without paces", len(data), size)
		}
		heartbeats++
	}
	f.run(settleRounds)
	if heartbeats == 0 {
		t.Error("no heartbeat arrived")
	}
}

// statusLocal is a router that knows one engine.
type statusLocal struct{ fakeLocal }

func (*statusLocal) Status() gate.Status {
	return gate.Status{Engines: []gate.EnginePace{{
		ID: "i-1", Service: "s", Zone: "z", Running: 5,
		Estimate: pace.Estimate{HasReport: true, Usual: 0.5, Now: 1.25, Rate: 9000, Late: 0.25, Age: time.Second},
	}}}
}

// Guards against a status without paces, or with values in the wrong fields.
func TestStatusReportsPaces(t *testing.T) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	manager := NewManager(Options{Address: fleet.Address(self), State: knowledge.NewState(), Logger: logger})
	manager.SetLocal(&statusLocal{})
	status, err := (&operation{manager: manager}).Status(t.Context(), &peeringpb.StatusRequest{})
	if err != nil {
		t.Fatal(err)
	}
	want := &peeringpb.EnginePace{Id: "i-1", Service: "s", Zone: "z", Usual: 0.5, Now: 1.25, TokensPerS: 9000, Late: 0.25, Age: int64(time.Second), Running: 5}
	if len(status.Engines) != 1 || !proto.Equal(status.Engines[0], want) {
		t.Errorf("%v, want %v", status.Engines, want)
	}
}

// tableOfZone returns a table with the given number of reachable routers of its zone,
// each of which has reported on all engines.
func tableOfZone(routers, engines int, now boottime.Instant) *table {
	t := newTable("10.0.0.1:1", "a")
	for i := range routers {
		usual := make(map[uint32]pace.Observation, engines)
		for engine := range engines {
			usual[uint32(engine)*2654435761] = pace.Observation{Usual: 1, ReadTokens: 100, ReadSeconds: 1, Streams: 3}
		}
		reported := usage{paces: paces{usual: usual, usualAt: now.Add(-time.Second)}, at: now}
		t.peers[fleet.Address(fmt.Sprint("10.0.0.2:", i))] = &peer{zone: "a", lastHeartbeat: now, usage: reported}
	}
	return t
}

// Guards against requests that wait for the load of an engine while the paces of all
// routers are merged.
func TestLoadsCanBeReadWhilePacesAreMerged(t *testing.T) {
	now := boottime.Now()
	table := tableOfZone(100, 600, now)
	merged := make(chan struct{})
	go func() {
		defer close(merged)
		for range 20 {
			table.Paces(now)
		}
	}()
	attempts, blocked := 0, 0
	for done := false; !done; attempts++ {
		select {
		case <-merged:
			done = true
		case <-time.After(100 * time.Microsecond):
		}
		if !table.mu.TryLock() {
			blocked++
			continue
		}
		table.mu.Unlock()
	}
	if blocked > attempts/2 {
		t.Errorf("the table was locked at %d of %d attempts", blocked, attempts)
	}
}

// Guards against paces of other zones that vanish between two merges, or that are merged
// again with each heartbeat.
func TestUsualWorkTimesOfOtherZonesAreMergedOncePerSecond(t *testing.T) {
	const server = 7
	now := boottime.Now()
	table := newTable(self, "home")
	report := func(usual float64, at boottime.Instant) float64 {
		reported := newUsage(at)
		reported.paces.usual[server] = pace.Observation{Usual: usual}
		table.aggregates["other"] = &aggregate{usage: reported, zones: []fleet.Zone{"away"}}
		table.refreshOtherZones(at)
		return table.Paces(at)[server].Usual
	}
	for _, step := range []struct {
		after          time.Duration
		reported, want float64
	}{
		{0, 2, 2},
		{heartbeatInterval, 3, 2},
		{usualMergeInterval, 3, 3},
	} {
		if got := report(step.reported, now.Add(step.after)); got != step.want {
			t.Errorf("after %v: %v, want %v", step.after, got, step.want)
		}
	}
}

// Guards against paces that expire before they are sent again, in zones with hundreds of
// routers.
func TestPacesAreSentAgainBeforeTheyExpire(t *testing.T) {
	table := newTable(self, "home")
	for _, turns := range []int{1, 5, 10, 20, 60, 150} {
		last, longest := -1, 0
		for round := range 5000 {
			if !table.pacesDue(round, turns) || round%turns != 0 {
				continue
			}
			if last >= 0 {
				longest = max(longest, round-last)
			}
			last = round
		}
		if gap := time.Duration(longest) * heartbeatInterval; longest == 0 || gap > pace.MaxAge*3/4 {
			t.Errorf("%d turns: sent every %v, expires after %v", turns, gap, pace.MaxAge)
		}
	}
}
