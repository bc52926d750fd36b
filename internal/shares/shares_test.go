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

func TestMaxMinShare(t *testing.T) {
	for _, test := range []struct {
		requested []float64
		capacity  float64
		want      float64
	}{
		{nil, 10, math.Inf(1)},
		{[]float64{3, 4}, 10, math.Inf(1)},
		{[]float64{10, 10}, 10, 5},
		{[]float64{1, 100, 100}, 21, 10},
	} {
		if got := MaxMinShare(test.requested, test.capacity); got != test.want {
			t.Errorf("%v of %v: %v, want %v", test.requested, test.capacity, got, test.want)
		}
	}
}

// The share divides the whole capacity, and limits no account that requests less.
func TestMaxMinShareDividesTheWholeCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		requested := rapid.SliceOfN(rapid.Float64Range(0, 1000), 1, 20).Draw(t, "asked")
		capacity := rapid.Float64Range(1, 5000).Draw(t, "capacity")
		total := 0.0
		for _, amount := range requested {
			total += amount
		}
		share := MaxMinShare(requested, capacity)
		granted := 0.0
		for _, amount := range requested {
			granted += min(amount, share)
		}
		if want := min(total, capacity); math.Abs(granted-want) > 1e-6*want {
			t.Fatalf("%v granted, want %v", granted, want)
		}
	})
}

// An account that requests less than an even share is never refused, however much another
// one requests.
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
				t.Fatalf("the small account is refused at a share of %v", ledger.MaxMinShare())
			}
			ledger.AddGranted("small", 40, now)
		}
	})
}

// Guards against an account getting several times its share by sending to all routers
// while each router counts only its own requests.
func TestSharesCountAllRouters(t *testing.T) {
	ledger := NewLedger()
	ledger.SetOther("other", map[fleet.Account]Usage{"large": {Requested: 10_000, Granted: 4_000}, "small": {Requested: 1500, Granted: 500}}, start)
	ledger.AddRequested("large", 1000, start)
	if ledger.ShareUsed("large", 1000, 1000, start) <= 1 {
		t.Error("the account has used more than its share at another router")
	}
	if ledger.ShareUsed("small", 100, 1000, start) > 1 {
		t.Error("the other account has not used its share, but is refused")
	}
	ledger.RemoveOther("other")
	if ledger.ShareUsed("large", 1000, 1000, start.Add(time.Second)) > 1 {
		t.Error("a removed router still counts")
	}
}

// Guards against a burst that is granted whole, as the shares are from before it.
func TestBurstCountsAtOnce(t *testing.T) {
	const capacity, tokens = 1000.0, 20.0
	ledger := NewLedger()
	ledger.ShareUsed("a", tokens, capacity, start)
	granted := 0.0
	for range 1000 {
		ledger.AddRequested("a", tokens, start)
		if ledger.ShareUsed("a", tokens, capacity, start) <= 1 {
			ledger.AddGranted("a", tokens, start)
			granted += tokens
		}
	}
	if share := capacity * decayTime.Seconds(); granted > 1.2*share {
		t.Errorf("%v granted of a share of %v", granted, share)
	}
}

func TestUsageDecays(t *testing.T) {
	ledger := NewLedger()
	ledger.AddGranted("a", 1000, start)
	usages := ledger.Own(start.Add(decayTime))
	if got := usages["a"].Granted; math.Abs(got-1000/math.E) > 1 {
		t.Errorf("%v remains after the time constant", got)
	}
	if usages := ledger.Own(start.Add(20 * decayTime)); len(usages) != 0 {
		t.Errorf("%v has not been dropped", usages)
	}
}

func TestReturnedTokensDoNotCount(t *testing.T) {
	ledger := NewLedger()
	ledger.AddGranted("a", 1000, start)
	ledger.RefundGranted("a", 1000, start)
	if got := ledger.Own(start)["a"].Granted; got != 0 {
		t.Errorf("%v is still counted", got)
	}
}

// Guards against accounts getting less than half of what the one gets that sends most
// requests. When engines do two fifths of the stated capacity and two accounts request
// more than that, both would count as below their shares of the stated capacity.
func TestObservedCapacityIsDividedEvenly(t *testing.T) {
	const stated, actual = 1000.0, 400.0
	ledger := NewLedger()
	ledger.ObserveCapacity = true
	got := map[fleet.Account]float64{}
	now := start
	for tick := range 200 {
		now = now.Add(50 * time.Millisecond)
		left := actual * 0.05
		// The large account sends three times as often, so it is first each time.
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

// Capacity that nobody requests is no shortage, and a shortage ends with its cause.
func TestShortageEnds(t *testing.T) {
	ledger := NewLedger()
	ledger.ObserveCapacity = true
	now := start
	for range 100 {
		now = now.Add(50 * time.Millisecond)
		ledger.AddRequested("a", 10, now)
		ledger.AddGranted("a", 10, now)
	}
	if shareUsed := ledger.ShareUsed("a", 10, 1000, now); shareUsed != 0 || ledger.Shortage() != 0 {
		t.Errorf("share used %v, shortage %v under low load", shareUsed, ledger.Shortage())
	}
	for range 200 {
		now = now.Add(50 * time.Millisecond)
		ledger.AddRequested("a", 100, now)
		if ledger.ShareUsed("a", 50, 1000, now) <= 1 {
			ledger.AddGranted("a", 50, now)
		}
	}
	if ledger.Shortage() > 0.1 {
		t.Errorf("shortage %v although the engines took all requests", ledger.Shortage())
	}
}

// Guards against refusals while engines have room, when a fleet starts under overload:
// few tokens have been granted by then, which must not be taken as the engines' capacity.
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

// flood lets an account request three times the stated 1,000 tokens per second for the
// given time and grants what its share allows. It returns the end time and the greatest
// shortage.
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

// Guards against refusals before idle engines for three seconds after an outage of the
// store. For six seconds no key can be verified, so nobody is admitted and nothing is
// granted, which must not be taken as the engines' capacity.
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

// Guards against refusals in the first seconds of a burst while engines have room:
// accounts request a third of the capacity, then three times the capacity, and what they
// were granted before the burst must not be taken as the engines' capacity.
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

// Guards against one account getting three times what another gets, although the other
// requests as much as that. Engines can do more than the stated capacity, and a large
// account sends ten times as many requests as a middling one; idle capacity must not go
// to whoever sends most.
func TestIdleCapacityIsSharedEvenly(t *testing.T) {
	const stated, actual = 1000.0, 3000.0
	ledger := NewLedger()
	got := map[fleet.Account]float64{}
	now := start
	for tick := range 400 {
		now = now.Add(50 * time.Millisecond)
		left := actual * 0.05
		for attempt := range 11 {
			account := fleet.Account("large")
			if attempt == 10 {
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
	// The middling account requests 2,000 tokens per second; an even share would be
	// 1,500.
	if got["middling"] < got["large"]/2 {
		t.Errorf("tokens: %v", got)
	}
}
