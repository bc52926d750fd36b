package crash

import (
	"cmp"
	"reflect"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
)

// When all routers start at once, the evidence is gone. So a few of them keep what convicts
// segments outside of the routers. What was kept may be outdated: the segment may have been found
// sound since, or an operator may have cleared it.

const (
	// KeepInterval is the interval at which what has not changed is kept again, as its age may
	// not be known otherwise.
	KeepInterval = refusalTellInterval
	// maxKept bounds the refused segments that are kept, and the sound ones.
	maxKept = 64
	// maxDoubtless is the age up to which evidence counts as current: with time for a few
	// writes that fail. It must be below refusalTTL.
	maxDoubtless = evidenceTTL
	// clockTolerance is how far the clocks of two VMs may differ before what one of them has
	// written seems to come from the future.
	clockTolerance = 5 * time.Second
)

// StoredEvidence is evidence that a router has kept.
type StoredEvidence struct {
	Evidence
	// Since is the time since it was written, by the clocks of two VMs, which may be wrong.
	Since time.Duration
	// Outdated says that later evidence may have been lost.
	Outdated bool
}

// doubtful reports whether the evidence may be outdated.
func (s StoredEvidence) doubtful() bool {
	return s.Outdated || s.Since < -clockTolerance || s.Since > maxDoubtless
}

// Kept returns the evidence to be kept: what convicts segments, and the sound answers because of
// which segments in several crashes are not refused. The segments that were refused last come
// first if there are too many; dropped is the number of the others.
func (t *SegmentTable) Kept(now boottime.Instant) (evidence Evidence, dropped int) {
	if t.accusedCount.Load() == 0 {
		return Evidence{}, 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evaluate(now) // so that crashes count against each refused segment
	convictions := *t.convictions.Load()
	refused := lo.Keys(convictions)
	slices.SortFunc(refused, func(a, b Segment) int {
		return cmp.Or(cmp.Compare(t.lastHarm(b), t.lastHarm(a)), cmp.Compare(a, b))
	})
	if len(refused) > maxKept {
		refused, dropped = refused[:maxKept], len(refused)-maxKept
	}
	slices.Sort(refused)
	for _, segment := range refused {
		evidence.add(t.against(segment, now))
	}
	for segment, accused := range t.accused {
		if accused.sound != 0 && accused.crashes >= minCrashes && convictions[segment] == nil && len(evidence.Sound) < maxKept {
			evidence.Sound = append(evidence.Sound, SegmentAge{segment, now.Sub(accused.sound)})
		}
	}
	slices.SortFunc(evidence.Sound, func(a, b SegmentAge) int { return cmp.Compare(a.Segment, b.Segment) })
	return evidence, dropped
}

// against returns the evidence against a refused segment.
func (t *SegmentTable) against(segment Segment, now boottime.Instant) Evidence {
	var evidence Evidence
	accused := t.accused[segment]
	if accused.refused != 0 {
		evidence.Refused = []SegmentAge{{segment, now.Sub(accused.refused)}}
	}
	if accused.trial != 0 {
		evidence.Tried = []SegmentAge{{segment, now.Sub(accused.trial)}}
	}
	crashes := t.counted(segment)
	for _, crash := range crashes[max(len(crashes)-maxToldCrashes, 0):] {
		evidence.Crashes = append(evidence.Crashes, ServerCrash{Down: true, Server: crash.server, Age: now.Sub(crash.at), Segments: []Segment{segment}})
	}
	return evidence
}

// SameFacts reports whether the evidence differs in the ages only.
func (e Evidence) SameFacts(other Evidence) bool {
	return reflect.DeepEqual(e.withoutAges(), other.withoutAges())
}

func (e Evidence) withoutAges() Evidence {
	ageless := func(told SegmentAge, _ int) SegmentAge { return SegmentAge{Segment: told.Segment} }
	crashes := lo.Map(e.Crashes, func(crash ServerCrash, _ int) ServerCrash {
		crash.Age = 0
		return crash
	})
	return Evidence{Crashes: crashes, Sound: lo.Map(e.Sound, ageless), Refused: lo.Map(e.Refused, ageless), Tried: lo.Map(e.Tried, ageless)}
}

func (e *Evidence) add(other Evidence) {
	e.Crashes = append(e.Crashes, other.Crashes...)
	e.Sound = append(e.Sound, other.Sound...)
	e.Refused = append(e.Refused, other.Refused...)
	e.Tried = append(e.Tried, other.Tried...)
}

// Segments returns the segments that were in crashes.
func (e Evidence) Segments() []Segment {
	return lo.Uniq(lo.FlatMap(e.Crashes, func(crash ServerCrash, _ int) []Segment { return crash.Segments }))
}

// about returns the part of the evidence on segments that the condition selects.
func (e Evidence) about(selects func(Segment) bool) Evidence {
	ages := func(list []SegmentAge) []SegmentAge {
		return lo.Filter(list, func(told SegmentAge, _ int) bool { return selects(told.Segment) })
	}
	part := Evidence{Sound: ages(e.Sound), Refused: ages(e.Refused), Tried: ages(e.Tried)}
	for _, crash := range e.Crashes {
		crash.Segments = lo.Filter(crash.Segments, func(segment Segment, _ int) bool { return selects(segment) })
		if len(crash.Segments) > 0 {
			part.Crashes = append(part.Crashes, crash)
		}
	}
	return part
}

// Restore applies what earlier processes have kept, the newest first, and returns how many segments
// are refused because of it. On each segment the newest evidence decides that has any. Ages count
// from the start of this process, not from when they were written: routers that start together then
// take the crashes for the same ones, however their clocks differ. By the clocks goes only when a
// refusal ends, and when one request is sent to find out whether a segment is sound: at once if
// the evidence may be outdated, else when the refusal would end if no requests came.
func (t *SegmentTable) Restore(stored []StoredEvidence, started, now boottime.Instant) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evaluate(now)
	decided := make(map[Segment]bool)
	for segment := range *t.convictions.Load() {
		decided[segment] = true
	}
	var restored []Segment
	for i, kept := range stored {
		// A sound answer that this process has seen is newer than what was kept.
		evidence := kept.about(func(segment Segment) bool { return !decided[segment] && !t.seen.Contains(segment) })
		t.apply(evidence, started)
		for _, segment := range evidence.Segments() {
			decided[segment] = true
			if accused := t.accused[segment]; accused != nil {
				accused.restore(kept, i == 0, started, now)
				restored = append(restored, segment)
			}
		}
		for _, sound := range evidence.Sound {
			decided[sound.Segment] = true
		}
	}
	t.evaluate(now)
	convictions := *t.convictions.Load()
	return lo.CountBy(restored, func(segment Segment) bool { return convictions[segment] != nil })
}

// restore records that evidence against the segment was kept by an earlier process. newest says that
// no other evidence was kept later.
func (a *accusedSegment) restore(kept StoredEvidence, newest bool, started, now boottime.Instant) {
	a.stored, a.storedFor = started, lo.Clamp(kept.Since, 0, 2*refusalTTL)
	a.doubtedFrom = now
	if newest && !kept.doubtful() {
		a.doubtedFrom = now.Add(refusalTTL - a.storedFor)
	}
}

// doubtful reports whether the crashes of a segment, all of them from before the last start of all
// routers, may be outdated.
func (a *accusedSegment) doubtful(crashes []*serverCrash, now boottime.Instant) bool {
	return a.stored != 0 && now >= a.doubtedFrom && crashes[len(crashes)-1].at <= a.stored
}
