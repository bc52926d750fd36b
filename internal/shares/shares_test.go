package shares

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

const start = boottime.Instant(time.Hour)

func TestWaterLevel(t *testing.T) {
	for _, test := range []struct {
		asked    []float64
		capacity float64
		want     float64
	}{
		{nil, 10, math.Inf(1)},
		{[]float64{3, 4}, 10, math.Inf(1)},
		{[]float64{10, 10}, 10, 5},
		{[]float64{1, 100, 100}, 21, 10},
	} {
		if got := MaxMinShare(test.asked, test.capacity); got != test.want {
			t.Errorf("%v of %v: %v, want %v", test.asked, test.capacity, got, test.want)
		}
	}
}

// The level hands out the whole capacity, and no account below it is limited.
func TestWaterLevelHandsOutTheCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		asked := rapid.SliceOfN(rapid.Float64Range(0, 1000), 1, 20).Draw(t, "asked")
		capacity := rapid.Float64Range(1, 5000).Draw(t, "capacity")
		total := 0.0
		for _, amount := range asked {
			total += amount
		}
		level := MaxMinShare(asked, capacity)
		given := 0.0
		for _, amount := range asked {
			given += min(amount, level)
		}
		if want := min(total, capacity); math.Abs(given-want) > 1e-6*want {
			t.Fatalf("%v are given, want %v", given, want)
		}
	})
}

// An account that asks for less than an even share is never refused, however
// much another one asks.
func TestFloodDoesNotLimitSmallAccounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ledger := NewLedger()
		const capacity = 1000.0
		flood := rapid.Float64Range(1000, 100_000).Draw(t, "flood")
		now := start
		for range 100 {
			now = now.Add(100 * time.Millisecond)
			ledger.AddRequested("large", flood/10, now)
			if ledger.ShareUsed("large", flood/10, capacity, now) <= 1 {
				ledger.AddGranted("large", flood/10, now)
			}
			ledger.AddRequested("small", 40, now)
			if ledger.ShareUsed("small", 40, capacity, now) > 1 {
				t.Fatalf("the small account is refused at level %v", ledger.MaxMinShare())
			}
			ledger.AddGranted("small", 40, now)
		}
	})
}

// Symptom: an account gets several times its share by asking at all routers.
// Events: it floods every router.
// Cause: each router counted for itself.
func TestSharesCountAllRouters(t *testing.T) {
	ledger := NewLedger()
	ledger.SetOther("other", map[fleet.Account]Usage{"large": {Requested: 10_000, Granted: 4_000}, "small": {Requested: 1500, Granted: 500}}, start)
	ledger.AddRequested("large", 1000, start)
	if ledger.ShareUsed("large", 1000, 1000, start) <= 1 {
		t.Error("the account has got more than its share elsewhere")
	}
	if ledger.ShareUsed("small", 100, 1000, start) > 1 {
		t.Error("the other account has not")
	}
	ledger.RemoveOther("other")
	if ledger.ShareUsed("large", 1000, 1000, start.Add(time.Second)) > 1 {
		t.Error("a lost router still counts")
	}
}

func TestSumsDecay(t *testing.T) {
	ledger := NewLedger()
	ledger.AddGranted("a", 1000, start)
	uses := ledger.Own(start.Add(memory))
	if got := uses["a"].Granted; math.Abs(got-1000/math.E) > 1 {
		t.Errorf("%v is left after the time constant", got)
	}
	if uses := ledger.Own(start.Add(20 * memory)); len(uses) != 0 {
		t.Errorf("%v is still there", uses)
	}
}

func TestReturnedTokensDoNotCount(t *testing.T) {
	ledger := NewLedger()
	ledger.AddGranted("a", 1000, start)
	ledger.RefundGranted("a", 1000, start)
	if got := ledger.Own(start)["a"].Granted; got != 0 {
		t.Errorf("%v is counted", got)
	}
}

// Symptom: whoever asks most gets most, and the others less than half of it.
// Events: engines do two fifths of the stated capacity; a large and a middling
// account both ask for more than that.
// Cause: both counted as short of their shares of the stated capacity.
func TestShortEnginesAreDividedEvenly(t *testing.T) {
	const stated, does = 1000.0, 400.0
	ledger := NewLedger()
	ledger.ObserveCapacity = true
	got := map[fleet.Account]float64{}
	now := start
	for tick := range 200 {
		now = now.Add(50 * time.Millisecond)
		left := does * 0.05
		// The large account asks three times as often, so it is first each time.
		for _, account := range []fleet.Account{"large", "large", "large", "middling"} {
			ledger.AddRequested(account, 20, now)
			if left < 20 || ledger.ShareUsed(account, 20, stated, now) > 1 {
				continue
			}
			left -= 20
			ledger.AddGranted(account, 20, now)
			if tick > 100 {
				got[account] += 20
			}
		}
	}
	if ledger.Shortage() < 0.9 {
		t.Errorf("shortage %v", ledger.Shortage())
	}
	if got["middling"] < got["large"]/2 {
		t.Errorf("tokens: %v", got)
	}
}

