package pace

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
)

const (
	theEngine = 7
	// rate is how many prompt tokens an engine at work time 1 reads per second.
	rate = 10_000
	// start is any time after the machine has started.
	start = boottime.Instant(1000 * time.Second)
)

func workTimeReport(workTime float64) Report { return Report{Slots: 48, WorkTime: workTime} }

// estimateAt returns the estimate of a router that has only its own observations.
func estimateAt(table *Table, now boottime.Instant) Estimate {
	return NewSnapshot(table.Own(now), nil, func(uint32) float64 { return rate }, now).Engine(theEngine)
}

func drawObservation(t *rapid.T, label string) Observation {
	return Observation{
		Usual:       rapid.SampledFrom([]float64{0, 0.55, 1, 1.2, 3}).Draw(t, label+" usual"),
		Now:         rapid.SampledFrom([]float64{0.55, 1.2, 3}).Draw(t, label+" now"),
		NowAt:       boottime.Instant(rapid.IntRange(0, 3).Draw(t, label+" at")),
		ReadTokens:  float64(rapid.IntRange(0, 100_000).Draw(t, label+" tokens")),
		ReadSeconds: float64(rapid.IntRange(0, 20).Draw(t, label+" seconds")),
		Streams:     float64(rapid.IntRange(0, 50).Draw(t, label+" streams")),
		Late:        float64(rapid.IntRange(0, 50).Draw(t, label+" late")),
	}
}

// Guards against routers that get different results for an engine because they received
// its observations in another order, or twice.
func TestMergingDoesNotDependOnOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawObservation(t, "a"), drawObservation(t, "b"), drawObservation(t, "c")
		if a.Merge(b) != b.Merge(a) {
			t.Fatalf("%+v one way, %+v the other", a.Merge(b), b.Merge(a))
		}
		if left, right := a.Merge(b).Merge(c), a.Merge(b.Merge(c)); left != right {
			t.Fatalf("%+v one way, %+v the other", left, right)
		}
		twice, once := a.Merge(b).Merge(b), a.Merge(b)
		if twice.Usual != once.Usual || twice.Now != once.Now || twice.NowAt != once.NowAt {
			t.Fatalf("%+v when merged twice, %+v when merged once", twice, once)
		}
	})
}

// Guards against sums whose decay depends on how often they are read.
func TestSumsDecayAlikeInOneStepAndInTwo(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := drawObservation(t, "o")
		first := time.Duration(rapid.IntRange(0, 9000).Draw(t, "first")) * time.Millisecond
		second := time.Duration(rapid.IntRange(0, 9000).Draw(t, "second")) * time.Millisecond
		one, two := o.Decayed(first+second), o.Decayed(first).Decayed(second)
		if math.Abs(one.ReadTokens-two.ReadTokens) > 1e-6*o.ReadTokens || math.Abs(one.Late-two.Late) > 1e-6*o.Late {
			t.Fatalf("%+v in one step, %+v in two", one, two)
		}
		if one.ReadTokens > o.ReadTokens || one.Streams > o.Streams {
			t.Fatalf("%+v grows to %+v", o, one)
		}
	})
}

// Guards against engines that count as average until many answers have arrived.
func TestOneReportIsEnough(t *testing.T) {
	table := NewTable()
	table.RecordReport(theEngine, workTimeReport(1.2), start)
	got := estimateAt(table, start.Add(time.Second))
	if !got.HasReport || got.Usual != 1.2 || got.Now != 1.2 || got.Age != time.Second {
		t.Errorf("%+v", got)
	}
	if want := rate / 1.2; math.Abs(got.Rate-want) > 1 {
		t.Errorf("reads %v tokens a second, want %v", got.Rate, want)
	}
}

// Guards against a short slow phase of a machine counting as its usual pace, and against
// a slow phase that still counts after it has ended.
func TestSlowPhaseCountsOnlyWhileItLasts(t *testing.T) {
	table := NewTable()
	table.RecordReport(theEngine, workTimeReport(0.55), start)
	slow := start.Add(time.Second)
	table.RecordReport(theEngine, workTimeReport(1.375), slow)
	own := table.Own(slow.Add(currentMaxAge))[theEngine]
	if got := estimateAt(table, slow.Add(currentMaxAge)); got.Usual != 0.55 || got.Now != 1.375 || !own.Slowed(slow.Add(currentMaxAge)) {
		t.Errorf("%+v in the slow phase", got)
	}
	after := slow.Add(currentMaxAge + time.Millisecond)
	if got := estimateAt(table, after); got.Usual != 0.55 || got.Now != 0.55 || own.Slowed(after) {
		t.Errorf("%+v after it", got)
	}
}

// Guards against an engine that has become slow counting as fast permanently: a minimum
// over all time would never rise.
func TestSlowedEngineIsDetectedWithinTwoWindows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable()
		pause := time.Duration(rapid.IntRange(20, 3000).Draw(t, "pause in ms")) * time.Millisecond
		turns := start.Add(time.Duration(rapid.IntRange(1, 30_000).Draw(t, "turns slow after ms")) * time.Millisecond)
		last := start // time of the last fast report
		for now := start; now < turns.Add(MaxAge+pause); now = now.Add(pause) {
			if now < turns {
				table.RecordReport(theEngine, workTimeReport(0.55), now)
				last = now
			} else {
				table.RecordReport(theEngine, workTimeReport(2), now)
			}
			want := 0.55
			if now.Sub(last) >= MaxAge {
				want = 2
			}
			got := estimateAt(table, now).Usual
			if got != want && now.Sub(last) < window {
				t.Fatalf("usual work time %v %v after the last fast report, too early", got, now.Sub(last))
			}
			if got != want && now.Sub(last) >= MaxAge {
				t.Fatalf("usual work time %v %v after the last fast report, too late", got, now.Sub(last))
			}
		}
	})
}

