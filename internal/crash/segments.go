package crash

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/samber/lo"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
)

const (
	// SoundAfter is how long whole events of an answer must have come for its segments to
	// count as sound: a segment that crashes servers does so as its answer begins.
	SoundAfter = time.Second
	// soundMemory is how long after a sound answer began crashes do not count against its
	// segments. Sound requests that begin while most servers are down have no other proof.
	soundMemory = 10 * time.Second
	// minCrashes is how many crashes convict a segment.
	minCrashes = 3
	// sameCrash is the time within which two reports on an incarnation are on one crash. A
	// server may start again under its id and crash again.
	sameCrash = 1500 * time.Millisecond
)

// serverCrash is a crash of a backend server, or resets of connections there without a verdict.
type serverCrash struct {
	down     bool   // whether a router has found that the server went down; else nothing counts
	tellDown int    // rounds left in which that is told
	server   uint32 // hash of its incarnation
	at       boottime.Instant
	segments map[Segment]int // of its requests, with the rounds in which they have yet to be told
}

// accusedSegment is a segment that was in a crash.
type accusedSegment struct {
	sound       boottime.Instant // when the newest sound answer began, 0 for none
	refused     boottime.Instant // when a router last refused a request with it, 0 for never
	toldRefused boottime.Instant // when refused was last told to others
	trial       boottime.Instant // when a router last sent a request with it to try it, 0 for never
	convicted   boottime.Instant // since when it has been refused, 0 if it isn't
	fewest      int              // refused segments in any request with it that this router refused, 0 for none
	stored      boottime.Instant // start of this process if earlier ones have kept what accuses it, else 0
	doubtedFrom boottime.Instant // from when on that may be outdated
	storedFor   time.Duration    // since it was kept, by the clocks of two VMs
	tellSound   int              // rounds left
	tellTrial   int
	tellRefused int
	crashes     int // in which it was
}

// Conviction is the reason why requests with a segment are refused.
type Conviction struct {
	Segment Segment
	Servers []uint32 // hashes of the incarnations that crashed
	// Ambiguous says that other segments may have caused the crashes as well.
	Ambiguous bool
	Refused   boottime.Instant // when a router last refused a request with it, 0 for never
}

// SegmentTable decides which prompt segments crash backend servers, by the evidence of all
// routers. Requests that crash servers need not be alike: what they have in common is a
// segment, and each router may see one of the crashes only. The result depends on the evidence
// alone, not on the order in which it arrives. Its methods may be called concurrently.
type SegmentTable struct {
	mu      sync.Mutex
	crashes []*serverCrash // oldest first
	accused map[Segment]*accusedSegment
	seen    *lru.Cache[Segment, boottime.Instant] // when the newest sound answer began
	news    bool                                  // whether something has to be told
	pairs   int                                   // segments in crashes, in all

	evaluatedAt    boottime.Instant
	outdated       atomic.Bool  // whether there is evidence that has not been evaluated
	accusedCount   atomic.Int64 // length of accused
	suspectedCount atomic.Int64 // of these, with a crash that counts against them
	convictions    atomic.Pointer[map[Segment]*Conviction]
}

// NewSegmentTable returns a table without evidence.
func NewSegmentTable() *SegmentTable {
	seen, err := lru.New[Segment, boottime.Instant](maxSeen)
	if err != nil {
		panic(err) // the size is a constant above 0
	}
	t := &SegmentTable{accused: make(map[Segment]*accusedSegment), seen: seen}
	t.convictions.Store(&map[Segment]*Conviction{})
	return t
}

// Reset records that a connection to a backend server was reset at the given time while it ran a
// request of this router with the segments. It counts once any router has found that the server
// went down: others are told before the verdict, as this router may have stopped by then.
func (t *SegmentTable) Reset(server uint32, at boottime.Instant, segments []Segment, now boottime.Instant) {
	if len(segments) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addCrash(server, at, t.suspicious(segments, at), false)
	t.evidenceAdded(now)
}

// Crashed records that a backend server went down at the given time while it ran requests of
// this router with the segments.
func (t *SegmentTable) Crashed(server uint32, at boottime.Instant, segments []Segment, now boottime.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addCrash(server, at, t.suspicious(segments, at), true)
	t.evidenceAdded(now)
}

// suspicious returns the segments without a sound answer that a crash at the given time would
// not count against.
func (t *SegmentTable) suspicious(segments []Segment, at boottime.Instant) []Segment {
	return lo.Filter(lo.Uniq(segments), func(segment Segment, _ int) bool {
		sound, known := t.seen.Peek(segment)
		return !known || sound.Add(soundMemory) < at
	})
}

