package e2e

import (
	"net/http"
	"testing"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// longAnswer and shortAnswer are numbers of tokens that take the engines about a
// second and a tenth of a second.
const (
	longAnswer  = 500
	shortAnswer = 50
)

// When the agent or the engine is killed during an answer, the caller must not get
// a truncated answer as a complete one, and a call that is not idempotent must not
// run again. The agent's death loses the record of the run, the engine's the run
// itself; only an idempotent call can be run elsewhere.
func TestProcessKilledDuringAnswer(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name string
		call call
		// completes is whether the call is answered in spite of the kill.
		completes bool
	}{
		{"idempotent", call{tokens: longAnswer, idempotent: true}, true},
		{"not idempotent", call{tokens: longAnswer}, false},
		{"stream", call{tokens: longAnswer, idempotent: true, stream: true}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			for _, victim := range []string{"agent", "engine"} {
				t.Run(victim, func(t *testing.T) {
					c := startCluster(t, clusterConfig{routers: 1, agents: 2})
					done := startCall(c.routers[0], test.call)
					index := c.awaitRun(t)
					if victim == "agent" {
						c.agents[index].kill()
					} else {
						c.backends[index].kill()
					}
					checkInterrupted(t, test.call, <-done, test.completes)
					if !test.call.idempotent {
						c.checkNoLongRun(t, 1-index)
					}
				})
			}
		})
	}
}

// checkInterrupted checks the answer to a call whose first run was interrupted.
func checkInterrupted(t *testing.T, c call, got answer, completes bool) {
	t.Helper()
	err := got.checkComplete(c)
	switch {
	case completes && err != nil:
		t.Errorf("the answer is not complete: %v", err)
	case completes:
	case err == nil:
		t.Error("the answer is complete although the run was interrupted")
	case c.stream && (got.ended || got.err == nil):
		t.Errorf("an interrupted stream with a clean end: %v", err)
	case !c.stream && got.outcome != fleet.OutcomeUnknown:
		t.Errorf("status %d with outcome %q (%v), want unknown", got.status, got.outcome, got.err)
	case !c.stream && got.status != http.StatusBadGateway && got.status != http.StatusGatewayTimeout:
		t.Errorf("status %d, want 502 or 504", got.status)
	}
}

// awaitRun waits until a backend is producing an answer and returns its index.
func (c *cluster) awaitRun(t *testing.T) int {
	t.Helper()
	index := -1
	eventually(t, "a backend is producing an answer", func() bool {
		index = c.findRunning(t)
		return index >= 0
	})
	return index
}

// checkNoLongRun checks that the backend has run nothing but the short calls made
// while the cluster started.
func (c *cluster) checkNoLongRun(t *testing.T, index int) {
	t.Helper()
	for id, runs := range c.backends[index].runs(t) {
		for _, run := range runs {
			if run.Tokens > 1 {
				t.Errorf("%s was run again", id)
			}
		}
	}
}
