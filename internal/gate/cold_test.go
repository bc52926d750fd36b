package gate

import (
	"testing"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
)

const coldStart = 3 * time.Second

// coldSettings allow a cold server of coldState's service 15 requests in a window.
func coldSettings() *currentSettings {
	return newCurrentSettings(Settings{Cold: ColdSettings{Overshoot: 1.5, Slack: 5}})
}

// coldState returns a fleet with a warm server i-1 in zone a, and i-2 in zone b that stays
// cold for the given time.
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

// Guards against servers that crash again and again after a start, because all routers send
// to a cold server as much as to a warm one.
func TestColdServerGetsItsBound(t *testing.T) {
	cold := newColdServers(coldSettings(), noPeers{})
	view := coldState(coldStart).View()
	now := boottime.Now()
	if !isCold(cold, view, "i-2", now) || isCold(cold, view, "i-1", now) {
		t.Fatal("the cold server is not distinguished from the warm one")
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
		t.Errorf("%d concurrent requests, want 15", permits)
	}
	usable := cold.usable(cold.bounds(view, "s", now), view.Serving["s"], now)
	if len(usable) != 1 || usable[0].ID != "i-1" {
		t.Errorf("usable: %v", usable)
	}
	if later := now.Add(coldStart + time.Second); isCold(cold, view, "i-2", later) {
		t.Error("it stays cold")
	}
}

// An entry that is received again, in a list or from another router, must not extend the
// cold time; a newer one does.
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
		t.Error("a server that became cold again counts as warm")
	}
	again.Revision, again.ColdRemaining = 8, 0
	setBackend(state, again, 8)
	if got := state.View().Backends["i-2"].ColdUntil; got != 0 {
		t.Error("a server that reports that it is warm counts as cold")
	}
}

// Guards against crashes of servers in a zone that is taken back into use: they restarted
// while the zone was evacuated, and their entries show it only with the next heartbeat.
func TestReturnedZoneIsCold(t *testing.T) {
	cold := newColdServers(coldSettings(), noPeers{})
	state := coldState(0)
	state.SetEvacuations([]fleet.Zone{"b"}, knowledge.Position{Revision: 10}, boottime.Now())
	state.SetEvacuations(nil, knowledge.Position{Revision: 11}, boottime.Now())
	view, now := state.View(), boottime.Now()
	if !isCold(cold, view, "i-2", now) || isCold(cold, view, "i-1", now) {
		t.Error("servers of the returned zone are not cold, or others are")
	}
	if isCold(cold, view, "i-2", now.Add(coldStart+time.Second)) {
		t.Error("they stay cold")
	}
}

// Guards against another crash of a server that restarted while it was cut off from the
// store: only its connections and answers show the restart, not its entry.
func TestServerMayBeColdAfterBrokenConnections(t *testing.T) {
	cold := newColdServers(coldSettings(), noPeers{})
	view, now := coldState(0).View(), boottime.Now()
	cold.markCold("i-1", 0) // an answer without a cold time
	if isCold(cold, view, "i-1", now) {
		t.Error("cold without any sign of it")
	}
	cold.assumeRestart(view, view.Backends["i-1"])
	cold.assumeRestart(view, view.Backends["i-3"])
	if !isCold(cold, view, "i-1", boottime.Now()) || isCold(cold, view, "i-3", boottime.Now()) {
		t.Error("after failed connections a server is not cold, or one of a service without a rate for cold servers is")
	}
	cold.markCold("i-2", time.Second)
	if !isCold(cold, view, "i-2", boottime.Now()) {
		t.Error("a server that reports in an answer that it is cold counts as warm")
	}
}

// setBackend applies a new entry of one backend server.
func setBackend(state *knowledge.State, backend knowledge.Backend, revision uint64) {
	backend.Position = knowledge.Position{Revision: revision}
	state.ApplyBackendChanges([]knowledge.BackendChange{{ID: backend.ID, Entry: &backend}}, backend.Position)
}
