package fairshare

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/settings"
)

// modelTable is the environment variable that turns the tables on: its value
// is the part of a table's name to print, or "all".
const modelTable = "BLUEBELL_MODEL_TABLE"

const modelSeeds = 5

// skammtur is a service like the largest of today: all accounts backlogged.
func skammtur() scenario {
	return scenario{
		share: settings.ShareFleet, servers: 20, slots: 8, accounts: 16, large: 4,
		interval: time.Second, homes: 1, window: 0, duration: 100 * time.Second, routers: 4,
	}
}

// median plays a scenario with several seeds and returns the medians.
func median(s scenario) outcome {
	outcomes := make([]outcome, modelSeeds)
	var wait sync.WaitGroup
	for seed := range outcomes {
		wait.Go(func() { outcomes[seed] = newModel(s, uint64(seed+1)).play() })
	}
	wait.Wait()
	middle := func(value func(outcome) float64) float64 {
		values := make([]float64, 0, modelSeeds)
		for _, o := range outcomes {
			values = append(values, value(o))
		}
		slices.Sort(values)
		return values[modelSeeds/2]
	}
	return outcome{
		gap:      middle(func(o outcome) float64 { return o.gap }),
		gapCut:   middle(func(o outcome) float64 { return o.gapCut }),
		gapAfter: middle(func(o outcome) float64 { return o.gapAfter }),
		shareCut: middle(func(o outcome) float64 { return o.shareCut }),
		use:      middle(func(o outcome) float64 { return o.use }),
	}
}

func with(change func(*scenario)) scenario {
	s := skammtur()
	change(&s)
	return s
}

// TestModelTables prints the tables from which the open choices were decided.
func TestModelTables(t *testing.T) {
	wanted := os.Getenv(modelTable)
	if wanted == "" {
		t.Skip("set " + modelTable + "=all to print the tables")
	}
	for _, table := range modelTables() {
		if wanted != "all" && !strings.Contains(table.name, wanted) {
			continue
		}
		var out strings.Builder
		fmt.Fprintf(&out, "\n%s\n", table.name)
		fmt.Fprintf(&out, "%-26s %7s %7s %8s %6s %8s %8s %6s %6s\n", "case", "live", "ideal", "gap", "ratio", "cut", "after", "share", "use")
		for _, s := range table.rows {
			ideal, live := s, s
			ideal.share, live.share = idealShare, liveShare
			best, got := median(ideal), median(s)
			fmt.Fprintf(&out, "%-26s %7.0f %7.0f %8.0f %6.2f %8.0f %8.0f %6.2f %6.3f\n",
				s.name, median(live).gap, best.gap, got.gap, got.gap/best.gap, got.gapCut, got.gapAfter, got.shareCut, got.use)
		}
		t.Log(out.String())
	}
}

type table struct {
	name string
	rows []scenario
}

func modelTables() []table {
	var tables []table
	reach := table{name: "policy"}
	for _, servers := range []int{0, 6, 3} {
		for _, share := range []settings.SharePolicy{settings.ShareFleet, settings.ShareAgentLocal, settings.ShareRouterLocal} {
			reach.rows = append(reach.rows, with(func(s *scenario) {
				s.name, s.share, s.reach = fmt.Sprintf("%s reach %d", share, servers), share, servers
				s.pinned = share == settings.ShareRouterLocal
			}))
		}
	}
	tables = append(tables, reach)

	interval := table{name: "interval"}
	for _, servers := range []int{0, 6, 3} {
		for _, every := range []time.Duration{250 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second} {
			interval.rows = append(interval.rows, with(func(s *scenario) {
				s.name, s.reach, s.interval = fmt.Sprintf("reach %d every %v", servers, every), servers, every
			}))
		}
	}
	tables = append(tables, interval)
	return tables
}
