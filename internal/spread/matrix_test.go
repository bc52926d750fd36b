package spread

import (
	"testing"
	"time"

	"github.com/samber/lo"

	"github.com/bluebellchute/bluebellchute/internal/platform"
)

const (
	matrixNodes = 18
	// spreadGoal is the time in which an accepted edit is in force everywhere.
	spreadGoal = 4 * time.Second
	// healGoal is the time after a fault in which all nodes are level again.
	healGoal  = 20 * time.Second
	faultTime = 15 * time.Second
)

// matrixFault is one fault: how it begins and ends, and which nodes can still
// be reached while it lasts. The victim is the node that a fault of a single
// node strikes; it is one of those that have not heard of the edit yet.
type matrixFault struct {
	begin   func(s *simulation, victim *simNode)
	end     func(s *simulation, victim *simNode)
	reached func(s *simulation, victim *simNode) []*simNode
}

func allNodes(s *simulation, _ *simNode) []*simNode { return s.nodes }

func othersThan(s *simulation, victim *simNode) []*simNode { return lo.Without(s.nodes, victim) }

func noNodes(*simulation, *simNode) []*simNode { return nil }

func platformFaults(faults platform.Faults) func(*simulation, *simNode) {
	return func(s *simulation, _ *simNode) { s.store.SetFaults(faults) }
}

var matrixFaults = map[string]matrixFault{
	"platform_down": {platformFaults(platform.Faults{Down: true}), platformFaults(platform.Faults{}), allNodes},
	"slow": {
		func(s *simulation, _ *simNode) { s.slow = 2 * time.Second },
		func(s *simulation, _ *simNode) { s.slow = 0 },
		allNodes,
	},
	"reply_lost": {
		func(s *simulation, _ *simNode) { s.loseNext = 3 },
		func(s *simulation, _ *simNode) { s.loseNext = 0 },
		allNodes,
	},
	"stale_read": {
		func(s *simulation, _ *simNode) { s.api = s.before },
		func(s *simulation, _ *simNode) { s.api = s.store },
		allNodes,
	},
	"partition_and_rejoin": {
		func(s *simulation, _ *simNode) {
			for i, node := range s.nodes {
				node.half = i % 2
			}
		},
		func(s *simulation, _ *simNode) {
			for _, node := range s.nodes {
				node.half = 0
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
		othersThan,
	},
}

// matrixStep is one step of a settings change: what happens up to it, and
// whether the fleet can do without the platform from there on.
type matrixStep struct {
	reach         func(t *testing.T, s *simulation)
	needsPlatform bool
	after         func(s *simulation, victim *simNode) // once the fault has begun
}

func nothing(*simulation, *simNode) {}

var matrixSteps = map[string]matrixStep{
	// The edit is accepted, and no watch has returned yet.
	"watch": {func(_ *testing.T, s *simulation) { s.edit() }, true, nothing},
	// One node has the revision, and has told nobody yet.
	"spread": {func(t *testing.T, s *simulation) {
		s.edit()
		until(t, s, func(node *simNode) bool { return node.replica.Revision() == s.accepted() })
	}, false, nothing},
	// Deltas are under way to the first peers.
	"apply": {func(t *testing.T, s *simulation) {
		s.edit()
		until(t, s, func(node *simNode) bool { return node.deltas > 0 })
	}, false, nothing},
	// All have the revision; the victim restarts with nothing.
	"restart": {func(t *testing.T, s *simulation) {
		s.edit()
		if !s.run(spreadGoal, func() bool { return s.level(s.nodes...) }) {
			t.Fatal("not level before the restart")
		}
	}, false, func(s *simulation, victim *simNode) { s.start(victim) }},
}

// until runs until one node, but not yet all, fulfils the condition.
func until(t *testing.T, s *simulation, condition func(*simNode) bool) {
	t.Helper()
	if !s.run(spreadGoal, func() bool { return lo.SomeBy(s.nodes, condition) }) {
		t.Fatal("the step was not reached")
	}
}

// TestSettingsMatrix strikes each step of a change of the settings with each
// fault.
// Symptom: a node keeps old settings, or goes back to them.
// Sequence: an edit is accepted; the fault begins at the step; for a while the
// fleet must do without what the fault took; the fault ends.
// Cause: news or its source is gone at the moment at which a node needs it.
// A node must never go back, those that can be reached must be level within
// the goal where the step needs no platform, and all must be in the end.
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
	if !s.run(healGoal, func() bool { return s.level(s.nodes...) }) {
		t.Fatal("the fleet did not come up")
	}
	victim := s.nodes[matrixNodes-1]
	step.reach(t, s)
	fault.begin(s, victim)
	step.after(s, victim)
	if !step.needsPlatform {
		reached := fault.reached(s, victim)
		if !s.run(spreadGoal, func() bool { return s.level(reached...) }) {
			t.Errorf("not level during the fault: %s", s.describe())
		}
	}
	s.sleep(faultTime)
	fault.end(s, victim)
	if !s.run(healGoal, func() bool { return s.level(s.nodes...) }) {
		t.Errorf("not level after the fault: %s", s.describe())
	}
	if s.fell != "" {
		t.Error(s.fell)
	}
}
