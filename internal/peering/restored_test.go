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

func newState(backends []knowledge.Backend, at knowledge.Position) *knowledge.State {
	state := knowledge.NewState()
	state.SetConfiguration(&knowledge.Configuration{Version: 1}, boottime.Now())
	state.SetBackends(backends, at, boottime.Now())
	return state
}

func newQuietPuller(state *knowledge.State) *puller {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return newPuller(state, "", logger)
}

// Guards against routers that do not watch the store and keep an outdated list after the
// store was restored from an older copy. The revision of the watchers' list is then not
// greater than theirs, for instance 87 at all of them. The list must be pulled once at any
// revision, with the changes written since.
func TestListOfANewerEraIsPulled(t *testing.T) {
	was := knowledge.Backend{ID: "i", Service: "s", Address: "10.0.0.1:1", Position: knowledge.Position{Era: 1, Revision: 40}}
	known := knowledge.Position{Era: 1, Revision: 87}
	for _, revision := range []uint64{60, 87, 95} {
		at := knowledge.Position{Era: 2, Revision: revision}
		draining := was
		draining.Draining, draining.Position = true, at
		source, pulling := newState([]knowledge.Backend{draining}, at), newState([]knowledge.Backend{was}, known)
		heartbeat := &peeringpb.Beat{Era: at.Era, Revision: at.Revision, Digest: source.View().Digest}
		if !hasNewerList(pulling.View(), heartbeat) {
			t.Errorf("a heartbeat at %v is not newer than %v", at, known)
		}
		reply, err := (&server{state: source}).Pull(t.Context(), &peeringpb.PullRequest{Version: 1, Era: known.Era, Revision: known.Revision})
		if err != nil {
			t.Fatal(err)
		}
		if err := newQuietPuller(pulling).apply(reply, known, boottime.Now()); err != nil {
			t.Fatal(err)
		}
		view := pulling.View()
		if !view.Backends["i"].Draining || view.Position != at || view.Backends["i"].Position != at {
			t.Errorf("%+v at %v after a list at %v", view.Backends["i"], view.Position, at)
		}
		if hasNewerList(view, heartbeat) {
			t.Errorf("the same heartbeat at %v counts as newer again", at)
		}
	}
}

// An identical list of a newer era is pulled too: a router that does not watch the store
// could not learn otherwise that the store has lost something.
func TestSameListOfANewerEraIsPulled(t *testing.T) {
	backends := []knowledge.Backend{{ID: "i", Service: "s", Address: "10.0.0.1:1"}}
	state := newState(backends, knowledge.Position{Era: 1, Revision: 87})
	heartbeat := &peeringpb.Beat{Era: 2, Revision: 60, Digest: state.View().Digest}
	if !hasNewerList(state.View(), heartbeat) {
		t.Error("an identical list of a newer era is not pulled")
	}
	heartbeat.Era = 1
	if hasNewerList(state.View(), heartbeat) {
		t.Error("an identical list of the same era is pulled")
	}
}

// Heartbeats of routers that have not learned of the new era must not restore the zones
// of the older one.
func TestZonesOfANewerEraReplaceOlderOnes(t *testing.T) {
	sender, receiver := knowledge.NewState(), knowledge.NewState()
	now := boottime.Now()
	sender.SetEvacuations([]fleet.Zone{"a"}, knowledge.Position{Era: 2, Revision: 60}, now)
	receiver.SetEvacuations([]fleet.Zone{"b"}, knowledge.Position{Era: 1, Revision: 87}, now)
	send := func(from, to *knowledge.State) {
		view := from.View()
		applyEvacuations(to, encodeEvacuations(&view.Evacuations, boottime.Now()), now, boottime.Now())
	}
	send(receiver, sender)
	if zones := sender.View().Evacuations.Zones; !slices.Equal(zones, []fleet.Zone{"a"}) {
		t.Errorf("zones %v after a heartbeat of the older era", zones)
	}
	send(sender, receiver)
	if known := receiver.View().Evacuations; !known.Has("a") || known.Position.Era != 2 {
		t.Errorf("evacuations %+v after a heartbeat of the newer era", known)
	}
}

// A router that waits for its next directory read reads it immediately after the store
// was restored from an older copy.
func TestRestoredStoreEndsTheWaitForADirectoryRead(t *testing.T) {
	state := newState(nil, knowledge.Position{Era: 1, Revision: 87})
	manager := NewManager(Options{Address: self, State: state, Logger: logrus.New()})
	time.AfterFunc(20*time.Millisecond, func() {
		state.SetBackends(nil, knowledge.Position{Era: 2, Revision: 60}, boottime.Now())
	})
	startedAt := time.Now()
	manager.awaitNextRead(t.Context(), time.Minute, state.View().RestoredAt)
	if waited := time.Since(startedAt); waited > 10*time.Second {
		t.Errorf("waited for %v", waited)
	}
}
