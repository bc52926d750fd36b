package peering

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/bluebellchute/bluebellchute/internal/crash"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/peering/peeringpb"
)

// harmfulSegment crashes servers in these tests.
const harmfulSegment = crash.Segment(7)

// newEvidenceNetwork returns a network of routers that have all heard each other.
func newEvidenceNetwork(t rapid.TB, zones, perZone int) *simNetwork {
	f := newSimNetwork(t, zones, perZone)
	for _, router := range f.routers {
		for _, peer := range router.peers {
			peer.lastHeartbeat, peer.incarnation = f.now, 1
		}
	}
	return f
}

// tell plays rounds of evidence of all routers.
func (f *simNetwork) tell(rounds int) {
	for range rounds {
		f.now = f.now.Add(evidenceInterval)
		f.round++
		for _, address := range f.addresses() {
			f.routers[address].tellEvidenceRound(f.round, 0, f.now)
		}
	}
}

// refusing returns the number of routers that refuse the segment.
func (f *simNetwork) refusing() int {
	count := 0
	for _, local := range f.locals {
		if _, refused := local.segments.Counts(); refused > 0 {
			count++
		}
	}
	return count
}

// Guards against a segment that some routers of a large fleet go on sending because the crashes
// were each seen by another router, and against more bytes than a router may spend.
func TestCrashesSeenByOneRouterEachReachAll(t *testing.T) {
	f := newEvidenceNetwork(t, 4, 89)
	bytes := 0
	f.onData = func(data []byte, _ *Manager) { bytes += len(data) }
	for i, address := range f.addresses()[:40] {
		// The harmful segment is in three crashes, each with many others that are in one.
		segments := []crash.Segment{crash.Segment(1000 + i), crash.Segment(2000 + i)}
		if i%10 == 0 && i < 30 {
			segments = append(segments, harmfulSegment)
		}
		f.locals[address].segments.Crashed(uint32(i/10), f.now, segments, f.now)
	}
	rounds := int(time.Second / evidenceInterval)
	f.tell(rounds)
	if got := f.refusing(); got != len(f.routers) {
		t.Errorf("%d of %d routers refuse the segment after a second", got, len(f.routers))
	}
	if got := bytes / len(f.routers); got > 15_000 {
		t.Errorf("%d bytes a router in the first second", got)
	}
	t.Logf("%d bytes a router in the first second", bytes/len(f.routers))
}

// Guards against a router that no other one tells, or that learns late, in a fleet of any size,
// because others happen to be picked more often or can't be reached.
func TestNewsReachesEachRouterFromSeveral(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(2, 500).Draw(t, "routers")
		ring := lo.Times(size, func(i int) fleet.Address { return fleet.Address(fmt.Sprint(i)) })
		neighbours := make(map[fleet.Address][]fleet.Address)
		firstRound := make(map[fleet.Address]int) // rounds aren't synchronous
		for i, router := range ring {
			neighbours[router] = neighboursOf(slices.Concat(ring[i+1:], ring[:i]))
			firstRound[router] = rapid.IntRange(0, 50).Draw(t, "round")
		}
		tellers := make(map[fleet.Address]map[fleet.Address]bool)
		for _, router := range ring {
			for round := range crash.TellRounds {
				for _, target := range evidenceTargets(firstRound[router]+round, neighbours[router]) {
					if tellers[target] == nil {
						tellers[target] = make(map[fleet.Address]bool)
					}
					tellers[target][router] = true
				}
			}
		}
		for _, router := range ring {
			if got, want := len(tellers[router]), min(size-1, evidenceNeighbours); got != want || tellers[router][router] {
				t.Fatalf("%s is told by %d others, want %d", router, got, want)
			}
		}

		lost := rapid.SliceOfNDistinct(rapid.SampledFrom(ring[1:]), 0, min(size-1, 4), rapid.ID).Draw(t, "lost")
		learnt := map[fleet.Address]int{ring[0]: 0}
		for round := range int(time.Second / evidenceInterval) {
			for router, since := range maps.Clone(learnt) {
				if round-since >= crash.TellRounds {
					continue
				}
				for _, target := range evidenceTargets(firstRound[router]+round, neighbours[router]) {
					if _, known := learnt[target]; !known && !slices.Contains(lost, target) {
						learnt[target] = round + 1
					}
				}
			}
		}
		if got, want := len(learnt), size-len(lost); got != want {
			t.Fatalf("%d of %d routers know after a second, lost are %v", got, want, lost)
		}
	})
}

