package crash

import (
	"time"

	"github.com/samber/lo"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
)

const (
	// maxUncoveredShare is the share of a segment's crashes below which other refused segments
	// explain them as well as it does, unless a trial has shown that it is one.
	maxUncoveredShare = 0.25
	// certainCrashes is how many crashes a sound segment hardly meets by chance without a
	// sound answer.
	certainCrashes = 5
)

// evaluate works out the refused segments from the evidence, and removes evidence whose time is
// over. What convicts a segment is kept, so the former comes first.
func (t *SegmentTable) evaluate(now boottime.Instant) {
	convictions, suspected := t.workOut(now)
	if t.expire(convictions, now) {
		convictions, suspected = t.workOut(now)
	}
	for segment, accused := range t.accused {
		switch {
		case convictions[segment] == nil:
			accused.convicted = 0
		case accused.convicted == 0:
			accused.convicted = now
		}
	}
	t.convictions.Store(&convictions)
	t.accusedCount.Store(int64(len(t.accused)))
	t.suspectedCount.Store(int64(suspected))
	t.evaluatedAt = now
	t.outdated.Store(false)
}

// workOut returns the refused segments, those with minCrashes crashes that count against them, and
// the number of segments against which any does.
func (t *SegmentTable) workOut(now boottime.Instant) (convictions map[Segment]*Conviction, suspected int) {
	against, suspected := t.crashesAgainst()
	segmentsIn := make(map[*serverCrash]int) // refused segments in a crash
	for _, crashes := range against {
		for _, crash := range crashes {
			segmentsIn[crash]++
		}
	}
	return lo.MapValues(against, func(crashes []*serverCrash, segment Segment) *Conviction {
		return &Conviction{
			Segment:   segment,
			Servers:   lo.Map(crashes, func(crash *serverCrash, _ int) uint32 { return crash.server }),
			Ambiguous: t.ambiguous(segment, crashes, segmentsIn, now),
		}
	}), suspected
}

const (
	// evaluationInterval is the least time between two evaluations because of messages, with
	// little evidence. Each goes through all of it, so the time grows with it.
	evaluationInterval = 20 * time.Millisecond
	pairsPerInterval   = 1000
	// expiryInterval is the interval at which evidence is evaluated that has not changed.
	expiryInterval = time.Second
)

// intervalOver reports whether the last evaluation was long enough ago for the amount of evidence.
func (t *SegmentTable) intervalOver(now boottime.Instant) bool {
	return now.Sub(t.evaluatedAt) >= evaluationInterval*time.Duration(1+t.pairs/pairsPerInterval)
}

// evidenceAdded works out the refused segments, unless that has just been done; then the next
// request or round of messages does it.
func (t *SegmentTable) evidenceAdded(now boottime.Instant) {
	t.outdated.Store(true)
	if t.intervalOver(now) {
		t.evaluate(now)
	}
}

// evaluateIfDue works out the refused segments if the evidence has changed. With much evidence it
// waits for the interval.
func (t *SegmentTable) evaluateIfDue(now boottime.Instant) {
	changed := t.outdated.Load() && (t.pairs < pairsPerInterval || t.intervalOver(now))
	if changed || now.Sub(t.evaluatedAt) >= expiryInterval {
		t.evaluate(now)
	}
}

// ambiguous reports whether the crashes of a refused segment may well have another cause: other
// refused segments, of which segmentsIn has the number in each crash, the loss of several servers
// at once, chance, or one that is gone since they were kept.
func (t *SegmentTable) ambiguous(segment Segment, crashes []*serverCrash, segmentsIn map[*serverCrash]int, now boottime.Instant) bool {
	accused := t.accused[segment]
	var uncovered []*serverCrash // by other refused segments
	for _, crash := range crashes {
		if segmentsIn[crash] == 1 {
			uncovered = append(uncovered, crash)
		}
	}
	if len(uncovered) == 0 || moments(crashes) < minCrashes || len(crashes) < certainCrashes || accused.doubtful(uncovered, now) {
		return true
	}
	// A trial tells only by a crash that nothing else explains.
	last := uncovered[len(uncovered)-1].at
	confirmed := accused.trial != 0 && last.Add(ageTolerance) >= accused.trial
	return !confirmed && float64(len(uncovered)) < maxUncoveredShare*float64(len(crashes))
}

// crashesAgainst returns the crashes that count against segments, of those with minCrashes, and
// the number of segments against which any does.
func (t *SegmentTable) crashesAgainst() (against map[Segment][]*serverCrash, suspected int) {
	counts := make(map[Segment]int)
	t.eachCounted(func(segment Segment, _ *serverCrash) { counts[segment]++ })
	against = make(map[Segment][]*serverCrash)
	t.eachCounted(func(segment Segment, crash *serverCrash) {
		if counts[segment] >= minCrashes {
			against[segment] = append(against[segment], crash)
		}
	})
	return against, len(counts)
}

// eachCounted calls the function for each segment and each crash that counts against it, oldest
// first.
func (t *SegmentTable) eachCounted(call func(Segment, *serverCrash)) {
	for _, crash := range t.crashes {
		if !crash.down {
			continue
		}
		for segment := range crash.segments {
			if t.accused[segment].accuses(crash) {
				call(segment, crash)
			}
		}
	}
}

// sameMoment is the time within which servers that go down may have a common cause, such as the
// loss of their rack.
const sameMoment = 100 * time.Millisecond

// moments returns at how many moments servers went down.
func moments(crashes []*serverCrash) int {
	count := 0
	var from boottime.Instant
	for _, crash := range crashes {
		if count == 0 || crash.at.Sub(from) > sameMoment {
			count++
			from = crash.at
		}
	}
	return count
}
