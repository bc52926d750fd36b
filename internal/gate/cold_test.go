package gate

import (
	"testing"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
)

const coldStart = 3 * time.Second

// coldSettings allow a cold server of coldView's service 15 requests in a window.
func coldSettings() *currentSettings {
	return newCurrentSettings(Settings{Cold: ColdSettings{Overshoot: 1.5, Slack: 5}})
}

// coldState knows a warm server i-1 in zone a, and i-2 in zone b that is cold for left.
func coldState(left time.Duration) *knowledge.State {
	state := knowledge.NewState()
	state.SetConfiguration(&knowledge.Configuration{
		Version:  1,
		Services: []knowledge.ServiceSettings{{Name: "s", ColdStart: coldStart, ColdRate: 10}, {Name: "plain"}},
	}, boottime.Now())
	state.SetBackends([]knowledge.Backend{
		{ID: "i-1", Service: "s", Zone: "a", Position: knowledge.Position{Revision: 3}},
		{ID: "i-2", Service: "s", Zone: "b", Position: knowledge.Position{Revision: 4}, ColdRemaining: left},
		{ID: "i-3", Service: "plain", Zone: "b", Position: knowledge.Position{Revision: 5}, ColdRemaining: left},
	}, knowledge.Position{Revision: 5}, boottime.Now())
	return state
}

func isCold(cold *coldServers, view *knowledge.View, id string, at boottime.Instant) bool {
	backend := view.Backends[id]
	_, found := cold.bounds(view, backend.Service, at)[backend.Incarnation]
	return found
}

// Symptom: a server that has just started crashes again and again.
// Events: it is added; its entry says that it is cold; all routers send to it.
// Cause: cold servers got what warm ones get.
func TestColdServerGetsItsBound(t *testing.T) {
	cold := newColdServers(coldSettings(), noPeers{})
	view := coldState(coldStart).View()
	now := boottime.Now()
	if !isCold(cold, view, "i-2", now) || isCold(cold, view, "i-1", now) {
		t.Fatal("the cold server is not told from the warm one")
	}
	if isCold(cold, view, "i-3", now) {
		t.Error("a service without a rate for cold servers has a bound")
	}
	permits := 0
	for range 100 {
		if permit, ok := cold.acquire(cold.bounds(view, "s", now), view.Backends["i-2"], now); ok {
			permit.MarkSent(now)
			permits++
		}
	}
	if permits != 15 {
		t.Errorf("%d requests at once, want 15", permits)
	}
	open := cold.usable(cold.bounds(view, "s", now), view.Serving["s"], now)
	if len(open) != 1 || open[0].ID != "i-1" {
		t.Errorf("open: %v", open)
	}
	if later := now.Add(coldStart + time.Second); isCold(cold, view, "i-2", later) {
		t.Error("it stays cold")
	}
}

// An entry that is told again, by a list or by another router, starts no new time; a
// newer one does.
func TestColdTimeIsCountedOnce(t *testing.T) {
	state := coldState(coldStart)
	until := state.View().Backends["i-2"].ColdUntil
	time.Sleep(20 * time.Millisecond)
	again := knowledge.Backend{ID: "i-2", Service: "s", Zone: "b", Position: knowledge.Position{Revision: 4}, ColdRemaining: coldStart}
	state.SetBackends([]knowledge.Backend{again}, knowledge.Position{Revision: 6}, boottime.Now())
	if got := state.View().Backends["i-2"].ColdUntil; got != until {
		t.Errorf("cold for %v longer", got.Sub(until))
	}
	again.Revision, again.ColdRemaining = 7, 2*coldStart
	setBackend(state, again, 7)
	if got := state.View().Backends["i-2"].ColdUntil; got <= until.Add(coldStart) {
		t.Error("a server that turned cold again is not")
	}
	again.Revision, again.ColdRemaining = 8, 0
	setBackend(state, again, 8)
	if got := state.View().Backends["i-2"].ColdUntil; got != 0 {
		t.Error("a server that says that it is warm is cold")
	}
}

// Symptom: servers of a zone crash when the zone is taken back.
// Events: they start again while the zone is evacuated; their entries tell it only
// with the next heartbeat.
// Cause: they were taken for warm until then.
func TestReturnedZoneIsCold(t *testing.T) {
	cold := newColdServers(coldSettings(), noPeers{})
	state := coldState(0)
	state.SetEvacuations([]fleet.Zone{"b"}, knowledge.Position{Revision: 10}, boottime.Now())
	state.SetEvacuations(nil, knowledge.Position{Revision: 11}, boottime.Now())
	view, now := state.View(), boottime.Now()
	if !isCold(cold, view, "i-2", now) || isCold(cold, view, "i-1", now) {
		t.Error("servers of the zone that was taken back are not cold, or others are")
	}
	if isCold(cold, view, "i-2", now.Add(coldStart+time.Second)) {
		t.Error("they stay cold")
	}
}

// Symptom: a server that started again behind a cut crashes again.
// Events: it loses the store and crashes; routers reach it; its entry says nothing new.
// Cause: its new start showed in its connections and its answers only.
func TestServerMayBeColdAfterBrokenConnections(t *testing.T) {
	cold := newColdServers(coldSettings(), noPeers{})
	view, now := coldState(0).View(), boottime.Now()
	cold.markCold("i-1", 0) // an answer that says nothing
	if isCold(cold, view, "i-1", now) {
		t.Error("cold without a reason")
	}
	cold.assumeRestart(view, view.Backends["i-1"])
	cold.assumeRestart(view, view.Backends["i-3"])
	if !isCold(cold, view, "i-1", boottime.Now()) || isCold(cold, view, "i-3", boottime.Now()) {
		t.Error("a server whose connections can't be opened")
	}
	cold.markCold("i-2", time.Second)
	if !isCold(cold, view, "i-2", boottime.Now()) {
		t.Error("a server that says in an answer that it is cold")
	}
}

// setBackend takes the newest entry of one backend server.
func setBackend(state *knowledge.State, backend knowledge.Backend, revision uint64) {
	backend.Position = knowledge.Position{Revision: revision}
	state.ApplyBackendChanges([]knowledge.BackendChange{{ID: backend.ID, Entry: &backend}}, backend.Position)
}
