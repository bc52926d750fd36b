package selection

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Guards against fast engines that are half idle beside slow ones that are full.
func TestKeysAreSpreadByWeight(t *testing.T) {
	list, weights := hashes(10), []float64{1, 1, 1, 1, 1, 2, 2, 2, 2, 2}
	counts := make([]int, len(list))
	const keys = 15_000
	for key := range uint64(keys) {
		counts[RankWeighted(list, same, weights, mix(key), 1)[0]]++
	}
	for engine, count := range counts {
		want := keys / 15 * weights[engine]
		if float64(count) < want*0.85 || float64(count) > want*1.15 {
			t.Errorf("engine %d has %d keys, want about %.0f", engine, count, want)
		}
	}
}

// Guards against prompt segments being read again across the fleet when an engine's
// weight changes: only keys of that engine may move.
func TestFewKeysMoveWhenAWeightChanges(t *testing.T) {
	list := hashes(10)
	before, after := slices.Repeat([]float64{1}, 10), slices.Repeat([]float64{1}, 10)
	after[4] = 0.5
	for key := range uint64(2000) {
		was := RankWeighted(list, same, before, mix(key), 1)[0]
		is := RankWeighted(list, same, after, mix(key), 1)[0]
		if was != is && was != 4 {
			t.Fatalf("key %d moved from engine %d to %d", key, was, is)
		}
	}
}

// Guards against an order that depends on the search: each rank is a prefix of the longer
// ones.
func TestRankWeightedOrdersByCost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := hashes(rapid.IntRange(1, 30).Draw(t, "engines"))
		weights := make([]float64, len(list))
		for i := range weights {
			weights[i] = rapid.Float64Range(0.05, 20).Draw(t, "weight")
		}
		key := rapid.Uint64().Draw(t, "key")
		ranked := RankWeighted(list, same, weights, key, len(list))
		for count := range len(list) {
			if first := RankWeighted(list, same, weights, key, count); !slices.Equal(first, ranked[:count]) {
				t.Fatalf("the first %d are %v, want %v", count, first, ranked[:count])
			}
		}
	})
}
