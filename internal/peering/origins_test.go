package peering

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
	"github.com/bluebellchute/bluebellchute/internal/peering/peeringpb"
	"github.com/bluebellchute/bluebellchute/internal/streamorigin"
)

// originFleet are routers that know each other and exchange messages on origins at once. It
// has no time of its own.
type originFleet struct {
	routers map[fleet.Address]*Manager
	lost    map[fleet.Address]bool // routers that get nothing
	bytes   atomic.Int64
}

// originLink implements Network for one router.
type originLink struct {
	Network
	fleet *originFleet
}

func (l originLink) Send(data []byte, to fleet.Address) {
	l.fleet.bytes.Add(int64(len(data)))
	router := l.fleet.routers[to]
	if router == nil || l.fleet.lost[to] {
		return
	}
	var message peeringpb.Beat
	if err := proto.Unmarshal(data, &message); err != nil {
		panic(err)
	}
	router.handleOrigin(fleet.Address(message.Address), message.StreamOrigin, boottime.Now())
}

func newOriginFleet(zones, perZone int) *originFleet {
	f := &originFleet{routers: make(map[fleet.Address]*Manager), lost: make(map[fleet.Address]bool)}
	logger := logrus.New()
	for i := range zones * perZone {
		address := fleet.Address(fmt.Sprintf("10.0.%d.%d:8241", i/200, i%200+1))
		manager := NewManager(Options{Address: address, Zone: fleet.Zone(fmt.Sprint("z", i%zones)), State: knowledge.NewState(), Logger: logger})
		var network Network = originLink{fleet: f}
		manager.origins.network.Store(&network)
		f.routers[address] = manager
	}
	for address, router := range f.routers {
		for _, other := range f.routers {
			heartbeat := newHeartbeat(string(address), 1, 1)
			heartbeat.Zone = string(router.zone)
			other.applyHeartbeat(heartbeat, boottime.Now())
		}
	}
	return f
}

// any returns a router that is not among the excluded ones.
func (f *originFleet) any(excluded ...*Manager) *Manager {
	for _, router := range f.routers {
		usable := !f.lost[router.self]
		for _, other := range excluded {
			usable = usable && router != other
		}
		if usable {
			return router
		}
	}
	return nil
}

// Guards against a stream whose version nobody knows after the router that began it, or that
// one and another, were killed.
func TestOriginIsFoundAfterRoutersAreLost(t *testing.T) {
	f := newOriginFleet(4, 5)
	for i := range 200 {
		stream := streamorigin.Stream(i)
		clear(f.lost)
		began := f.any()
		began.RecordOrigin(stream, 7, time.Minute)
		f.lost[began.self] = true
		if i%2 == 1 {
			f.lost[f.any(began).self] = true
		}
		asked := f.any(began)
		if got, _ := asked.FindOrigin(t.Context(), stream); got.Software != 7 {
			t.Errorf("stream %d: %d, want 7", i, got.Software)
		}
		if origin, known := asked.origins.table.Find(stream, boottime.Now()); !known || origin.Software != 7 {
			t.Error("the router that asked does not keep it")
		}
	}
}

// Guards against a stream that is refused by a router which has just started and has not heard
// those that keep its origin, while it knows their addresses or is about to read them.
func TestStartingRouterAsksRoutersThatItHasNotHeard(t *testing.T) {
	for name, listedAfter := range map[string]time.Duration{"listed": 0, "listed soon": 60 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			f := newOriginFleet(2, 3)
			began := f.any()
			began.RecordOrigin(7, 8, time.Minute)
			f.lost[began.self] = true
			starting := NewManager(Options{Address: "10.9.9.9:8241", Zone: "z0", State: knowledge.NewState(), Logger: logrus.New(), Directory: &fakeDirectory{}})
			var network Network = originLink{fleet: f}
			starting.origins.network.Store(&network)
			f.routers[starting.self] = starting
			list := time.AfterFunc(listedAfter, func() {
				starting.applyDirectory(t.Context(), lo.MapValues(f.routers, func(router *Manager, _ fleet.Address) fleet.Zone { return router.zone }), 0)
			})
			defer list.Stop()
			if origin, known := starting.FindOrigin(t.Context(), 7); !known || origin.Software != 8 {
				t.Errorf("software %d, known %v; want 8", origin.Software, known)
			}
		})
	}
}

// Guards against callers that wait too long at a router that has just started while the directory
// does not come.
func TestStartingRouterWaitsBrieflyForTheDirectory(t *testing.T) {
	f := newOriginFleet(2, 3)
	router := f.any()
	router.options.Directory = &fakeDirectory{}
	started := time.Now()
	if _, known := router.FindOrigin(t.Context(), 7); known || time.Since(started) >= 2*maxDirectoryWait {
		t.Errorf("known %v after %v", known, time.Since(started))
	}
}

// Guards against callers that wait although it is known at once that no router knows.
func TestUnknownOriginIsReportedAtOnce(t *testing.T) {
	f := newOriginFleet(4, 5)
	started := time.Now()
	if got, known := f.any().FindOrigin(t.Context(), 7); known {
		t.Errorf("software %d of an unknown stream", got.Software)
	}
	if took := time.Since(started); took >= queryIntervals[0] {
		t.Errorf("it took %v, with all routers in reach", took)
	}
}

