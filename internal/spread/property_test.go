package spread

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bluebellchute/bluebellchute/internal/platform"
)

// TestMain fixes the seed of the drawn tests, so that each run gives the same
// verdict.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}

// TestRevisionsNeverFall draws any interleaving of edits and faults. The
// settings in force at a node never go back while it runs, and once all links
// heal, all nodes have exactly what was accepted last and the whole list.
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
				s.noise(rapid.Float64Range(0, 0.5).Draw(t, "lost"), rapid.Float64Range(0, 0.5).Draw(t, "twice"),
					time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms"))*time.Millisecond)
			},
			"partition": func(t *rapid.T) { drawNode(t).half = rapid.IntRange(0, 1).Draw(t, "half") },
			"pause":     func(t *rapid.T) { drawNode(t).paused = rapid.Bool().Draw(t, "paused") },
			"restart": func(t *rapid.T) {
				// What a node had before it restarted is known to its peers
				// only, which may all be cut off; see the matrix for the rest.
				node := drawNode(t)
				node.reached = 0
				s.start(node)
			},
			"platform": func(t *rapid.T) {
				s.store.SetFaults(platform.Faults{
					Down:  rapid.Bool().Draw(t, "down"),
					Stale: rapid.Bool().Draw(t, "stale"),
				})
				s.slow = time.Duration(rapid.IntRange(0, 3000).Draw(t, "slow")) * time.Millisecond
				s.loseNext = rapid.IntRange(0, 3).Draw(t, "replies lost")
			},
			"": func(t *rapid.T) {
				if s.fell != "" {
					t.Fatal(s.fell)
				}
			},
		})
		s.healAll()
		if !s.run(2*healGoal, func() bool { return s.level(s.nodes...) }) {
			t.Fatalf("not level in the end: %s", s.describe())
		}
		if s.fell != "" {
			t.Fatal(s.fell)
		}
	})
}

// noise loses, doubles, delays and so reorders messages from now on.
func (s *simulation) noise(lost, twice float64, most time.Duration) {
	delay := func() time.Duration { return messageDelay + time.Duration(s.random.Int64N(int64(most))) }
	s.fate = func(_, _ *simNode) fate {
		drawn := fate{delay: delay(), lost: s.random.Float64() < lost}
		if s.random.Float64() < twice {
			drawn.twice = delay()
		}
		return drawn
	}
}

// healAll ends all faults.
func (s *simulation) healAll() {
	s.fate = func(_, _ *simNode) fate { return fate{delay: messageDelay} }
	s.store.SetFaults(platform.Faults{})
	s.slow, s.loseNext = 0, 0
	for _, node := range s.nodes {
		node.half, node.paused = 0, false
	}
}
