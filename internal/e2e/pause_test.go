package e2e

import (
	"regexp"
	"syscall"
	"testing"

	"github.com/samber/lo"

	"github.com/bluebellchute/bluebellchute/internal/engine"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// No call may run twice, or be reported as not run although it ran, when an agent
// is suspended until its leases have expired and its calls have been abandoned or
// dispatched elsewhere. The agent resumes without knowing that time has passed:
// its grants have to be refused by number, and calls that were fenced or
// abandoned must not run.
func TestAgentPausedBeyondLease(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterConfig{routers: 1, agents: 2, slots: 1, lease: "100ms"})
	const calls = 12
	pending := make([]<-chan answer, 0, calls)
	for range calls {
		pending = append(pending, startCall(c.routers[0], call{tokens: shortAnswer}))
	}
	index := c.awaitRun(t)
	c.agents[index].signal(syscall.SIGSTOP)
	// The router sends a first fence after the silence timeout, which is longer
	// than the lease, and a second one when the first got no reply.
	eventually(t, "a call is fenced twice, or all are answered", func() bool {
		answered := lo.EveryBy(pending, func(done <-chan answer) bool { return len(done) > 0 })
		return answered || fencedTwice(c.routers[0].output.String())
	})
	c.agents[index].signal(syscall.SIGCONT)
	answers := lo.Map(pending, func(done <-chan answer, _ int) answer { return <-done })
	c.awaitAgents(t, c.routers[0])
	c.checkRuns(t, answers, call{tokens: shortAnswer})
}

// fenceRecord matches a log record of a fence and captures its request.
var fenceRecord = regexp.MustCompile(`"event":2003,.*"request":"([^"]+)"`)

// fencedTwice reports whether a log has two fences of one request.
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

// checkRuns compares the answers of callers with the runs at the backends.
func (c *cluster) checkRuns(t *testing.T, answers []answer, sent call) {
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
			t.Errorf("%s ran, but was reported to its caller as not run", got.request)
		case got.outcome == fleet.OutcomeCompleted:
			if err := got.checkComplete(sent); err != nil {
				t.Errorf("%s: %v", got.request, err)
			}
		case got.outcome == "":
			t.Errorf("an answer without an outcome: status %d, %v", got.status, got.err)
		}
	}
}