// Guards against callers that wait for routers that do not answer, and against a query that is
// sent once only although datagrams get lost.
func TestQueryOfSilentRoutersEnds(t *testing.T) {
	f := newOriginFleet(1, 3)
	asking := f.any()
	for address := range f.routers {
		f.lost[address] = address != asking.self
	}
	if got, known := asking.FindOrigin(t.Context(), 7); known {
		t.Errorf("software %d of an unknown stream", got.Software)
	}
	if len(asking.origins.queries) != 0 {
		t.Error("the query is kept")
	}
	query, err := proto.Marshal(&peeringpb.Beat{Address: string(asking.self), StreamOrigin: &peeringpb.StreamOrigin{Stream: 7, Asks: true}})
	if err != nil {
		t.Fatal(err)
	}
	if want := int64(len(query) * 2 * len(queryIntervals)); f.bytes.Load() != want {
		t.Errorf("%d bytes were sent, want %d: to both routers in each interval", f.bytes.Load(), want)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	started := time.Now()
	asking.FindOrigin(ctx, 8)
	if took := time.Since(started); took >= queryIntervals[0] {
		t.Errorf("it took %v after the caller had gone", took)
	}
}

// Guards against a stream that goes on at one of two versions which began with the same id, at a
// router that has seen only one of them.
func TestReusedIDIsKnownToBeAmbiguous(t *testing.T) {
	f := newOriginFleet(1, 4)
	first := f.any()
	second := f.any(first)
	first.RecordOrigin(7, 1, time.Minute)
	second.RecordOrigin(7, 2, time.Minute)
	asked := f.any(first, second)
	if origin, known := asked.FindOrigin(t.Context(), 7); !known || origin.Software != streamorigin.Ambiguous {
		t.Errorf("software %d, known %v; want ambiguous", origin.Software, known)
	}
}

// Guards against a stream that goes on at one of several versions which began with the same id, at
// any router but those that began it, in fleets of any shape; and against messages for each further
// use of the id.
func TestReusedIDIsAmbiguousAtAllRouters(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newOriginFleet(rapid.IntRange(1, 6).Draw(t, "zones"), rapid.IntRange(1, 4).Draw(t, "routers of a zone"))
		stream := streamorigin.Stream(rapid.Uint64().Draw(t, "stream"))
		began := make(map[fleet.Address]bool)
		for i := range rapid.IntRange(2, 4).Draw(t, "streams") {
			router := f.routers[rapid.SampledFrom(slices.Sorted(maps.Keys(f.routers))).Draw(t, "router")]
			began[router.self] = true
			router.RecordOrigin(stream, knowledge.SoftwareID(i+1), time.Minute)
		}
		for address, router := range f.routers {
			if began[address] {
				continue
			}
			if origin, known := router.FindOrigin(t.Context(), stream); !known || origin.Software != streamorigin.Ambiguous {
				t.Fatalf("at %s: software %d, known %v; want ambiguous", address, origin.Software, known)
			}
		}
		if others := lo.Without(lo.Keys(f.routers), lo.Keys(began)...); len(others) > 0 {
			const recordBytes = 50
			f.bytes.Store(0)
			f.routers[others[0]].RecordOrigin(stream, 9, time.Minute)
			if f.bytes.Load() > 2*recordBytes {
				t.Fatalf("%d bytes were sent for one more stream", f.bytes.Load())
			}
		}
	})
}

// Guards against an origin from an answer that nobody asked for, and against queries without a
// bound.
func TestQueriesAndAnswersAreBounded(t *testing.T) {
	f := newOriginFleet(1, 2)
	router := f.any()
	other := f.any(router)
	router.handleOrigin(other.self, &peeringpb.StreamOrigin{Stream: 7, Software: 8, LastsMs: 9000, Answers: true}, boottime.Now())
	if _, known := router.origins.table.Find(7, boottime.Now()); known {
		t.Error("an answer that was not asked for counts")
	}
	for range maxQueries {
		router.origins.add(&originQuery{})
	}
	started := time.Now()
	f.lost[other.self] = true
	if _, known := router.FindOrigin(t.Context(), 9); known || time.Since(started) >= queryIntervals[0] {
		t.Errorf("known %v after %v", known, time.Since(started))
	}
	now := boottime.Now()
	router.handleOrigin(other.self, &peeringpb.StreamOrigin{Stream: 10, Software: 8, LastsMs: 1 << 31}, now)
	if _, known := router.origins.table.Find(10, now.Add(streamorigin.MaxTime+time.Second)); known {
		t.Error("an origin is kept for longer than MaxTime")
	}
}

// Guards against messages of which other routers make a heartbeat.
func TestOriginMessageIsNoHeartbeat(t *testing.T) {
	f := newOriginFleet(1, 2)
	router := f.any()
	other := f.any(router)
	before := *router.peers[other.self]
	message := &peeringpb.Beat{Address: string(other.self), StreamOrigin: &peeringpb.StreamOrigin{Stream: 7, Software: 8, LastsMs: 9000}}
	if accepted, _ := router.applyHeartbeat(message, boottime.Now()); accepted {
		t.Error("a router that doesn't know such messages takes it for a heartbeat")
	}
	data, err := proto.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	router.receiver().Heartbeat(t.Context(), data)
	if after := *router.peers[other.self]; after.lastHeartbeat != before.lastHeartbeat {
		t.Error("it counts as a heartbeat")
	}
	if origin, _ := router.origins.table.Find(7, boottime.Now()); origin.Software != 8 {
		t.Errorf("software %d, want 8", origin.Software)
	}
}

// BenchmarkOriginBytes reports the bytes that a router of a large fleet sends for each stream
// that begins there, and the time that takes.
func BenchmarkOriginBytes(b *testing.B) {
	f := newOriginFleet(4, 89)
	router := f.any()
	b.ResetTimer()
	for i := range b.N {
		router.RecordOrigin(streamorigin.Stream(i), 7, 45*time.Second)
	}
	b.ReportMetric(float64(f.bytes.Load())/float64(b.N), "bytes/op")
}
