package selection

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var limits = Limits{Rate: 50_000, SlotShare: 0.8, MemoryShare: 0.9, SecondPenalty: 1, Fallbacks: 8}

func engines(n int) []Engine {
	list := make([]Engine, n)
	for i := range list {
		list[i] = Engine{Slots: 64, MemoryCapacity: 500_000}
	}
	return list
}

// hashes returns the hashes of the ids of n engines.
func hashes(n int) []uint64 {
	list := make([]uint64, n)
	for i := range list {
		list[i] = Hash(fmt.Sprintf("i-%d", i))
	}
	return list
}

// model chooses among all engines of the list, in its order.
func model(list []Engine, demand Demand, limits Limits) Choice {
	return ChooseEngine(len(list), func(place int) Engine { return list[place] }, demand, limits)
}

func same(hash uint64) uint64 { return hash }

// Guards against the longest prompts never being served: if a prompt's own length counted
// in the budget for the wait, it would fit nowhere while anything waits at every engine.
func TestLongPromptIsNotRefusedForItsLength(t *testing.T) {
	list := engines(2)
	for i := range list {
		list[i].Running, list[i].Pending = 5, 5_000
	}
	demand := Demand{OwnTokens: 50_000, Budget: 400 * time.Millisecond}
	if choice := model(list, demand, limits); !choice.Fits {
		t.Errorf("a long prompt is refused: %+v", choice)
	}
}

func TestEngineWithTooMuchAheadIsNotChosen(t *testing.T) {
	list := engines(2)
	for i := range list {
		list[i].Running, list[i].Pending = 5, 30_000
	}
	if choice := model(list, Demand{OwnTokens: 100, Budget: 400 * time.Millisecond}, limits); choice.Fits {
		t.Error("chosen with 0.6 s of prompts ahead, 0.4 s are allowed")
	}
}

func TestMemoryAndSlotsAreBounds(t *testing.T) {
	for name, change := range map[string]func(*Engine){
		"memory": func(e *Engine) { e.Running, e.Memory = 40, 449_000 },
		"slots":  func(e *Engine) { e.Running = 51 },
	} {
		list := engines(2)
		for i := range list {
			change(&list[i])
		}
		if choice := model(list, Demand{OwnTokens: 2_000, Budget: time.Second}, limits); choice.Fits {
			t.Errorf("%s: a full engine takes a request", name)
		}
	}
}

// An idle engine never refuses a request, since capacity would be unused while work
// waits.
func TestIdleEngineTakesAnything(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demand := Demand{
			SharedTokens: rapid.Float64Range(0, 1e6).Draw(t, "shared"),
			OwnTokens:    rapid.Float64Range(0, 1e6).Draw(t, "own"),
			OutputTokens: rapid.Float64Range(0, 1e6).Draw(t, "output"),
		}
		list := engines(rapid.IntRange(1, 8).Draw(t, "engines"))
		if choice := model(list, demand, limits); !choice.Fits {
			t.Fatalf("%+v is refused", demand)
		}
	})
}

// When an engine leaves, only its keys move.
func TestFewKeysMoveWhenAnEngineGoes(t *testing.T) {
	list := hashes(10)
	for key := range uint64(2000) {
		before := Rank(list, same, mix(key), 1)[0]
		after := Rank(list[:9], same, mix(key), 1)[0]
		if before != 9 && before != after {
			t.Fatalf("key %d moved from engine %d to %d though both stayed", key, before, after)
		}
	}
}

func TestKeysAreSpreadEvenly(t *testing.T) {
	list := hashes(10)
	counts := make([]int, len(list))
	for key := range uint64(10_000) {
		counts[Rank(list, same, mix(key), 1)[0]]++
	}
	for engine, count := range counts {
		if count < 850 || count > 1150 {
			t.Errorf("engine %d has %d of 10,000 keys, want about 1,000", engine, count)
		}
	}
}

func TestAffinityYieldsToShorterWait(t *testing.T) {
	list := engines(2)
	demand := Demand{SharedTokens: 5_000, OwnTokens: 1_000, Budget: time.Second}
	if choice := model(list, demand, limits); choice.Place != 0 {
		t.Fatalf("position %d among idle engines", choice.Place)
	}
	list[0].Running, list[0].Pending = 3, 4_000
	if choice := model(list, demand, limits); choice.Place != 0 {
		t.Error("reading 5,000 shared tokens again takes longer than waiting for 4,000")
	}
	list[0].Pending = 8_000
	if choice := model(list, demand, limits); choice.Place == 0 {
		t.Error("waiting for 8,000 tokens takes longer than reading 5,000 again")
	}
}

func TestLeastOccupiedServerIsPreferred(t *testing.T) {
	servers := []Server{{Running: 3, Slots: 6, SameZone: true}, {Running: 1, Slots: 6}, {Running: 2, Slots: 6, SameZone: true}}
	if got := ChooseServer(servers, 0); got != 1 {
		t.Errorf("server %d", got)
	}
	if got := ChooseServer(nil, 0); got != -1 {
		t.Errorf("server %d of an empty list", got)
	}
}

func TestOwnZoneIsPreferredAmongEquals(t *testing.T) {
	servers := []Server{{Slots: 6}, {Slots: 6, SameZone: true}, {Slots: 6}}
	for offset := range 3 {
		if got := ChooseServer(servers, offset); got != 1 {
			t.Errorf("offset %d: server %d", offset, got)
		}
	}
}

// Guards against refusing requests within their accounts' shares while a tenth of the
// engines is idle. Engines have few slots, so both preferred engines of a request can be
// full for a short time; further engines must be considered then.
func TestFullEnginesAreNoReasonToRefuseWhileOthersHaveRoom(t *testing.T) {
	list := engines(6)
	for i := range list {
		list[i].Slots = 12
		list[i].Running = 9
	}
	list[4].Running = 2
	demand := Demand{SharedTokens: 400, OwnTokens: 500, Budget: time.Second}
	if choice := model(list, demand, limits); !choice.Fits || choice.Place != 4 {
		t.Errorf("%+v, want the fifth engine", choice)
	}
	if choice := model(list[:2], demand, limits); choice.Fits {
		t.Errorf("%+v fits at a full engine", choice)
	}
}

// Engines beyond the preferred ones of a key are not considered while a preferred one has
// room: each of them would have to read the key's segments again.
func TestSegmentsStayAtPreferredEngines(t *testing.T) {
	list := engines(6)
	list[0].Running, list[0].Pending = 5, 20_000
	list[1].Running, list[1].Pending = 5, 10_000
	lookups := 0
	choice := ChooseEngine(len(list), func(place int) Engine { lookups++; return list[place] }, Demand{OwnTokens: 500, Budget: time.Second}, limits)
	if choice.Place != 1 || lookups != PreferredEngines {
		t.Errorf("%+v after %d lookups", choice, lookups)
	}
}

// Rank returns the engines with the highest weights in their order, whatever the list.
func TestRankOrdersByWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := hashes(rapid.IntRange(0, 40).Draw(t, "engines"))
		key := rapid.Uint64().Draw(t, "key")
		count := rapid.IntRange(0, 10).Draw(t, "most")
		all := make([]int, len(list))
		for i := range all {
			all[i] = i
		}
		slices.SortStableFunc(all, func(a, b int) int { return cmp.Compare(Weight(key, list[b]), Weight(key, list[a])) })
		if ranked := Rank(list, same, key, count); !slices.Equal(ranked, all[:min(count, len(all))]) {
			t.Fatalf("%v, want the first %d of %v", ranked, count, all)
		}
	})
}