// Guards against a restarted server inheriting the reports of its predecessor, and
// against tables that grow with each restart.
func TestRestartedServerStartsEmpty(t *testing.T) {
	const restarted = theEngine + 1
	table := NewTable()
	table.RecordReport(theEngine, workTimeReport(3), start)
	table.RecordFirstEvent(theEngine, 5000, time.Second, start)
	if got := NewSnapshot(table.Own(start), nil, func(uint32) float64 { return rate }, start).Engine(restarted); got != averageEstimate {
		t.Errorf("%+v of a server that has reported nothing", got)
	}
	table.Retain(map[uint32]bool{restarted: true})
	if got := table.Own(start); got != nil {
		t.Errorf("%+v is kept for a server that is not listed", got)
	}
}

// Guards against an engine that reports a wrong pace: one that claims to be fast would
// attract all prompts.
func TestContradictedEngineIsEstimatedByObservation(t *testing.T) {
	for _, test := range []struct {
		name             string
		reported, really float64 // work times
		want             float64
	}{
		{"claims to be fast", 0.3, 2, 2},
		{"claims to be slow", 10, 1, 1},
		{"is near what it reports", 1.2, 2, 1.2},
	} {
		t.Run(test.name, func(t *testing.T) {
			table := NewTable()
			table.RecordReport(theEngine, workTimeReport(test.reported), start)
			elapsed := time.Duration(test.really * float64(time.Second) / 2) // for 5,000 tokens
			now := start
			for seconds := 0.0; seconds < 2; seconds += elapsed.Seconds() {
				table.RecordFirstEvent(theEngine, rate/2, elapsed, now)
			}
			if got := estimateAt(table, now); got.Usual != test.reported {
				t.Errorf("%+v after too little reading", got)
			}
			for range 20 {
				table.RecordFirstEvent(theEngine, rate/2, elapsed, now)
			}
			got := estimateAt(table, now)
			if math.Abs(got.Usual-test.want) > 0.01 || got.Contradicted != (test.want != test.reported) {
				t.Errorf("%+v, want %v", got, test.want)
			}
			if want := rate / test.really; math.Abs(got.Rate-want) > 0.3*want {
				t.Errorf("reads %v tokens a second, want about %v", got.Rate, want)
			}
		})
	}
}

// Guards against contradictions by a service's rate that is unknown.
func TestNothingIsContradictedWithoutARateOfTheService(t *testing.T) {
	own := map[uint32]Observation{theEngine: {Usual: 0.5, ReadTokens: 1, ReadSeconds: 100}}
	got := NewSnapshot(own, nil, func(uint32) float64 { return 0 }, start).Engine(theEngine)
	if got.Contradicted || got.Usual != 0.5 || got.Rate != 0 {
		t.Errorf("%+v", got)
	}
}

// Guards against a router that uses old observations after a pause.
func TestObservationsExpire(t *testing.T) {
	table := NewTable()
	table.RecordReport(theEngine, workTimeReport(3), start)
	others := Observation{Usual: 3, Now: 4, NowAt: start}
	if got := estimateAt(table, start.Add(window-1)); got.Usual != 3 {
		t.Errorf("%+v during the window", got)
	}
	if got := estimateAt(table, start.Add(MaxAge)); got != averageEstimate {
		t.Errorf("%+v after %v", got, MaxAge)
	}
	if got := others.Decayed(MaxAge - 1); got.Usual != 3 {
		t.Errorf("%+v of other routers just before %v", got, MaxAge)
	}
	after := start.Add(MaxAge)
	snapshot := NewSnapshot(nil, map[uint32]Observation{theEngine: others.Decayed(MaxAge)}, func(uint32) float64 { return rate }, after)
	if got := snapshot.Engine(theEngine); got != averageEstimate {
		t.Errorf("%+v of other routers after %v", got, MaxAge)
	}
}

// Guards against tracking servers that report no work time: heartbeats would grow in
// deployments that have no use for it.
func TestServersWithoutReportsAreNotTracked(t *testing.T) {
	table := NewTable()
	for _, workTime := range []float64{0, -1, 0.009, 101, math.NaN(), math.Inf(1)} {
		table.RecordReport(theEngine, workTimeReport(workTime), start)
	}
	table.RecordFirstEvent(theEngine, 1000, time.Second, start)
	table.RecordStreamEnd(theEngine, true, start)
	if got := table.Own(start); got != nil {
		t.Errorf("%+v", got)
	}
}

// Guards against observations of one router hiding those of others.
func TestSnapshotMergesOwnAndOthers(t *testing.T) {
	table := NewTable()
	table.RecordReport(theEngine, workTimeReport(1.2), start)
	table.RecordStreamEnd(theEngine, true, start)
	others := map[uint32]Observation{
		theEngine:     {Usual: 1, Now: 2.5, NowAt: start.Add(time.Millisecond), Streams: 3},
		theEngine + 1: {Usual: 0.6, Streams: 1, Late: 1},
	}
	now := start.Add(2 * time.Millisecond)
	snapshot := NewSnapshot(table.Own(now), others, func(uint32) float64 { return rate }, now)
	if got := snapshot.Engine(theEngine); got.Usual != 1 || got.Now != 2.5 || math.Abs(got.Late-0.25) > 0.001 {
		t.Errorf("%+v", got)
	}
	if got := snapshot.Engine(theEngine + 1); got.Usual != 0.6 || got.Late != 1 || got.Age >= 0 {
		t.Errorf("%+v of a server that only other routers have observed", got)
	}
}
