package shares

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// grantsAtManyRouters plays routers that report to each other late, with one account at all of them
// and one at a few, each of which requests far more than the capacity. It returns what each was
// granted in the last six seconds.
func grantsAtManyRouters(routers, few int, delay time.Duration, most, tokens float64) map[fleet.Account]float64 {
	const (
		capacity = 1e6 // tokens a second
		step     = 10 * time.Millisecond
		length   = 12 * time.Second
	)
	ledgers := make([]*Ledger, routers)
	for i := range ledgers {
		ledgers[i] = NewLedger()
	}
	type report struct {
		usages []map[fleet.Account]Usage
		at     time.Duration
	}
	var reports []report
	granted := make(map[fleet.Account]float64)
	for passed := time.Duration(0); passed < length; passed += step {
		now := start.Add(passed)
		latest := report{}
		for i, ledger := range ledgers {
			request := func(account fleet.Account, share int) {
				// Each account requests five times the capacity.
				for sent := 0.0; sent < 5*capacity*step.Seconds()/float64(share); sent += tokens {
					ledger.AddRequested(account, tokens, now)
					if ledger.ShareUsed(account, tokens, capacity, now) > most {
						continue
					}
					ledger.AddGranted(account, tokens, now)
					if passed >= length-6*time.Second {
						granted[account] += tokens
					}
				}
			}
			request("many", routers)
			if i < few {
				request("few", few)
			}
		}
		for _, ledger := range ledgers {
			latest.usages = append(latest.usages, ledger.Own(now))
		}
		latest.at = passed
		reports = append(reports, latest)
		for len(reports) > 0 && reports[0].at <= passed-delay {
			for i, ledger := range ledgers {
				for j, usages := range reports[0].usages {
					if i != j {
						ledger.SetOther(fmt.Sprint(j), usages, start.Add(reports[0].at))
					}
				}
			}
			reports = reports[1:]
		}
	}
	return granted
}

// Guards against an account at many routers that gets several times its bound, as each of them grants
// requests before it knows what the others have granted.
func TestAccountAtManyRoutersKeepsItsBound(t *testing.T) {
	for _, delay := range []time.Duration{100 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second} {
		for _, most := range []float64{1, 2} {
			granted := grantsAtManyRouters(26, 3, delay, most, 4000)
			if granted["few"] < granted["many"]/2 || granted["many"] < granted["few"]/2 {
				t.Errorf("reports after %v, bound %v: %v, want half of the other's at least", delay, most, granted)
			}
		}
	}
}

// Guards against an account that loses its share at the routers that can serve it because it also
// sends requests to one that can't.
func TestAccountKeepsItsShareIfARouterGrantsNothing(t *testing.T) {
	const capacity, tokens = 1000.0, 10.0
	ledger, now := NewLedger(), start
	granted := 0.0
	for i := range 1000 {
		now = now.Add(10 * time.Millisecond)
		ledger.AddRequested("a", 10*tokens, now)
		ledger.AddRequested("other", 10*tokens, now)
		ledger.AddGranted("other", capacity/2/100, now)
		ledger.SetOther("down", map[fleet.Account]Usage{"a": {Requested: ledger.own["a"].usage.Requested}}, now)
		if ledger.ShareUsed("a", tokens, capacity, now) <= 1 {
			ledger.AddGranted("a", tokens, now)
			if i >= 500 {
				granted += tokens
			}
		}
	}
	if share := capacity / 2 * 5; granted < 0.6*share {
		t.Errorf("%v granted within a share of %v", granted, share)
	}
}

// Guards against routers that have just started and each grant an account its whole share, as they
// have not heard of the others yet.
func TestStartedRouterGrantsItsPartUntilItHearsOfOthers(t *testing.T) {
	const capacity, tokens, others = 1e6, 4000.0, 25
	grants := func(unheard int) float64 {
		ledger, now, granted := NewLedger(), start, 0.0
		ledger.SetUnheard(unheard)
		for range 50 {
			now = now.Add(10 * time.Millisecond)
			for _, account := range []fleet.Account{"a", "b"} {
				for range 5 {
					ledger.AddRequested(account, tokens, now)
					if ledger.ShareUsed(account, tokens, capacity, now) <= 1 {
						ledger.AddGranted(account, tokens, now)
						granted += tokens
					}
				}
			}
		}
		return granted
	}
	alone := grants(0)
	if part, want := grants(others), alone/(1+others); part > 2*want || part < want/2 {
		t.Errorf("%v granted beside %d others, %v alone", part, others, alone)
	}
}

// A router that has just started must not refuse requests of a light load, of which it has seen few.
func TestStartedRouterRefusesNothingUnderLightLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const capacity, others = 1e6, 25
		tokens := rapid.Float64Range(500, 4000).Draw(t, "tokens")
		accounts := rapid.IntRange(1, 8).Draw(t, "accounts")
		load := rapid.Float64Range(0.1, 0.4).Draw(t, "load")
		interval := time.Duration(tokens / (load * capacity / (1 + others)) * float64(time.Second))
		ledger := NewLedger()
		ledger.SetUnheard(others)
		for now := start; now < start.Add(1500*time.Millisecond); now = now.Add(interval) {
			account := fleet.Account(fmt.Sprint(rapid.IntRange(1, accounts).Draw(t, "account")))
			ledger.AddRequested(account, tokens, now)
			if used := ledger.ShareUsed(account, tokens, capacity, now); used > 1 {
				t.Fatalf("refused at %v of the share, %v after the start", used, now.Sub(start))
			}
			ledger.AddGranted(account, tokens, now)
		}
	})
}
