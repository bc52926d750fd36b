package gate

import (
	"fmt"
	"testing"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
	"github.com/bluebellchute/bluebellchute/internal/selection"
)

// Guards against reading shared segments again that another engine caches. While the
// preferred engine is full, the next one reads the segment; when the first has room again,
// the hash order alone names it as the holder.
func TestSegmentsAreFetchedFromWhereTheyWereRead(t *testing.T) {
	a, view, request := benchAdmission(6, 1, 4, BackendLoad{})
	usable := view.Serving["s"]
	ranked := selection.Rank(usable, backendIDHash, selection.Hash(request.Prompt.SharedSegment()), 2)
	first, second := usable[ranked[0]], usable[ranked[1]]
	request.Prompt.Segments[0].ID = segmentPreferring(usable, first)
	full := BackendLoad{Running: first.Slots}
	a.loads.begin(first.Incarnation, full)
	placed, refusal := a.place(request, view, nil)
	if refusal != nil || placed.backend != second {
		t.Fatalf("placed %+v, refused %+v; want the second engine", placed, refusal)
	}
	a.recordFirstEvent(request, placed, 1)
	a.release(request, placed, true)
	a.loads.end(first.Incarnation, full)
	a.loads.begin(second.Incarnation, full)
	placed, refusal = a.place(request, view, nil)
	if refusal != nil || placed.backend != first {
		t.Fatalf("placed %+v, refused %+v; want the first engine", placed, refusal)
	}
	if placed.fetchSource != second.Address {
		t.Errorf("segments are fetched from %q, want %q", placed.fetchSource, second.Address)
	}
}

// segmentPreferring returns the id of a segment whose preferred engine is the given one.
func segmentPreferring(usable []*knowledge.Backend, engine *knowledge.Backend) string {
	for i := 0; ; i++ {
		id := fmt.Sprint("part", i)
		if usable[selection.Rank(usable, backendIDHash, selection.Hash(id), 1)[0]] == engine {
			return id
		}
	}
}

// A restarted engine caches nothing.
func TestRestartedEngineCachesNothing(t *testing.T) {
	state := knowledge.NewState()
	backend := knowledge.Backend{ID: "i", Service: "s", Address: "10.0.0.1:1", StartedAt: 1}
	state.SetBackends([]knowledge.Backend{backend}, knowledge.Position{Revision: 1}, boottime.Now())
	index := newSegmentIndex()
	before := state.View()
	index.recordRead("part", before.Backends["i"])
	if index.cacheHolder("part", before) != before.Backends["i"] || index.cacheHolder("other", before) != nil {
		t.Error("the cache holder is not the engine that read the segment")
	}
	backend.StartedAt = 2
	state.SetBackends([]knowledge.Backend{backend}, knowledge.Position{Revision: 2}, boottime.Now())
	if holder := index.cacheHolder("part", state.View()); holder != nil {
		t.Errorf("%+v is the holder of a segment that its former incarnation read", holder)
	}
}