// Capacity that nobody asks for is no shortage, and one that comes back is found.
func TestShortagePasses(t *testing.T) {
	ledger := NewLedger()
	ledger.ObserveCapacity = true
	now := start
	for range 100 {
		now = now.Add(50 * time.Millisecond)
		ledger.AddRequested("a", 10, now)
		ledger.AddGranted("a", 10, now)
	}
	if standing := ledger.ShareUsed("a", 10, 1000, now); standing != 0 || ledger.Shortage() != 0 {
		t.Errorf("standing %v, shortage %v with little to do", standing, ledger.Shortage())
	}
	for range 200 {
		now = now.Add(50 * time.Millisecond)
		ledger.AddRequested("a", 100, now)
		if ledger.ShareUsed("a", 50, 1000, now) <= 1 {
			ledger.AddGranted("a", 50, now)
		}
	}
	if ledger.Shortage() > 0.1 {
		t.Errorf("shortage %v after the engines took all they were given", ledger.Shortage())
	}
}

// Symptom: callers of the first second are refused though the engines have room.
// Events: a fleet starts and is asked for more than its capacity at once.
// Cause: what accounts got was small because it had just begun, and was taken
// for what the engines can do.
func TestStartIsNoShortage(t *testing.T) {
	ledger := NewLedger()
	ledger.ObserveCapacity = true
	now := start
	for range 10 {
		now = now.Add(50 * time.Millisecond)
		ledger.AddRequested("a", 150, now)
		ledger.AddGranted("a", 45, now)
		ledger.ShareUsed("a", 50, 1000, now)
		if ledger.Shortage() > 0.2 {
			t.Fatalf("shortage %v after %v", ledger.Shortage(), now.Sub(start))
		}
	}
}

// flood lets an account ask for three times the stated 1,000 tokens a second for
// the time and get what its standing allows, and returns the moment of the end
// and the greatest shortage.
func flood(ledger *Ledger, now boottime.Instant, length time.Duration) (boottime.Instant, float64) {
	worst := 0.0
	for end := now.Add(length); now < end; now = now.Add(10 * time.Millisecond) {
		ledger.AddRequested("a", 30, now)
		if ledger.ShareUsed("a", 10, 1000, now) <= 1 {
			ledger.AddGranted("a", 10, now)
		}
		worst = max(worst, ledger.Shortage())
	}
	return now, worst
}

// Symptom: for three seconds after an outage of the store most callers are
// refused, before engines that have nothing to do.
// Events: for six seconds no key can be trusted, so nobody is let in; then
// callers ask for three times the capacity, as before.
// Cause: what accounts got was nothing, and was taken for what engines can do.
func TestOutageIsNoShortage(t *testing.T) {
	ledger := NewLedger()
	ledger.ObserveCapacity = true
	now, _ := flood(ledger, start, 10*time.Second)
	for range 60 {
		now = now.Add(100 * time.Millisecond)
		ledger.PauseCapacityTest(now)
	}
	if _, worst := flood(ledger, now, 5*time.Second); worst > 0.2 {
		t.Errorf("shortage %v after the outage", worst)
	}
}

// Symptom: the first seconds of a burst are refused, before engines that could
// serve them.
// Events: accounts ask for a third of the capacity, then for three times of it.
// Cause: what they got before the burst was taken for what engines can do.
func TestBurstIsNoShortage(t *testing.T) {
	ledger := NewLedger()
	ledger.ObserveCapacity = true
	now := start
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		ledger.AddRequested("a", 30, now)
		ledger.ShareUsed("a", 30, 1000, now)
		ledger.AddGranted("a", 30, now)
	}
	if _, worst := flood(ledger, now, 5*time.Second); worst > 0.2 {
		t.Errorf("shortage %v in the burst", worst)
	}
}

// Symptom: one account gets three times what another gets that asks for as much
// as that.
// Events: engines can do more than the stated capacity; a large account asks ten
// times as often as a middling one, and both for more than there is.
// Cause: what was idle went to whoever asked most.
func TestIdleCapacityIsSharedEvenly(t *testing.T) {
	const stated, does = 1000.0, 3000.0
	ledger := NewLedger()
	got := map[fleet.Account]float64{}
	now := start
	for tick := range 400 {
		now = now.Add(50 * time.Millisecond)
		left := does * 0.05
		for ask := range 11 {
			account := fleet.Account("large")
			if ask == 10 {
				account = "middling"
			}
			const tokens = 100
			ledger.AddRequested(account, tokens, now)
			within := ledger.ShareUsed(account, tokens, stated, now) <= 1
			if left < tokens/2 || (!within && ledger.EvenShareUsed(account, tokens, now) > 1) {
				continue
			}
			left -= tokens
			if within {
				ledger.AddGranted(account, tokens, now)
			} else {
				ledger.AddIdle(account, tokens, now)
			}
			if tick > 200 {
				got[account] += tokens
			}
		}
	}
	// The middling one asks for 2,000 a second, an even part would be 1,500.
	if got["middling"] < got["large"]/2 {
		t.Errorf("tokens: %v", got)
	}
}
