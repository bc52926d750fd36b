package e2e

import (
	"syscall"
	"testing"
)

// callsAtOnce is more than the slots of the cluster, so that calls wait too.
const callsAtOnce = 12

// Symptom: callers see broken answers whenever a process is replaced.
// Sequence: calls run and wait; an agent or a router gets SIGTERM.
// Cause: a process that ends with work in progress cuts it.
func TestDrainUnderLoad(t *testing.T) {
	t.Parallel()
	for _, victim := range []string{"agent", "router"} {
		t.Run(victim, func(t *testing.T) {
			c := startCluster(t, shape{routers: 1, agents: 2, slots: 2})
			made := call{tokens: shortAnswer}
			var pending []<-chan answer
			for range callsAtOnce {
				pending = append(pending, startCall(c.routers[0], made))
			}
			c.awaitInProgress(t, callsAtOnce)
			drained := c.routers[0]
			if victim == "agent" {
				drained = c.agents[c.awaitRun(t)]
			}
			drained.signal(syscall.SIGTERM)
			for _, done := range pending {
				got := <-done
				if err := got.whole(made); err != nil {
					t.Errorf("%s: %v", got.request, err)
				}
			}
			drained.waitForExit(t)
		})
	}
}
