package fairshare

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/settings"
)

const (
	testLargest  = 500 // largest cost of a request
	testSlots    = 3   // of each agent
	testPace     = 100 // units that a slot gives in a step
	testUnserved = 12  // steps for which waiting work may go unserved
)

// testFleet is a few agents with one home. Requests take one step for every
// testPace units; reports and their replies may be lost, late or doubled.
type testFleet struct {
	config  Config
	home    *Home
	agents  []*Clocks
	names   []fleet.Account
	weights map[fleet.Account]float64
	running [][]*modelRequest // by agent
	service map[fleet.Account]float64
	now     time.Time
	nextID  int
}

func newTestFleet(t *rapid.T, share settings.SharePolicy, agents int) *testFleet {
	f := &testFleet{
		config:  Config{Share: share, Window: 2000, ReportInterval: time.Second},
		weights: make(map[fleet.Account]float64),
		service: make(map[fleet.Account]float64),
		now:     modelStart,
	}
	for i := range rapid.IntRange(2, 5).Draw(t, "accounts") {
		name := fleet.Account(fmt.Sprint("a", i))
		f.names = append(f.names, name)
		f.weights[name] = float64(rapid.IntRange(1, 4).Draw(t, "weight"))
	}
	f.home = NewHome(f.config, func(name fleet.Account) float64 { return f.weights[name] })
	for i := range agents {
		clocks := NewClocks(f.config)
		clocks.SetSeed(uint64(i))
		for _, name := range f.names {
			clocks.SetWeight(name, f.weights[name])
			clocks.Offered(name, true)
		}
		f.agents = append(f.agents, clocks)
		f.running = append(f.running, nil)
	}
	return f
}

// step runs every agent for one step and fills its slots, and reports.
func (f *testFleet) step(t *rapid.T, candidates []fleet.Account) {
	f.now = f.now.Add(time.Second / 2)
	for i, clocks := range f.agents {
		f.running[i] = slices.DeleteFunc(f.running[i], func(r *modelRequest) bool { return f.serve(clocks, r) })
		for len(f.running[i]) < testSlots {
			f.begin(t, i, candidates)
		}
	}
	if f.config.Share == settings.ShareFleet {
		f.report(t)
	}
}

func (f *testFleet) serve(clocks *Clocks, r *modelRequest) bool {
	name := f.names[r.account]
	done := min(r.left, testPace)
	r.left -= done
	f.service[name] += done / f.weights[name]
	clocks.Charge(r.id, Units(done))
	if r.left > 0 {
		return false
	}
	clocks.Settle(r.id, Units(r.cost))
	return true
}

func (f *testFleet) begin(t *rapid.T, agent int, candidates []fleet.Account) {
	name, _ := f.agents[agent].Pick(candidates)
	cost := float64(rapid.IntRange(1, testLargest).Draw(t, "cost"))
	hint := Hint{Output: Units(cost * math.Pow(10, float64(rapid.IntRange(-1, 1).Draw(t, "error"))))}
	f.nextID++
	r := &modelRequest{id: request(f.nextID), account: slices.Index(f.names, name), left: cost, cost: cost}
	f.agents[agent].Begin(r.id, name, hint)
	f.running[agent] = append(f.running[agent], r)
}

// report loses every fourth exchange or so, and doubles as many.
func (f *testFleet) report(t *rapid.T) {
	id := HomeID{Address: "10.0.0.1:1", Incarnation: 1}
	for i, clocks := range f.agents {
		clocks.Advance(f.now)
		report := clocks.Charges(id.Address, func(fleet.Account) bool { return true })
		report.Agent, report.Incarnation = fleet.Address(fmt.Sprint("agent-", i)), 1
		switch rapid.IntRange(0, 7).Draw(t, "fate") {
		case 0, 1: // the report is lost
		case 2: // its reply is lost
			f.home.Take(f.now, report)
		case 3: // it comes twice
			f.home.Take(f.now, report)
			clocks.Learn(id, report.Sequence, f.home.Take(f.now, report))
		default:
			clocks.Learn(id, report.Sequence, f.home.Take(f.now, report))
		}
	}
}

// spread is the largest difference of service per weight.
func (f *testFleet) spread(names []fleet.Account) float64 {
	least, most := math.Inf(1), math.Inf(-1)
	for _, name := range names {
		least, most = min(least, f.service[name]), max(most, f.service[name])
	}
	return most - least
}

// One agent that serves the smallest clock lets no backlogged account get
// ahead of another by more than what its slots hold at a time, whatever comes.
func TestGapIsBoundedAtOneAgent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newTestFleet(t, settings.ShareAgentLocal, 1)
		for range 200 {
			f.step(t, f.names)
			if gap, bound := f.spread(f.names), float64(testSlots+1)*testLargest; gap > bound {
				t.Fatalf("gap %.0f, bound %.0f", gap, bound)
			}
		}
	})
}

// The bound of the whole fleet, what all its slots hold at a time, holds for
// as long as the run lasts: it does not grow with the service given, though
// reports are lost and doubled.
func TestGapIsBoundedInTheFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newTestFleet(t, settings.ShareFleet, 3)
		bound := float64(len(f.agents)*(testSlots+1)) * testLargest
		for range 150 {
			f.step(t, f.names)
			if gap := f.spread(f.names); gap > bound {
				t.Fatalf("gap %.0f, bound %.0f, service %v", gap, bound, f.service)
			}
		}
	})
}