// Guards against a router that has just started and is never told what is refused, as the news
// has been told before.
func TestNewcomerIsToldWhatIsRefused(t *testing.T) {
	f := newEvidenceNetwork(t, 1, 4)
	addresses := f.addresses()
	for i, address := range addresses[:3] {
		f.locals[address].segments.Crashed(uint32(i), f.now, []crash.Segment{harmfulSegment}, f.now)
	}
	f.tell(10)
	restarted := addresses[3]
	f.locals[restarted].segments = crash.NewSegmentTable()
	for _, address := range addresses[:3] {
		f.routers[address].handleHeartbeat(t.Context(), &peeringpb.Beat{Address: string(restarted), Incarnation: 2, Clock: 1, ConfigAge: -1, ListAge: -1, ContactAge: -1}, f.now)
	}
	if got := f.refusing(); got != len(addresses) {
		t.Errorf("%d of %d routers refuse the segment", got, len(addresses))
	}
}

// Guards against evidence that another router reads differently, or that a router can't read
// without stopping.
func TestEvidenceIsReadAsItWasSent(t *testing.T) {
	ages := rapid.Custom(func(t *rapid.T) crash.SegmentAge {
		return crash.SegmentAge{
			Segment: crash.Segment(rapid.Uint64().Draw(t, "segment")),
			Age:     time.Duration(rapid.Uint32().Draw(t, "age, ms")) * time.Millisecond,
		}
	})
	crashes := rapid.Custom(func(t *rapid.T) crash.ServerCrash {
		return crash.ServerCrash{
			Server:   rapid.Uint32().Draw(t, "server"),
			Down:     rapid.Bool().Draw(t, "down"),
			Age:      time.Duration(rapid.Uint32().Draw(t, "age, ms")) * time.Millisecond,
			Segments: rapid.SliceOfN(rapid.Map(rapid.Uint64(), func(key uint64) crash.Segment { return crash.Segment(key) }), 1, 5).Draw(t, "segments"),
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		sent := crash.Evidence{
			Crashes: rapid.SliceOfN(crashes, 1, 5).Draw(t, "crashes"),
			Sound:   rapid.SliceOfN(ages, 1, 3).Draw(t, "sound"),
			Refused: rapid.SliceOfN(ages, 1, 3).Draw(t, "refused"),
			Tried:   rapid.SliceOfN(ages, 1, 3).Draw(t, "tried"),
		}
		message := encodeEvidence(sent)
		if got, valid := decodeEvidence(message); !valid || !reflect.DeepEqual(got, sent) {
			t.Fatalf("read as %+v, sent %+v", got, sent)
		}
		message.Segments[0] = rapid.Uint32Min(100).Draw(t, "wrong number of segments")
		if _, valid := decodeEvidence(proto.CloneOf(message)); valid {
			t.Fatal("lists that don't fit together are read")
		}
	})
}

// Guards against heartbeats that grow without a bound, or fingerprints that are never told, when
// servers with many requests go down.
func TestFingerprintsOfHeartbeatsAreBounded(t *testing.T) {
	f := newSimNetwork(t, 1, 1)
	address := f.addresses()[0]
	for fingerprint := range uint64(3 * maxFingerprints) {
		f.locals[address].fingerprints = append(f.locals[address].fingerprints, fingerprint+1)
	}
	told := make(map[uint64]int)
	for range 3 * fingerprintRepeats {
		carried := f.routers[address].nextFingerprints(1)
		if len(carried) > maxFingerprints {
			t.Fatalf("%d fingerprints in a heartbeat", len(carried))
		}
		for _, fingerprint := range carried {
			told[fingerprint]++
		}
	}
	if len(told) != 3*maxFingerprints || !lo.EveryBy(lo.Values(told), func(times int) bool { return times == fingerprintRepeats }) {
		t.Errorf("%d of %d fingerprints were told, not all %d times", len(told), 3*maxFingerprints, fingerprintRepeats)
	}
	for fingerprint := range uint64(2 * maxQueuedFingerprints) {
		f.locals[address].fingerprints = append(f.locals[address].fingerprints, fingerprint)
	}
	f.routers[address].nextFingerprints(1)
	if got := len(f.routers[address].fingerprints); got > maxQueuedFingerprints {
		t.Errorf("%d fingerprints wait", got)
	}
}
