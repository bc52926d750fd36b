package gate

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
)

// Guards against an answer that does not announce that its connection will be closed: the
// caller's next request would be lost.
func TestAnswerWhileDrainingTellsTheClose(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	g := startDrainingGate(t, 15*time.Second, func(http.ResponseWriter, *http.Request) { <-release })
	answered := g.startRequest(t, "/whole/x")
	g.stop()
	close(release)
	if response := <-answered; response != nil && !response.Close {
		t.Error("the answer does not announce that the connection is closed")
	}
}

// Guards against giving up a request when a backend server resets its connection during
// draining, though it was accepted before, may be repeated, and has time left.
func TestRequestTakenBeforeDrainingIsRepeated(t *testing.T) {
	t.Parallel()
	broken := make(chan struct{})
	var g *drainingGate
	serve := func(w http.ResponseWriter, _ *http.Request) {
		if g.arrived.Load() == 1 {
			<-broken
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, "whole")
	}
	g = startDrainingGate(t, 15*time.Second, serve)
	g.addRepeatingRoute()
	answered := g.startRequest(t, "/again/x")
	g.stop()
	close(broken)
	if response := <-answered; response != nil && response.StatusCode != http.StatusOK {
		t.Errorf("status %d, want the answer of the second backend server", response.StatusCode)
	}
}

// addRepeatingRoute adds a route at /again/ whose requests may be repeated, and a second
// backend server at the address of the first.
func (g *drainingGate) addRepeatingRoute() {
	now, state := boottime.Now(), g.options.State
	var address fleet.Address
	for _, backend := range state.View().Backends {
		address = backend.Address
	}
	state.SetConfiguration(&knowledge.Configuration{Version: 2, Limits: defaultLimits, Routes: []knowledge.Route{{
		Name: "again", PathPrefix: "/again/", Host: "h", Public: true, Repeat: knowledge.RepeatAlways, MaxAttempts: 3,
		Timeout: 15 * time.Second, Destinations: []knowledge.Destination{{Service: "s", Weight: 1}},
	}}}, now)
	state.SetBackends([]knowledge.Backend{
		{ID: "i", Service: "s", Address: address, Slots: 8},
		{ID: "j", Service: "s", Address: address, Slots: 8},
	}, knowledge.Position{Revision: 2}, now)
	settings := *g.handler.settings.get()
	settings.Budget = RetryBudgetSettings{Window: time.Minute, Extra: 10}
	g.ApplyConfig(settings)
}
