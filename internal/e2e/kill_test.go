package e2e

import (
	"net/http"
	"testing"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// longAnswer and shortAnswer are numbers of tokens: about a second and a
// tenth of one at the engines' step.
const (
	longAnswer  = 500
	shortAnswer = 50
)

// Symptom: a caller gets no answer, half an answer as if it were whole, or a
// second run of a call that must not be repeated.
// Sequence: an answer is being made; the agent or the engine dies.
// Cause: with the agent the record of the run is lost, with the engine the run
// itself; only a call that may be repeated can be run elsewhere.
func TestKilledMidAnswer(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name string
		call call
		// completes tells whether the call is answered in spite of the kill.
		completes bool
	}{
		{"idempotent", call{tokens: longAnswer, idempotent: true}, true},
		{"not idempotent", call{tokens: longAnswer}, false},
		{"stream", call{tokens: longAnswer, idempotent: true, stream: true}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			for _, victim := range []string{"agent", "engine"} {
				t.Run(victim, func(t *testing.T) {
					c := startCluster(t, shape{routers: 1, agents: 2})
					done := startCall(c.routers[0], test.call)
					at := c.awaitRun(t)
					if victim == "agent" {
						c.agents[at].kill()
					} else {
						c.backends[at].kill()
					}
					checkBroken(t, test.call, <-done, test.completes)
					if !test.call.idempotent {
						c.wantNoRun(t, 1-at)
					}
				})
			}
		})
	}
}

// checkBroken checks an answer whose first run was broken.
func checkBroken(t *testing.T, c call, got answer, completes bool) {
	t.Helper()
	err := got.whole(c)
	switch {
	case completes && err != nil:
		t.Errorf("no whole answer: %v", err)
	case completes:
	case err == nil:
		t.Error("a whole answer, though the run was broken")
	case c.stream && (got.done || got.err == nil):
		t.Errorf("a broken stream with a clean end: %v", err)
	case !c.stream && got.outcome != fleet.OutcomeUnknown:
		t.Errorf("status %d with outcome %q (%v), want unknown", got.status, got.outcome, got.err)
	case !c.stream && got.status != http.StatusBadGateway && got.status != http.StatusGatewayTimeout:
		t.Errorf("status %d, want 502 or 504", got.status)
	}
}

// awaitRun waits until a backend is in the middle of an answer and returns its
// index.
func (c *cluster) awaitRun(t *testing.T) int {
	t.Helper()
	at := -1
	eventually(t, "an answer is being made", func() bool {
		at = c.running(t)
		return at >= 0
	})
	return at
}

// wantNoRun checks that the backend has run nothing but the short calls of
// the start.
func (c *cluster) wantNoRun(t *testing.T, at int) {
	t.Helper()
	for id, runs := range c.backends[at].runs(t) {
		for _, run := range runs {
			if run.Tokens > 1 {
				t.Errorf("%s was run again", id)
			}
		}
	}
}
