package gate

import (
	"slices"
	"testing"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
	"github.com/bluebellchute/bluebellchute/internal/policy"
	"github.com/bluebellchute/bluebellchute/internal/selection"
)

// segmentFleet is a fleet of engines, listed in the order of a segment's preference.
type segmentFleet struct {
	state   *knowledge.State
	a       *admission
	request *Request
	ids     []string
}

// entryOf returns the entry of an engine. Each engine is in an availability zone of its own
// name.
func entryOf(id string) knowledge.Backend {
	return knowledge.Backend{ID: id, Service: "s", Address: fleet.Address(id + ":1"), Slots: 64, Zone: fleet.Zone(id)}
}

// newSegmentFleet returns a fleet with a request whose segment prefers the engines in the
// order of ids.
func newSegmentFleet() *segmentFleet {
	request := &Request{Service: "s", Prompt: Prompt{Tokens: 3000, Segments: []PromptSegment{{"shared", 2000}, {"own", 1000}}}}
	ids := []string{"i-1", "i-2", "i-3", "i-4", "i-5"}
	key := selection.Hash(request.Prompt.SharedSegment())
	slices.SortFunc(ids, func(a, b string) int {
		if selection.Weight(key, selection.Hash(a)) > selection.Weight(key, selection.Hash(b)) {
			return -1
		}
		return 1
	})
	settings := newCurrentSettings(Settings{Admission: policy.Defaults(), Evacuate: 4 * time.Second})
	f := &segmentFleet{state: knowledge.NewState(), a: newAdmission(settings, "z", noPeers{}), request: request, ids: ids}
	f.state.SetConfiguration(&knowledge.Configuration{
		Version:  1,
		Services: []knowledge.ServiceSettings{{Name: "s", Fetches: true}},
	}, boottime.Now())
	return f
}

// list makes the engines at these positions the complete list of backend servers.
func (f *segmentFleet) list(places ...int) {
	var backends []knowledge.Backend
	for _, place := range places {
		backends = append(backends, entryOf(f.ids[place]))
	}
	f.state.SetBackends(backends, knowledge.Position{Revision: f.state.View().Position.Revision + 1}, boottime.Now())
}

// fetchSource returns the position of the engine from which the engine at the given
// position fetches, -1 for none.
func (f *segmentFleet) fetchSource(place int, at boottime.Instant) int {
	view := f.state.View()
	search := &modelSearch{request: f.request, view: view, segment: f.request.Prompt.SharedSegment()}
	address := f.a.fetchSource(search, view.Backends[f.ids[place]], at)
	return slices.IndexFunc(f.ids, func(id string) bool { return entryOf(id).Address == address })
}

func TestPreferredEngineFetchesNothing(t *testing.T) {
	f := newSegmentFleet()
	f.list(0, 1, 2)
	if got := f.fetchSource(0, boottime.Now()); got != -1 {
		t.Errorf("the preferred engine fetches from engine %d", got)
	}
	if got := f.fetchSource(1, boottime.Now()); got != 0 {
		t.Errorf("the second engine fetches from engine %d, want the preferred one", got)
	}
}

// Guards against reading shared segments again when engines are added: a new engine becomes
// the preferred one of many segments that it has not read yet.
func TestNewPreferredEngineFetchesFromThePreviousOne(t *testing.T) {
	f := newSegmentFleet()
	f.list(1, 2)
	f.list(0, 1, 2)
	now := boottime.Now()
	if got := f.fetchSource(0, now); got != 1 {
		t.Errorf("the new preferred engine fetches from engine %d, want the previous one", got)
	}
	if got := f.fetchSource(2, now); got != 1 {
		t.Errorf("another engine fetches from engine %d, want the previous preferred one", got)
	}
	if got := f.fetchSource(0, now.Add(recentStartPeriod+time.Second)); got != -1 {
		t.Errorf("a preferred engine that is no longer new fetches from engine %d", got)
	}
}

// Guards against reading shared segments again when an engine drains or its zone is
// evacuated: engines that get no requests any more are valid fetch sources.
func TestSegmentsAreFetchedFromADrainingEngine(t *testing.T) {
	f := newSegmentFleet()
	f.list(0, 1, 2)
	draining := entryOf(f.ids[0])
	draining.Draining = true
	setBackend(f.state, draining, 50)
	if got := f.fetchSource(1, boottime.Now()); got != 0 {
		t.Errorf("fetched from engine %d, want the draining one", got)
	}
	setBackend(f.state, entryOf(f.ids[0]), 51)
	f.state.SetEvacuations([]fleet.Zone{fleet.Zone(f.ids[0])}, knowledge.Position{Revision: 52}, boottime.Now())
	if got := f.fetchSource(1, boottime.Now()); got != 0 {
		t.Errorf("fetched from engine %d, want the evacuated one", got)
	}
	if got := f.fetchSource(1, boottime.Now().Add(3*time.Second)); got == 0 {
		t.Error("fetched from an evacuated zone near the bound")
	}
}

// Engines of a zone that was taken back into use have probably restarted and cache nothing.
func TestEnginesOfAReturnedZoneFetch(t *testing.T) {
	f := newSegmentFleet()
	f.list(0, 1, 2)
	f.state.SetEvacuations([]fleet.Zone{fleet.Zone(f.ids[0])}, knowledge.Position{Revision: 60}, boottime.Now())
	f.state.SetEvacuations(nil, knowledge.Position{Revision: 61}, boottime.Now())
	if got := f.fetchSource(0, boottime.Now()); got != 1 {
		t.Errorf("fetched from engine %d, want the next one", got)
	}
}
