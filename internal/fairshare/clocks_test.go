package fairshare

import (
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/settings"
)

// request returns the id of the n-th request of a test.
func request(n int) fleet.RequestID {
	var id uuid.UUID
	id[14], id[15] = byte(n>>8), byte(n)
	id[13] = byte(n >> 16)
	return id
}

func TestPickServesTheAccountWithTheSmallestClock(t *testing.T) {
	clocks := NewClocks(Config{Share: settings.ShareAgentLocal})
	clocks.SetWeight("large", 3)
	clocks.SetWeight("small", 1)
	served := map[fleet.Account]int{}
	for n := range 400 {
		account, _ := clocks.Pick([]fleet.Account{"large", "small"})
		clocks.Begin(request(n), account, Hint{Output: 10})
		clocks.Settle(request(n), 10)
		served[account]++
	}
	if served["large"] != 300 || served["small"] != 100 {
		t.Fatalf("served %v, want 300 and 100", served)
	}
}

func TestHomeAddsUpAllAgents(t *testing.T) {
	config := Config{Share: settings.ShareFleet, ReportInterval: time.Second}
	now := time.Unix(1_700_000_000, 0)
	home := NewHome(config, func(fleet.Account) float64 { return 1 })
	everything := func(fleet.Account) bool { return true }
	id := HomeID{Address: "10.0.0.1:1", Incarnation: 1}
	agents := []*Clocks{NewClocks(config), NewClocks(config)}
	for n, agent := range agents {
		agent.Begin(request(n), "a", Hint{Output: 100})
		agent.Charge(request(n), 40)
	}
	for round := range 2 {
		for n, agent := range agents {
			report := agent.Charges(id.Address, everything)
			report.Agent, report.Incarnation = fleet.Address(rune('a'+n)), 1
			agent.Learn(id, report.Sequence, home.Take(now.Add(time.Duration(round)*time.Second), report))
		}
	}
	for n, agent := range agents {
		if got := agent.Clock("a"); got != 200 {
			t.Errorf("agent %d: clock %v, want 200", n, got)
		}
	}
}

// Symptom: every account is lifted again and again, and nothing tells them
// apart. Sequence: estimates were far too high, so that the virtual time rose
// and fell again when the costs were settled; an agent still reports the old
// one. Cause: a home that answers with what the agents told it.
func TestHomeAnswersWithItsOwnVirtualTime(t *testing.T) {
	home := NewHome(Config{Share: settings.ShareFleet, ReportInterval: time.Second}, func(fleet.Account) float64 { return 1 })
	charge := Charge{Account: "a", Total: 100, Waiting: true}
	for sequence := range uint64(3) {
		report := Report{Agent: "agent", Incarnation: 1, Sequence: sequence + 1, VirtualTime: Units(9000 * sequence), Charges: []Charge{charge}}
		reply := home.Take(modelStart, report)
		if reply.VirtualTime > reply.Totals[0].Clock {
			t.Fatalf("virtual time %v, the only clock is %v", reply.VirtualTime, reply.Totals[0].Clock)
		}
	}
}
