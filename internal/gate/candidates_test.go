package gate

import (
	"fmt"
	"testing"
	"time"

	"github.com/samber/lo"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
)

// Guards against new streams that begin at servers which may have started again while the store is
// unreachable, and can't be taken up, though others are certain to be the listed ones; and against
// those being filled up for it.
func TestStreamsBeginWhereTheyCanBeTakenUp(t *testing.T) {
	stream := &knowledge.Route{Stream: true, Repeat: knowledge.RepeatResume}
	for _, test := range []struct {
		name    string
		route   *knowledge.Route
		age     time.Duration // of the list
		running int           // at each certain server
		certain bool          // whether only those are chosen
	}{
		{"overdue list", stream, 10 * time.Second, 0, true},
		{"current list", stream, 0, 0, false},
		{"half of the slots taken", stream, 10 * time.Second, 2, false},
		{"stream that can't be taken up", &knowledge.Route{Stream: true}, 10 * time.Second, 0, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			a := newAdmission(newCurrentSettings(Settings{}), "z", noPeers{})
			a.certain = func(backend *knowledge.Backend) bool { return backend.ID < "i-2" }
			state := knowledge.NewState()
			state.SetBackends(lo.Times(4, func(i int) knowledge.Backend {
				return knowledge.Backend{ID: fmt.Sprint("i-", i), Service: "s", Address: fleet.Address(fmt.Sprintf("10.0.0.%d:80", i+1)), Zone: "z", Slots: 4}
			}), knowledge.Position{Revision: 1}, boottime.Now().Add(-test.age))
			view := state.View()
			for _, backend := range view.Serving["s"] {
				for range lo.Ternary(a.certain(backend), test.running, 0) {
					a.loads.begin(backend.Incarnation, BackendLoad{Running: 1})
				}
			}
			chosen := a.certainFirst(&Request{Route: test.route}, view, view.Serving["s"])
			if got := lo.EveryBy(chosen, a.certain); got != test.certain || len(chosen) == 0 {
				t.Errorf("%d servers, all certain: %v, want %v", len(chosen), got, test.certain)
			}
		})
	}
}
