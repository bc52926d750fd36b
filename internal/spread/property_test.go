package spread

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bluebellchute/bluebellchute/internal/platform"
)

// TestMain fixes the seed of the property tests, so that each run gives the
// same result.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}

// TestRevisionsNeverFall draws any interleaving of edits and faults. The
// settings in force at a node must never go back while it runs, and once all
// faults end, all nodes must have the last accepted settings and the complete
// list of nodes.
func TestRevisionsNeverFall(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(3, 7).Draw(t, "nodes"))
		drawNode := func(t *rapid.T) *simNode { return rapid.SampledFrom(s.nodes).Draw(t, "node") }
		t.Repeat(map[string]func(*rapid.T){
			"edit": func(*rapid.T) { s.edit() },
			"run": func(t *rapid.T) {
				s.sleep(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"noise": func(t *rapid.T) {
				s.setNoise(rapid.Float64Range(0, 0.5).Draw(t, "lost"), rapid.Float64Range(0, 0.5).Draw(t, "twice"),
					time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms"))*time.Millisecond)
			},
			"partition": func(t *rapid.T) { drawNode(t).partition = rapid.IntRange(0, 1).Draw(t, "half") },
			"pause":     func(t *rapid.T) { drawNode(t).paused = rapid.Bool().Draw(t, "paused") },
			"restart": func(t *rapid.T) {
				// The revision of a node before its restart is known only to
				// its peers, which may all be unreachable; the matrix covers
				// that case.
				node := drawNode(t)
				node.highestRevision = 0
				s.start(node)
			},
			"platform": func(t *rapid.T) {
				s.store.SetFaults(platform.Faults{
					Down:  rapid.Bool().Draw(t, "down"),
					Stale: rapid.Bool().Draw(t, "stale"),
				})
				s.platformSlowdown = time.Duration(rapid.IntRange(0, 3000).Draw(t, "slow")) * time.Millisecond
				s.repliesToLose = rapid.IntRange(0, 3).Draw(t, "replies lost")
			},
			"": func(t *rapid.T) {
				if s.regression != "" {
					t.Fatal(s.regression)
				}
			},
		})
		s.clearFaults()
		if !s.run(2*recoveryLimit, func() bool { return s.converged(s.nodes...) }) {
			t.Fatalf("the nodes do not agree in the end: %s", s.describe())
		}
		if s.regression != "" {
			t.Fatal(s.regression)
		}
	})
}

// setNoise makes the network lose, duplicate, delay and thereby reorder
// messages.
func (s *simulation) setNoise(lost, duplicated float64, maxDelay time.Duration) {
	delay := func() time.Duration { return messageDelay + time.Duration(s.random.Int64N(int64(maxDelay))) }
	s.delivery = func(_, _ *simNode) delivery {
		drawn := delivery{delay: delay(), lost: s.random.Float64() < lost}
		if s.random.Float64() < duplicated {
			drawn.duplicateDelay = delay()
		}
		return drawn
	}
}

// clearFaults ends all faults.
func (s *simulation) clearFaults() {
	s.delivery = func(_, _ *simNode) delivery { return delivery{delay: messageDelay} }
	s.store.SetFaults(platform.Faults{})
	s.platformSlowdown, s.repliesToLose = 0, 0
	for _, node := range s.nodes {
		node.partition, node.paused = 0, false
	}
}