// Symptom: an account with waiting work is not served while another floods.
// Sequence: one account's work is at every agent, the other's at one only.
// Cause it guards against: a clock that the flood's totals push ahead for good.
func TestFloodStarvesNobody(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newTestFleet(t, settings.ShareFleet, 3)
		flood, small := f.names[0], f.names[1]
		unserved := 0
		for range 100 {
			before := f.service[small]
			f.step(t, []fleet.Account{flood, small})
			unserved++
			if f.service[small] > before {
				unserved = 0
			}
			if unserved > testUnserved {
				t.Fatalf("an account with waiting work went unserved for %d steps", unserved)
			}
		}
	})
}

// Reports of any agents and incarnations give the same sums in any order, and
// however often they come, once the newest of each account has come.
func TestReportsCommute(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := Config{ReportInterval: time.Second}
		weight := func(fleet.Account) float64 { return 1 }
		var reports []Report
		for sequence := uint64(1); sequence <= 6; sequence++ {
			for agent := range 2 {
				charge := Charge{
					Account:  fleet.Account(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "account")),
					Total:    Units(sequence) * 10,
					InFlight: Units(rapid.IntRange(0, 5).Draw(t, "in flight")),
					Waiting:  rapid.Bool().Draw(t, "waiting"),
				}
				reports = append(reports, Report{
					Agent:       fleet.Address(fmt.Sprint("agent-", agent)),
					Incarnation: 1 + sequence/4,
					Sequence:    sequence,
					Charges:     []Charge{charge},
				})
			}
		}
		ordered := NewHome(config, weight)
		for _, report := range reports {
			ordered.Take(modelStart, report)
		}
		shuffled := NewHome(config, weight)
		again := rapid.SliceOfN(rapid.SampledFrom(reports), 0, 10).Draw(t, "doubled")
		for _, report := range rapid.Permutation(append(reports, again...)).Draw(t, "order") {
			shuffled.Take(modelStart, report)
		}
		for name, want := range ordered.rows {
			got := shuffled.rows[name]
			if got.given != want.given || got.inFlight != want.inFlight || got.agents != want.agents {
				t.Fatalf("%s: %v %v %v, in order %v %v %v", name,
					got.given, got.inFlight, got.agents, want.given, want.inFlight, want.agents)
			}
		}
	})
}

// Symptom: after a partition or a lost home an account gets nothing for long,
// or everything. Sequence: its total jumps. Cause: a clock far from the others.
func TestClocksReturnIntoTheWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := Config{Share: settings.ShareFleet, Window: 1000, ReportInterval: time.Second}
		home := NewHome(config, func(fleet.Account) float64 { return 1 })
		charges := make([]Charge, rapid.IntRange(2, 6).Draw(t, "accounts"))
		for i := range charges {
			charges[i] = Charge{Account: fleet.Account(fmt.Sprint("a", i)), Waiting: true}
		}
		var reply Reply
		for round := range 30 {
			if round == 10 {
				charges[0].Total += Units(rapid.IntRange(0, 1_000_000).Draw(t, "jump"))
			}
			reply = home.Take(modelStart.Add(time.Duration(round)*time.Second), Report{
				Agent: "agent", Incarnation: 1, Sequence: uint64(round + 1), Charges: charges,
			})
		}
		slices.SortFunc(reply.Totals, func(a, b Total) int { return cmp.Compare(a.Clock, b.Clock) })
		for i := 1; i < len(reply.Totals); i++ {
			if apart := reply.Totals[i].Clock - reply.Totals[i-1].Clock; apart > 2*config.Window {
				t.Fatalf("neighbouring clocks are %.0f apart, window %.0f", apart, config.Window)
			}
		}
	})
}

// Whatever happens to requests, in the end no slot and no estimate is held,
// and the accounts have been charged what was used.
func TestEverySlotIsFreedInTheEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clocks := NewClocks(Config{Share: settings.ShareFleet, ReportInterval: time.Second})
		var used Units
		charged := map[int]Units{}
		for range rapid.IntRange(0, 100).Draw(t, "events") {
			n := rapid.IntRange(0, 9).Draw(t, "request")
			units := Units(rapid.IntRange(0, 100).Draw(t, "units"))
			_, running := charged[n]
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				clocks.Begin(request(n), "a", Hint{Output: units})
				charged[n] += 0
			case 1:
				if clocks.Charge(request(n), units) {
					charged[n] += units
				}
			case 2:
				if clocks.Settle(request(n), units) != running {
					t.Fatal("only a running request settles")
				}
				if running {
					used += units
				}
				delete(charged, n)
			case 3:
				if clocks.Abandon(request(n)) {
					used += charged[n]
				}
				delete(charged, n)
			case 4:
				clocks.Advance(modelStart.Add(time.Duration(units) * time.Second))
			}
			var pending Units
			for _, r := range clocks.runs {
				pending += r.pending
			}
			if math.Abs(float64(pending-clocks.ensure("a").inFlight)) > 1e-6 {
				t.Fatalf("in flight %v, of the running requests %v", clocks.ensure("a").inFlight, pending)
			}
		}
		for n, units := range charged {
			clocks.Abandon(request(n))
			used += units
		}
		a := clocks.ensure("a")
		if clocks.Running() != 0 || a.running != 0 || a.inFlight != 0 || math.Abs(float64(a.own()-used)) > 1e-6 {
			t.Fatalf("running %d, in flight %v, charged %v, used %v", clocks.Running(), a.inFlight, a.own(), used)
		}
	})
}