// Sound records a sound answer to a request with the segments, which began at the given time.
func (t *SegmentTable) Sound(segments []Segment, began, now boottime.Instant) {
	for _, segment := range segments {
		if known, ok := t.seen.Peek(segment); !ok || began > known {
			t.seen.Add(segment, began)
		}
	}
	if t.accusedCount.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	for _, segment := range segments {
		changed = t.acquit(segment) || changed
	}
	if changed {
		t.evidenceAdded(now)
	}
}

// Clear acquits a segment of all crashes so far, as an operator has ordered. It reports whether
// the segment was accused.
func (t *SegmentTable) Clear(segment Segment, now boottime.Instant) bool {
	accused := t.isAccused(segment)
	t.Sound([]Segment{segment}, now, now)
	return accused
}

func (t *SegmentTable) isAccused(segment Segment) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.accused[segment] != nil
}

// addCrash adds segments to a crash. down says that the server is known to have gone down. A crash
// without suspicious segments is kept if it may confirm what others tell.
func (t *SegmentTable) addCrash(server uint32, at boottime.Instant, segments []Segment, down bool) {
	crash := t.findCrash(server, at)
	if down && !crash.down {
		crash.down = true
		t.tell(&crash.tellDown)
		for segment := range crash.segments {
			t.acquit(segment)
		}
	}
	for _, segment := range segments {
		if _, known := crash.segments[segment]; known || len(crash.segments) >= maxSegmentsOfCrash {
			continue
		}
		crash.segments[segment] = TellRounds
		t.pairs++
		t.news = true
		if t.accused[segment] == nil {
			t.accused[segment] = &accusedSegment{}
			t.accusedCount.Add(1)
		}
		t.accused[segment].crashes++
		t.acquit(segment)
	}
}

// findCrash returns the crash of an incarnation at about the given time, which it adds if it is
// not known.
func (t *SegmentTable) findCrash(server uint32, at boottime.Instant) *serverCrash {
	for _, crash := range t.crashes {
		if crash.server == server && at < crash.at.Add(sameCrash) && crash.at < at.Add(sameCrash) {
			return crash
		}
	}
	crash := &serverCrash{server: server, at: at, segments: make(map[Segment]int)}
	position, _ := slices.BinarySearchFunc(t.crashes, at, func(c *serverCrash, at boottime.Instant) int { return int(c.at.Sub(at)) })
	t.crashes = slices.Insert(t.crashes, position, crash)
	return crash
}

// acquit applies the newest known sound answer with an accused segment, if because of it a crash
// no longer counts. It reports whether that is so.
func (t *SegmentTable) acquit(segment Segment) bool {
	accused := t.accused[segment]
	sound, known := t.seen.Peek(segment)
	if accused == nil || !known || (accused.sound != 0 && sound <= accused.sound) {
		return false
	}
	acquits := lo.SomeBy(t.counted(segment), func(crash *serverCrash) bool { return crash.at <= sound.Add(soundMemory) })
	if acquits {
		accused.sound = sound
		t.tell(&accused.tellSound)
	}
	return acquits
}

// counted returns the crashes that count against a segment, oldest first.
func (t *SegmentTable) counted(segment Segment) []*serverCrash {
	accused := t.accused[segment]
	if accused == nil {
		return nil
	}
	return lo.Filter(t.crashes, func(crash *serverCrash, _ int) bool {
		_, in := crash.segments[segment]
		return in && crash.down && accused.accuses(crash)
	})
}

// accuses reports whether a crash counts against the segment that was in it.
func (a *accusedSegment) accuses(crash *serverCrash) bool {
	return a.sound == 0 || crash.at > a.sound.Add(soundMemory)
}

// CrashesSince returns how many backend servers are known to have gone down since then.
func (t *SegmentTable) CrashesSince(since boottime.Instant) int {
	if t.accusedCount.Load() == 0 {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return lo.CountBy(t.crashes, func(crash *serverCrash) bool { return crash.at >= since })
}

// Counts returns how many segments are suspected and how many are refused.
func (t *SegmentTable) Counts() (suspected, refused int) {
	refused = len(*t.convictions.Load())
	return int(t.suspectedCount.Load()) - refused, refused
}

// Convictions returns the refused segments.
func (t *SegmentTable) Convictions() []Conviction {
	t.mu.Lock()
	defer t.mu.Unlock()
	return lo.MapToSlice(*t.convictions.Load(), func(segment Segment, conviction *Conviction) Conviction {
		current := *conviction
		current.Refused = t.accused[segment].refused
		return current
	})
}

// Update works out the refused segments if there is evidence that has not been evaluated.
func (t *SegmentTable) Update(now boottime.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evaluateIfDue(now)
}
