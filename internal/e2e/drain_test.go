package e2e

import (
	"syscall"
	"testing"
)

// concurrentCalls exceeds the slots of the cluster, so that some calls wait.
const concurrentCalls = 12

// Each call that runs or waits when an agent or a router receives SIGTERM must
// get its complete answer. A process that exits without draining would abort the
// calls in progress.
func TestDrainUnderLoad(t *testing.T) {
	t.Parallel()
	for _, victim := range []string{"agent", "router"} {
		t.Run(victim, func(t *testing.T) {
			c := startCluster(t, clusterConfig{routers: 1, agents: 2, slots: 2})
			sent := call{tokens: shortAnswer}
			var pending []<-chan answer
			for range concurrentCalls {
				pending = append(pending, startCall(c.routers[0], sent))
			}
			c.awaitInProgress(t, concurrentCalls)
			drained := c.routers[0]
			if victim == "agent" {
				drained = c.agents[c.awaitRun(t)]
			}
			drained.signal(syscall.SIGTERM)
			for _, done := range pending {
				got := <-done
				if err := got.checkComplete(sent); err != nil {
					t.Errorf("%s: %v", got.request, err)
				}
			}
			drained.waitForExit(t)
		})
	}
}
