package selection

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// streamLimits are limits under which streams may stall for 200 ms.
func streamLimits() Limits {
	bounded := limits
	bounded.Gap = 200 * time.Millisecond
	bounded.Fallbacks = PreferredEngines
	return bounded
}

// Guards against stalled streams: a long prompt is read beside them at its preferred
// engine although another engine could read it in time.
func TestLongPromptGoesWhereItDisruptsNoStream(t *testing.T) {
	list := engines(5)
	for i := range list {
		list[i].Running, list[i].Rate = 10, 25_000
	}
	list[3].Rate = 60_000
	demand := Demand{OwnTokens: 7_000, Budget: time.Second}
	if choice := model(list, demand, streamLimits()); choice.Place != 3 || choice.Disrupts {
		t.Errorf("%+v, want the engine that reads it in 117 ms", choice)
	}
	list[3].Slowdown = 2.5
	if choice := model(list, demand, streamLimits()); !choice.Disrupts || !choice.Fits {
		t.Errorf("%+v while the fast engine is slowed down, want a preferred engine although it disrupts streams", choice)
	}
}

// Guards against unused capacity: an engine without streams takes any prompt.
func TestNoStreamIsDisruptedWhereNoneRuns(t *testing.T) {
	list := engines(3)
	list[0].Running, list[1].Running = 1, 1
	if choice := model(list, Demand{OwnTokens: 1e6, Budget: time.Second}, streamLimits()); choice.Place != 2 || choice.Disrupts {
		t.Errorf("%+v, want the idle engine", choice)
	}
}

// Guards against starvation: a request that fits at an engine without stream protection
// must still get one with it, so that the caller of the package decides whose requests
// may disrupt streams.
func TestProtectionRefusesNoFittingRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := engines(rapid.IntRange(1, 10).Draw(t, "engines"))
		for i := range list {
			list[i].Running = rapid.IntRange(0, 64).Draw(t, "running")
			list[i].Pending = rapid.Float64Range(0, 80_000).Draw(t, "pending")
			list[i].Rate = rapid.Float64Range(0, 100_000).Draw(t, "rate")
			list[i].Slowdown = rapid.Float64Range(0, 4).Draw(t, "slowdown")
		}
		demand := Demand{OwnTokens: rapid.Float64Range(1, 40_000).Draw(t, "own"), Budget: 500 * time.Millisecond}
		with := streamLimits()
		with.Fallbacks = len(list)
		without := with
		without.Gap = 0
		before, after := model(list, demand, without), model(list, demand, with)
		if before.Fits != after.Fits {
			t.Fatalf("fits without the protection: %v, with it: %v", before.Fits, after.Fits)
		}
		for place := range list {
			if !after.FitsUndisrupted() && evaluate(list[place], demand, with, place).FitsUndisrupted() {
				t.Fatalf("%+v although the engine at position %d takes it without a disruption", after, place)
			}
		}
	})
}
