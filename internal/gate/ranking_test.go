package gate

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/samber/lo"
	"pgregory.net/rapid"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
	"github.com/bluebellchute/bluebellchute/internal/pace"
)

// Guards against lists built for single requests, as while an engine is ejected, that
// replace the lists of the view in the cache or stay in memory through it.
func TestListsOfSingleRequestsAreNotCached(t *testing.T) {
	zones := []fleet.Zone{"z", "y", "x"}
	a, view, request := benchAdmissionInZones(30, 1, 4, BackendLoad{Running: 3, Pending: 400}, zones)
	reportWorkTimes(a, view)
	a.loads.ejected[view.Backends["i-1"].Incarnation] = boottime.Now().Add(time.Hour)
	for range 2 * maxCachedLists {
		placed, refusal := a.place(request, view, nil)
		if refusal != nil {
			t.Fatalf("%+v", refusal)
		}
		a.release(request, placed, false)
	}
	viewLists := [][]*knowledge.Backend{view.Serving["s"], view.ByService["s"]}
	for key := range a.lists.weighed {
		if !slices.ContainsFunc(viewLists, func(list []*knowledge.Backend) bool { return key.list == &list[0] }) {
			t.Error("the weights of a list that was built for one request are cached")
		}
	}
	if len(a.lists.ownZone) != 0 {
		t.Errorf("%d lists that were built for single requests are cached", len(a.lists.ownZone))
	}
}

// Guards against engines that get the weights of others while some engines get no requests.
func TestFilteredListsAreRankedByTheirOwnWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		full := make([]*knowledge.Backend, rapid.IntRange(1, 20).Draw(t, "engines"))
		own := make(map[uint32]pace.Observation)
		for i := range full {
			full[i] = &knowledge.Backend{IDHash: uint64(i) * 2654435761, IncarnationHash: uint32(i)}
			own[uint32(i)] = pace.Observation{Usual: rapid.Float64Range(0.1, 10).Draw(t, "work time")}
		}
		snapshot := pace.NewSnapshot(own, nil, func(uint32) float64 { return 0 }, boottime.Now())
		by := ranking{weighted: true, snapshot: snapshot, exponent: 3, cache: newListCache()}
		list := lo.Filter(full, func(*knowledge.Backend, int) bool { return rapid.Bool().Draw(t, "usable") })
		segment := rapid.String().Draw(t, "part")
		if got, want := by.rankFiltered(list, full, segment, 10), by.rank(list, segment, 10); !slices.Equal(got, want) {
			t.Errorf("ranked %v, want %v", got, want)
		}
		slices.Reverse(list) // another order than in the full list
		if got, want := by.rankFiltered(list, full, segment, 10), by.rank(slices.Clone(list), segment, 10); !slices.Equal(got, want) {
			t.Errorf("ranked %v in another order, want %v", got, want)
		}
	})
}

// Guards against using the weights of an older snapshot, or of a list with the same engines
// before one of them was replaced.
func TestWeightsFollowSnapshotAndList(t *testing.T) {
	engine := func(hash uint32) *knowledge.Backend { return &knowledge.Backend{IncarnationHash: hash} }
	snapshot := func(usual float64) *pace.Snapshot {
		own := map[uint32]pace.Observation{1: {Usual: usual}, 2: {Usual: 4}}
		return pace.NewSnapshot(own, nil, func(uint32) float64 { return 0 }, boottime.Now())
	}
	list := []*knowledge.Backend{engine(1)}
	by := ranking{weighted: true, snapshot: snapshot(0.5), exponent: 1, cache: newListCache()}
	steps := []struct {
		change func()
		want   float64
	}{
		{func() {}, 2},
		{func() { by.snapshot = snapshot(2) }, 0.5},
		{func() { by.exponent = 2 }, 0.25},
		{func() { list = []*knowledge.Backend{engine(2)} }, 0.0625}, // restarted under its id
		{func() { list = []*knowledge.Backend{engine(3)} }, 1},      // reports nothing yet
	}
	for i, step := range steps {
		step.change()
		if got := by.cache.weights(list, by)[0]; math.Abs(got-step.want) > 1e-9 {
			t.Errorf("step %d: weight %v, want %v", i, got, step.want)
		}
	}
}
