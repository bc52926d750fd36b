package spread

import (
	"testing"
	"time"

	"github.com/samber/lo"

	"github.com/bluebellchute/bluebellchute/internal/platform"
)

const (
	matrixNodes = 18
	// spreadLimit is the maximum time until an accepted edit is in force
	// everywhere.
	spreadLimit = 4 * time.Second
	// recoveryLimit is the maximum time after a fault until all nodes agree
	// again.
	recoveryLimit = 20 * time.Second
	faultDuration = 15 * time.Second
)

// matrixFault is one fault: how it begins and ends, and which nodes are
// reachable while it lasts. The victim is the node that a fault of a single
// node affects; it is one of those that have not received the edit yet.
type matrixFault struct {
	begin     func(s *simulation, victim *simNode)
	end       func(s *simulation, victim *simNode)
	reachable func(s *simulation, victim *simNode) []*simNode
}

func allNodes(s *simulation, _ *simNode) []*simNode { return s.nodes }

func allExcept(s *simulation, victim *simNode) []*simNode { return lo.Without(s.nodes, victim) }

func noNodes(*simulation, *simNode) []*simNode { return nil }

func platformFaults(faults platform.Faults) func(*simulation, *simNode) {
	return func(s *simulation, _ *simNode) { s.store.SetFaults(faults) }
}

var matrixFaults = map[string]matrixFault{
	"platform_down": {platformFaults(platform.Faults{Down: true}), platformFaults(platform.Faults{}), allNodes},
	"slow": {
		func(s *simulation, _ *simNode) { s.platformSlowdown = 2 * time.Second },
		func(s *simulation, _ *simNode) { s.platformSlowdown = 0 },
		allNodes,
	},
	"reply_lost": {
		func(s *simulation, _ *simNode) { s.repliesToLose = 3 },
		func(s *simulation, _ *simNode) { s.repliesToLose = 0 },
		allNodes,
	},
	"stale_read": {
		func(s *simulation, _ *simNode) { s.api = s.beforeEdit },
		func(s *simulation, _ *simNode) { s.api = s.store },
		allNodes,
	},
	"partition_and_rejoin": {
		func(s *simulation, _ *simNode) {
			for i, node := range s.nodes {
				node.partition = i % 2
			}
		},
		func(s *simulation, _ *simNode) {
			for _, node := range s.nodes {
				node.partition = 0
			}
		},
		noNodes,
	},
	"cold_restart": {
		func(s *simulation, victim *simNode) { s.start(victim) },
		func(*simulation, *simNode) {},
		allNodes,
	},
	"node_paused": {
		func(_ *simulation, victim *simNode) { victim.paused = true },
		func(_ *simulation, victim *simNode) { victim.paused = false },
		allExcept,
	},
}

// matrixStep is one step of a settings change: how to get there, and whether
// the fleet still needs the platform from there on.
type matrixStep struct {
	advance       func(t *testing.T, s *simulation)
	needsPlatform bool
	after         func(s *simulation, victim *simNode) // action once the fault has begun
}

func noAction(*simulation, *simNode) {}

var matrixSteps = map[string]matrixStep{
	// The edit is accepted, and no watch has returned yet.
	"watch": {func(_ *testing.T, s *simulation) { s.edit() }, true, noAction},
	// One node has the revision and has not pushed it yet.
	"spread": {func(t *testing.T, s *simulation) {
		s.edit()
		runUntilSome(t, s, func(node *simNode) bool { return node.replica.Revision() == s.accepted() })
	}, false, noAction},
	// The first deltas are in transit.
	"apply": {func(t *testing.T, s *simulation) {
		s.edit()
		runUntilSome(t, s, func(node *simNode) bool { return node.sentDeltas > 0 })
	}, false, noAction},
	// All nodes have the revision; the victim restarts without any state.
	"restart": {func(t *testing.T, s *simulation) {
		s.edit()
		if !s.run(spreadLimit, func() bool { return s.converged(s.nodes...) }) {
			t.Fatal("the nodes did not agree before the restart")
		}
	}, false, func(s *simulation, victim *simNode) { s.start(victim) }},
}

// runUntilSome runs the simulation until at least one node fulfils the
// condition.
func runUntilSome(t *testing.T, s *simulation, condition func(*simNode) bool) {
	t.Helper()
	if !s.run(spreadLimit, func() bool { return lo.SomeBy(s.nodes, condition) }) {
		t.Fatal("the step was not reached")
	}
}

// TestSettingsMatrix guards against a node that keeps old settings, or goes
// back to them, because an update or its source is lost while the node needs
// it. It combines each step of a settings change with each fault.
//
// A node must never go back. While the fault lasts, reachable nodes must agree
// within spreadLimit where the step needs no platform; after it, all nodes must
// agree.
func TestSettingsMatrix(t *testing.T) {
	for step, at := range matrixSteps {
		for name, fault := range matrixFaults {
			t.Run(step+"/"+name, func(t *testing.T) { runCell(t, at, fault) })
		}
	}
}

func runCell(t *testing.T, step matrixStep, fault matrixFault) {
	s := newSimulation(7, matrixNodes)
	s.edit()
	if !s.run(recoveryLimit, func() bool { return s.converged(s.nodes...) }) {
		t.Fatal("the fleet did not start")
	}
	victim := s.nodes[matrixNodes-1]
	step.advance(t, s)
	fault.begin(s, victim)
	step.after(s, victim)
	if !step.needsPlatform {
		reached := fault.reachable(s, victim)
		if !s.run(spreadLimit, func() bool { return s.converged(reached...) }) {
			t.Errorf("the nodes did not agree during the fault: %s", s.describe())
		}
	}
	s.sleep(faultDuration)
	fault.end(s, victim)
	if !s.run(recoveryLimit, func() bool { return s.converged(s.nodes...) }) {
		t.Errorf("the nodes did not agree after the fault: %s", s.describe())
	}
	if s.regression != "" {
		t.Error(s.regression)
	}
}
