package selection

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// protecting are limits under which streams may stall for 200 ms.
func protecting() Limits {
	protected := limits
	protected.Gap = 200 * time.Millisecond
	protected.Fallbacks = PreferredEngines
	return protected
}

// Guards against streams that stall: a long prompt read beside them at its home though
// another engine could read it in time.
func TestLongPromptGoesWhereItDisruptsNoStream(t *testing.T) {
	list := engines(5)
	for i := range list {
		list[i].Running, list[i].Rate = 10, 25_000
	}
	list[3].Rate = 60_000
	demand := Demand{OwnTokens: 7_000, Budget: time.Second}
	if choice := model(list, demand, protecting()); choice.Place != 3 || choice.Disrupts {
		t.Errorf("%+v, want the engine that reads it in 117 ms", choice)
	}
	list[3].Slowdown = 2.5
	if choice := model(list, demand, protecting()); !choice.Disrupts || !choice.Fits {
		t.Errorf("%+v while the fast engine is slowed down, want a home that it disrupts", choice)
	}
}

// Guards against capacity that stands idle: an engine without streams takes any prompt.
func TestNoStreamIsDisruptedWhereNoneRuns(t *testing.T) {
	list := engines(3)
	list[0].Running, list[1].Running = 1, 1
	if choice := model(list, Demand{OwnTokens: 1e6, Budget: time.Second}, protecting()); choice.Place != 2 || choice.Disrupts {
		t.Errorf("%+v, want the idle engine", choice)
	}
}

// Guards against starvation: whatever runs, a request that fitted at an engine without
// the protection still gets a place, so that the caller may decide whose request may
// disrupt.
func TestProtectionTakesNoPlaceAway(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := engines(rapid.IntRange(1, 10).Draw(t, "engines"))
		for i := range list {
			list[i].Running = rapid.IntRange(0, 64).Draw(t, "running")
			list[i].Pending = rapid.Float64Range(0, 80_000).Draw(t, "pending")
			list[i].Rate = rapid.Float64Range(0, 100_000).Draw(t, "rate")
			list[i].Slowdown = rapid.Float64Range(0, 4).Draw(t, "slowdown")
		}
		demand := Demand{OwnTokens: rapid.Float64Range(1, 40_000).Draw(t, "own"), Budget: 500 * time.Millisecond}
		with := protecting()
		with.Fallbacks = len(list)
		without := with
		without.Gap = 0
		before, after := model(list, demand, without), model(list, demand, with)
		if before.Fits != after.Fits {
			t.Fatalf("fits without the protection: %v, with it: %v", before.Fits, after.Fits)
		}
		for place := range list {
			if !after.FitsUndisrupted() && evaluate(list[place], demand, with, place).FitsUndisrupted() {
				t.Fatalf("%+v although place %d takes it without a disruption", after, place)
			}
		}
	})
}
