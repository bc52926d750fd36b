package crash

import (
	"testing"
	"time"

	"github.com/samber/lo"
)

// storedConviction returns what a router keeps of a segment that crashed six servers, kept the
// given time ago by the clocks.
func storedConviction(since time.Duration, outdated bool) []StoredEvidence {
	table := NewSegmentTable()
	now := testStart
	for server := range uint32(6) {
		now = now.Add(time.Second)
		table.Crashed(server, now, []Segment{harmful}, now)
	}
	table.Update(now)
	evidence, _ := table.Kept(now)
	return []StoredEvidence{{Evidence: evidence, Since: since, Outdated: outdated}}
}

// Guards against sound requests that are refused because of what an earlier process has kept, for
// longer than an earlier refusal would last: after the segment was cleared or found sound, or a
// long time ago, also by clocks that are wrong.
func TestOutdatedConvictionEnds(t *testing.T) {
	for name, c := range map[string]struct {
		stored []StoredEvidence
		limit  time.Duration // until a request is let through, 0 for at once
	}{
		"current":                     {storedConviction(time.Minute, false), refusalTTL},
		"from before a restore":       {storedConviction(time.Second, true), 2 * trialNotice},
		"by a clock that is ahead":    {storedConviction(-time.Hour, false), 2 * trialNotice},
		"ten minutes old":             {storedConviction(10*time.Minute, false), 2 * trialNotice},
		"an hour old":                 {storedConviction(time.Hour, false), 0},
		"years old, by a wrong clock": {storedConviction(1<<62, false), 0},
		"sound in a newer copy":       {append([]StoredEvidence{{Evidence: Evidence{Sound: []SegmentAge{{harmful, time.Second}}}}}, storedConviction(time.Second, false)...), 0},
		"unknown to a newer copy":     {append([]StoredEvidence{{}}, storedConviction(time.Second, false)...), 2 * trialNotice},
	} {
		t.Run(name, func(t *testing.T) {
			table := NewSegmentTable()
			now := testStart.Add(time.Hour)
			table.Restore(c.stored, now.Add(-10*time.Millisecond), now)
			took := time.Duration(0)
			first := func(Segment) int { return 0 }
			for ; table.Judge([]Segment{harmful}, first, now.Add(took)).Conviction != nil; took += 500 * time.Millisecond {
				table.Update(now.Add(took))
				if took > c.limit {
					t.Fatalf("refused for %v", took)
				}
			}
			if c.limit == refusalTTL && took < refusalTTL/2 {
				t.Errorf("a request is let through after %v", took)
			}
			now = now.Add(took)
			table.Sound([]Segment{harmful}, now, now.Add(SoundAfter))
			now = now.Add(2 * time.Second)
			if table.Judge([]Segment{harmful}, first, now).Conviction != nil {
				t.Error("still refused after a sound answer")
			}
		})
	}
}

// Guards against a refusal that is lifted for a request, or a server that crashes again, because
// what was kept is taken for outdated though a crash has confirmed it.
func TestConfirmedConvictionIsNotTriedAgain(t *testing.T) {
	table := NewSegmentTable()
	now := testStart
	table.Restore(storedConviction(time.Second, true), now, now)
	now = now.Add(2 * time.Second)
	first := func(Segment) int { return 0 }
	if !table.Judge([]Segment{harmful}, first, now).Trial {
		t.Fatal("no request is tried")
	}
	table.Crashed(99, now, []Segment{harmful}, now.Add(1600*time.Millisecond))
	trials := lo.CountBy(lo.Range(1000), func(i int) bool {
		at := now.Add(2*time.Second + time.Duration(i)*time.Second)
		return table.Judge([]Segment{harmful}, first, at).Conviction == nil
	})
	if trials > 0 {
		t.Errorf("%d more requests are let through", trials)
	}
}

// Guards against a segment that is refused again, after a sound answer, by what is read late.
func TestWhatIsReadLateRefusesNoSoundSegment(t *testing.T) {
	table := NewSegmentTable()
	now := testStart
	table.Sound([]Segment{harmful}, now.Add(time.Second), now.Add(2*time.Second))
	now = now.Add(time.Minute)
	if table.Restore(storedConviction(time.Second, false), testStart, now) != 0 {
		t.Error("the segment is refused")
	}
}

// Guards against what is kept growing without bound.
func TestKeptEvidenceIsBounded(t *testing.T) {
	table := NewSegmentTable()
	now := testStart
	for server := range uint32(20) {
		now = now.Add(time.Second)
		table.Crashed(server, now, lo.Times(2*maxKept, func(i int) Segment { return Segment(i + 1) }), now)
	}
	table.Update(now)
	evidence, dropped := table.Kept(now)
	if len(evidence.Segments()) != maxKept || dropped != maxKept || len(evidence.Crashes) > maxKept*maxToldCrashes {
		t.Errorf("%d segments with %d crashes are kept, %d dropped", len(evidence.Segments()), len(evidence.Crashes), dropped)
	}
}

// Guards against a panic of a router with so much evidence that sound answers are not evaluated at
// once: a segment is still refused, but no crash counts against it any more.
func TestSoundAnswerThatIsNotEvaluatedYetIsNoPanic(t *testing.T) {
	table := NewSegmentTable()
	now := testStart
	table.Restore(storedConviction(time.Second, true), now, now)
	for server := range uint32(6) {
		segments := lo.Times(pairsPerInterval/4, func(i int) Segment { return others + Segment(1000*int(server)+i) })
		table.Crashed(server, now.Add(time.Duration(server)*time.Second), append(segments, harmful2), now)
	}
	now = now.Add(8 * time.Second)
	table.Update(now)
	table.Sound([]Segment{harmful, harmful2}, now, now.Add(time.Millisecond))
	now = now.Add(2 * time.Millisecond)
	if ruling := table.Judge([]Segment{harmful, others}, func(Segment) int { return 0 }, now); ruling.Trial {
		t.Error("a segment that was found sound is tried")
	}
	if evidence, _ := table.Kept(now); len(evidence.Segments()) > 0 {
		t.Errorf("%v are kept as refused", evidence.Segments())
	}
}

// Guards against a sound segment that is refused for good because the request that tried it met a
// crash under another refused segment.
func TestTrialThatMeetsAnotherRefusedSegmentDoesNotConvict(t *testing.T) {
	both, first := []Segment{harmful, common}, func(Segment) int { return 0 }
	for name, together := range map[string]bool{"explained by the other before": true, "doubted": false} {
		t.Run(name, func(t *testing.T) {
			table, now := NewSegmentTable(), testStart
			told := Evidence{Crashes: []ServerCrash{{Down: true, Server: 100, Segments: []Segment{common}}}}
			for server := range uint32(7) {
				crash := ServerCrash{Down: true, Server: server, Age: time.Duration(server) * time.Second, Segments: both}
				if !together {
					crash.Segments = both[server%2 : server%2+1]
				}
				told.Crashes = append(told.Crashes, crash)
			}
			if together {
				table.Receive(told, now)
			} else {
				table.Restore([]StoredEvidence{{Evidence: told, Outdated: true}}, now, now)
			}
			now = now.Add(2 * time.Second)
			for _, segment := range both {
				table.Judge([]Segment{segment}, first, now)
			}
			table.Crashed(99, now, both, now.Add(1600*time.Millisecond))
			if !table.Judge([]Segment{common}, first, now.Add(10*time.Second)).Trial {
				t.Error("it is not tried again")
			}
		})
	}
}
