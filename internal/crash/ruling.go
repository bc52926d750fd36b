package crash

import (
	"time"

	"github.com/samber/lo"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
)

const (
	// refusalTellInterval is the interval at which a router tells others that it goes on
	// refusing a segment.
	refusalTellInterval = refusalTTL / 8
	// trialInterval is the least time between two requests that are sent to tell apart
	// segments that the evidence can't.
	trialInterval = 4 * time.Second
	// trialNotice is how long a segment is refused before a request with it may be tried.
	// By then routers know which requests have the fewest refused segments.
	trialNotice = time.Second
	// trialSlots is in how many parts, one after the other, segments are tried again that met
	// the same crash, and trialSlot is the time of a part: until sound answers have acquitted
	// what was tried in it. Tried at the same moment they might meet on a server again, and
	// its crash would not tell them apart either.
	trialSlots = 4
	trialSlot  = SoundAfter + 500*time.Millisecond
	// severalTrialDelay is how much later requests with several refused segments may be tried.
	severalTrialDelay = 8 * time.Second
	// trialStep is how much later each further router, in the segment's order of them, may
	// try one. Others are told of a trial within a step, so that few routers try at once,
	// though any may be the one that gets a request.
	trialStep = 500 * time.Millisecond
	// maxDoubtfulSteps bounds the steps where what convicts a segment may be outdated: only
	// routers that have read it try, which are few in a large fleet.
	maxDoubtfulSteps = 4
)

// Ruling is the decision on a request by its segments.
type Ruling struct {
	Conviction *Conviction // why the request is refused, nil if it isn't
	// Trial says that the request may be sent in order to tell a refused segment from
	// another.
	Trial bool
}

// Judge returns whether a request with the segments is refused, and records that it was.
// order returns how many routers come before this one in a segment's order of them.
func (t *SegmentTable) Judge(segments []Segment, order func(Segment) int, now boottime.Instant) Ruling {
	if t.outdated.Load() {
		t.Update(now)
	}
	if len(*t.convictions.Load()) == 0 {
		return Ruling{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	convictions := *t.convictions.Load()
	found := lo.FilterMap(segments, func(segment Segment, _ int) (*Conviction, bool) {
		conviction := convictions[segment]
		return conviction, conviction != nil
	})
	if len(found) == 0 {
		return Ruling{}
	}
	if t.tellsApart(segments, found) && t.mayTry(found, order, now) {
		return Ruling{Trial: true}
	}
	for _, conviction := range found {
		t.recordRefusal(conviction.Segment, len(found), now)
	}
	return Ruling{Conviction: found[0]}
}

// tellsApart reports whether the outcome of a request may show that its refused segments are
// sound: others may have caused their crashes, and the request has none of those. Crashes may have
// stopped counting against a segment since the refused ones were worked out.
func (t *SegmentTable) tellsApart(segments []Segment, found []*Conviction) bool {
	accused := lo.CountBy(segments, func(segment Segment) bool { return len(t.counted(segment)) > 0 })
	return accused == len(found) && lo.EveryBy(found, func(conviction *Conviction) bool {
		fewest := t.accused[conviction.Segment].fewest
		return conviction.Ambiguous && len(t.counted(conviction.Segment)) > 0 && (fewest == 0 || fewest >= len(found))
	})
}

// mayTry reports whether a request with the refused segments may be sent to try them, and records
// that it is. One with several waits longer, and none is tried like that after another trial: if
// it crashes a server too, that does not tell which of them is the cause.
func (t *SegmentTable) mayTry(found []*Conviction, order func(Segment) int, now boottime.Instant) bool {
	segment := found[0].Segment
	accused := t.accused[segment]
	doubtful := accused.doubtful(t.counted(segment), now)
	from := accused.convicted.Add(trialNotice)
	if accused.trial != 0 {
		from = max(from, accused.trial.Add(trialInterval).Add(time.Duration(t.slot(segment))*trialSlot))
	}
	if len(found) > 1 {
		if accused.trial > accused.stored || (accused.trial != 0 && !doubtful) {
			return false
		}
		from = from.Add(severalTrialDelay)
	}
	before := order(segment)
	if doubtful {
		before = min(before, maxDoubtfulSteps)
	}
	if now < from.Add(time.Duration(before)*trialStep) {
		return false
	}
	accused.trial = now
	t.tell(&accused.tellTrial)
	return true
}

// slot returns the part in which a segment is tried again: by its place among the segments that
// met its last crash and have still to be tried. A part holds several only if there are more
// segments than parts; what is left after it is divided again.
func (t *SegmentTable) slot(segment Segment) int {
	crashes := t.counted(segment)
	convictions := *t.convictions.Load()
	group, before := 0, 0
	for other := range crashes[len(crashes)-1].segments {
		if conviction := convictions[other]; conviction == nil || !conviction.Ambiguous {
			continue
		}
		group++
		if other < segment {
			before++
		}
	}
	return before * min(group, trialSlots) / group
}

// CancelTrial records that a request that was to be tried was not sent.
func (t *SegmentTable) CancelTrial(segments []Segment) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, segment := range segments {
		if accused := t.accused[segment]; accused != nil {
			accused.trial = 0
		}
	}
}

// recordRefusal renews the refusal of a segment, and now and then tells others. refused is the
// number of refused segments in the request.
func (t *SegmentTable) recordRefusal(segment Segment, refused int, now boottime.Instant) {
	accused := t.accused[segment]
	if accused.fewest == 0 || refused < accused.fewest {
		accused.fewest = refused
	}
	accused.refused = now
	if accused.toldRefused == 0 || now.Sub(accused.toldRefused) >= refusalTellInterval {
		accused.toldRefused = now
		t.tell(&accused.tellRefused)
	}
}
