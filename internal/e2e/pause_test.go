package e2e

import (
	"regexp"
	"syscall"
	"testing"

	"github.com/samber/lo"

	"github.com/bluebellchute/bluebellchute/internal/engine"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// Symptom: a call runs twice, or is said not to have run although it did.
// Sequence: an agent with one slot grants it and is stopped; its leases lapse
// and its calls are given up or go elsewhere; the agent wakes and goes on
// where it stood.
// Cause: a paused process doesn't know that time has passed. Its grants must
// be refused by number, and what was fenced or given up must not run.
func TestAgentPausedPastItsGrant(t *testing.T) {
	t.Parallel()
	c := startCluster(t, shape{routers: 1, agents: 2, slots: 1, lease: "100ms"})
	const calls = 12
	pending := make([]<-chan answer, 0, calls)
	for range calls {
		pending = append(pending, startCall(c.routers[0], call{tokens: shortAnswer}))
	}
	at := c.awaitRun(t)
	c.agents[at].signal(syscall.SIGSTOP)
	// A second fence comes after a first one that got no reply, and that one
	// after the silence timeout, which is longer than the lease.
	eventually(t, "a call is fenced twice, or all are answered", func() bool {
		answered := lo.EveryBy(pending, func(done <-chan answer) bool { return len(done) > 0 })
		return answered || fencedTwice(c.routers[0].output.String())
	})
	c.agents[at].signal(syscall.SIGCONT)
	answers := lo.Map(pending, func(done <-chan answer, _ int) answer { return <-done })
	c.awaitAgents(t, c.routers[0])
	c.checkRuns(t, answers, call{tokens: shortAnswer})
}

// fenceRecord finds the request in the router's record of a fence.
var fenceRecord = regexp.MustCompile(`"event":2003,.*"request":"([^"]+)"`)

// fencedTwice tells whether a log has two fences of one request.
func fencedTwice(log string) bool {
	fences := make(map[string]int)
	for _, match := range fenceRecord.FindAllStringSubmatch(log, -1) {
		fences[match[1]]++
		if fences[match[1]] > 1 {
			return true
		}
	}
	return false
}

// checkRuns compares what callers were told with what the backends did.
func (c *cluster) checkRuns(t *testing.T, answers []answer, made call) {
	t.Helper()
	runs := make(map[string][]engine.Run)
	for _, b := range c.backends {
		for id, more := range b.runs(t) {
			runs[id] = append(runs[id], more...)
		}
	}
	for _, got := range answers {
		n := len(runs[got.request])
		switch {
		case n > 1:
			t.Errorf("%s ran %d times: %+v", got.request, n, runs[got.request])
		case got.outcome == fleet.OutcomeNotRun && n != 0:
			t.Errorf("%s ran, its caller was told that it did not", got.request)
		case got.outcome == fleet.OutcomeCompleted:
			if err := got.whole(made); err != nil {
				t.Errorf("%s: %v", got.request, err)
			}
		case got.outcome == "":
			t.Errorf("an answer without an outcome: status %d, %v", got.status, got.err)
		}
	}
}
