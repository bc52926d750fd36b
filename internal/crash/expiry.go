package crash

import (
	"time"

	"github.com/samber/lo"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
)

const (
	// evidenceTTL is how long a crash counts that convicts nothing.
	evidenceTTL = 5 * time.Minute
	// resetTTL is how long resets are kept that no router takes for a crash.
	resetTTL = 10 * time.Second
	// refusalTTL is how long a segment stays refused after a request with it was last
	// refused by any router.
	refusalTTL = 30 * time.Minute
	// The bounds of the table.
	maxSeen            = 4096 // segments with sound answers
	maxAccused         = 8192
	maxServerCrashes   = 256
	maxSegmentsOfCrash = 256
	maxPairs           = 8192 // segments in crashes, in all
)

// expire removes evidence whose time is over, and the oldest beyond the bounds. It reports whether
// it removed any.
func (t *SegmentTable) expire(convicted map[Segment]*Conviction, now boottime.Instant) bool {
	pairs := t.pairs
	for segment := range convicted {
		if now.Sub(t.lastHarm(segment)) > refusalTTL {
			t.forget(segment)
		}
	}
	excess := t.excess()
	t.crashes = lo.Filter(t.crashes, func(crash *serverCrash, _ int) bool {
		kept := lo.Ternary(crash.down, evidenceTTL, resetTTL)
		if t.supports(crash, convicted) || (now.Sub(crash.at) <= kept && excess <= 0) {
			return true
		}
		t.forgetCrash(crash)
		excess--
		return false
	})
	for t.excess() > 0 {
		t.forgetCrash(t.crashes[0])
		t.crashes = t.crashes[1:]
	}
	return t.pairs != pairs
}

// supports reports whether a crash is evidence against a refused segment.
func (t *SegmentTable) supports(crash *serverCrash, convicted map[Segment]*Conviction) bool {
	for segment := range convicted {
		if _, in := crash.segments[segment]; in {
			return true
		}
	}
	return false
}

// excess returns how many crashes, of the usual size, have to be forgotten for the bounds.
func (t *SegmentTable) excess() int {
	if len(t.crashes) == 0 {
		return 0
	}
	excess := max(len(t.crashes)-maxServerCrashes, 0)
	perCrash := max(t.pairs/len(t.crashes), 1)
	excess = max(excess, (t.pairs-maxPairs+perCrash-1)/perCrash)
	return max(excess, (len(t.accused)-maxAccused+perCrash-1)/perCrash)
}

// lastHarm returns when a server last crashed under a refused segment, or a request with it was
// last refused. Either may be before the start of this VM, at an instant below 0.
func (t *SegmentTable) lastHarm(segment Segment) boottime.Instant {
	counted := t.counted(segment)
	last, refused := counted[len(counted)-1].at, t.accused[segment].refused
	if refused != 0 {
		last = max(last, refused)
	}
	if accused := t.accused[segment]; last <= accused.stored {
		last = last.Add(-accused.storedFor)
	}
	return last
}

// forgetCrash removes what the segments of a crash have to do with it.
func (t *SegmentTable) forgetCrash(crash *serverCrash) {
	t.pairs -= len(crash.segments)
	for segment := range crash.segments {
		accused := t.accused[segment]
		accused.crashes--
		if accused.crashes == 0 {
			delete(t.accused, segment)
		}
	}
}

// forget removes a segment from all crashes.
func (t *SegmentTable) forget(segment Segment) {
	for _, crash := range t.crashes {
		if _, in := crash.segments[segment]; in {
			delete(crash.segments, segment)
			t.pairs--
		}
	}
	delete(t.accused, segment)
}
