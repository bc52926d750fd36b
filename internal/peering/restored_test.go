package peering

import (
	"io"
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
	"github.com/bluebellchute/bluebellchute/internal/peering/peeringpb"
)

func knowing(backends []knowledge.Backend, at knowledge.Position) *knowledge.State {
	state := knowledge.NewState()
	state.SetConfiguration(&knowledge.Configuration{Version: 1}, boottime.Now())
	state.SetBackends(backends, at, boottime.Now())
	return state
}

func quietPuller(state *knowledge.State) *puller {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return newPuller(state, "", logger)
}

// Routers that do not follow the store went on with the list that they had: after the
// store had come back from an older copy, the list of those that follow had a revision
// that was not greater than theirs, in the records 87 at all of them. It must be taken at
// whatever revision, once, and bring what the server wrote since.
func TestListOfANewerEraIsTakenFromOthers(t *testing.T) {
	was := knowledge.Backend{ID: "i", Service: "s", Address: "10.0.0.1:1", Position: knowledge.Position{Era: 1, Revision: 40}}
	known := knowledge.Position{Era: 1, Revision: 87}
	for _, revision := range []uint64{60, 87, 95} {
		at := knowledge.Position{Era: 2, Revision: revision}
		leaves := was
		leaves.Draining, leaves.Position = true, at
		told, asking := knowing([]knowledge.Backend{leaves}, at), knowing([]knowledge.Backend{was}, known)
		beat := &peeringpb.Beat{Era: at.Era, Revision: at.Revision, Digest: told.View().Digest}
		if !newerList(asking.View(), beat) {
			t.Errorf("a beat at %v is not newer than %v", at, known)
		}
		reply, err := (&server{state: told}).Pull(t.Context(), &peeringpb.PullRequest{Version: 1, Era: known.Era, Revision: known.Revision})
		if err != nil {
			t.Fatal(err)
		}
		if err := quietPuller(asking).apply(reply, known, boottime.Now()); err != nil {
			t.Fatal(err)
		}
		view := asking.View()
		if !view.Backends["i"].Draining || view.Position != at || view.Backends["i"].Position != at {
			t.Errorf("%+v at %v after a list at %v", view.Backends["i"], view.Position, at)
		}
		if newerList(view, beat) {
			t.Errorf("the same beat at %v is newer again", at)
		}
	}
}

// A list without changes is taken as well when the era is newer: a router that does not
// follow the store would else never hear that it has lost something.
func TestSameListOfANewerEraTellsOfTheEra(t *testing.T) {
	backends := []knowledge.Backend{{ID: "i", Service: "s", Address: "10.0.0.1:1"}}
	state := knowing(backends, knowledge.Position{Era: 1, Revision: 87})
	beat := &peeringpb.Beat{Era: 2, Revision: 60, Digest: state.View().Digest}
	if !newerList(state.View(), beat) {
		t.Error("the same list of a newer era is not taken")
	}
	beat.Era = 1
	if newerList(state.View(), beat) {
		t.Error("the same list of the same era is taken")
	}
}

// Beats of routers that have not heard of the new era yet must not bring back the zones of
// the older one.
func TestZonesOfANewerEraReplaceOlderOnes(t *testing.T) {
	teller, hearer := knowledge.NewState(), knowledge.NewState()
	now := boottime.Now()
	teller.SetEvacuations([]fleet.Zone{"a"}, knowledge.Position{Era: 2, Revision: 60}, now)
	hearer.SetEvacuations([]fleet.Zone{"b"}, knowledge.Position{Era: 1, Revision: 87}, now)
	tell := func(from, to *knowledge.State) {
		view := from.View()
		takeEvacuations(to, encodeEvacuations(&view.Evacuations, boottime.Now()), now, boottime.Now())
	}
	tell(hearer, teller)
	if zones := teller.View().Evacuations.Zones; !slices.Equal(zones, []fleet.Zone{"a"}) {
		t.Errorf("%v after a beat of the older era", zones)
	}
	tell(teller, hearer)
	if known := hearer.View().Evacuations; !known.Has("a") || known.Position.Era != 2 {
		t.Errorf("%+v after a beat of the newer era", known)
	}
}

// A router that waits for its next look into the directory looks at once when the store
// has come back from an older copy.
func TestStoreThatWentBackEndsTheWaitForALook(t *testing.T) {
	state := knowing(nil, knowledge.Position{Era: 1, Revision: 87})
	manager := NewManager(Options{Address: self, State: state, Logger: logrus.New()})
	time.AfterFunc(20*time.Millisecond, func() {
		state.SetBackends(nil, knowledge.Position{Era: 2, Revision: 60}, boottime.Now())
	})
	began := time.Now()
	manager.awaitLook(t.Context(), time.Minute, state.View().RestoredAt)
	if waited := time.Since(began); waited > 10*time.Second {
		t.Errorf("waited for %v", waited)
	}
}
