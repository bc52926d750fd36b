package policy

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/shares"
)

var settings = Settings{
	BudgetShare: 1, SlotShare: 0.8, MemoryShare: 0.9, RankShare: 0.85,
	SurplusShare: 0.6, SurplusMost: 2, SurplusExponent: 3,
	IdleShare: 0.1, IdleSlots: 0.3, IdleMemory: 0.3, LeastHeadroom: 0.2, RetryShare: 0.35,
}

func modelRequest(shareUsed float64) ModelRequest {
	return ModelRequest{Usage: AccountUsage{ShareUsed: shareUsed}, Target: time.Second, ShortestTarget: 500 * time.Millisecond, Headroom: 1}
}

// A request within its account's share is always owed, and one far beyond it is always in
// the idle tier.
func TestTiersGoByTheShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shareUsed := rapid.Float64Range(0, 10).Draw(t, "got")
		draw := rapid.Float64Range(0, 0.999).Draw(t, "draw")
		tier := settings.Tier(modelRequest(shareUsed), draw)
		if (tier == TierOwed) != (shareUsed <= 1) {
			t.Fatalf("%v of its share: tier %v", shareUsed, tier)
		}
		if shareUsed > settings.SurplusMost && tier != TierIdle {
			t.Fatalf("%v of its share: tier %v", shareUsed, tier)
		}
	})
}

// Guards against small accounts getting less than half of what large ones get while
// engines do less than the stated capacity. A large account sends requests more often and
// so finds free places more often; surplus must not be granted while others have used
// less than their share.
func TestNoSurplusWhileEnginesFallShort(t *testing.T) {
	short := modelRequest(1.5)
	short.Target = short.ShortestTarget
	if tier := settings.Tier(short, 0); tier != TierSurplus {
		t.Fatalf("tier %v while capacity suffices", tier)
	}
	short.Usage.Shortage = 1
	if tier := settings.Tier(short, 0); tier != TierIdle {
		t.Errorf("tier %v while engines fall short", tier)
	}
}

// Each tier's bounds are within those of the tier before it.
func TestLaterTiersHaveNoWiderBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := modelRequest(rapid.Float64Range(0, 3).Draw(t, "got"))
		f.Usage.Shortage = rapid.Float64Range(0, 1).Draw(t, "shortage")
		f.Rank = rapid.IntRange(0, 9).Draw(t, "rank")
		f.Headroom = rapid.Float64Range(0.2, 1).Draw(t, "headroom")
		owed, surplus, idle := settings.Bounds(TierOwed, f), settings.Bounds(TierSurplus, f), settings.Bounds(TierIdle, f)
		if surplus.Budget > owed.Budget || idle.Budget > surplus.Budget {
			t.Fatalf("budgets %v, %v, %v", owed.Budget, surplus.Budget, idle.Budget)
		}
		if idle.SlotShare > owed.SlotShare || idle.MemoryShare > owed.MemoryShare || !idle.CountOwnPrompt {
			t.Fatalf("idle %+v, owed %+v", idle, owed)
		}
	})
}

// Guards against streams that break off and go on less often than new ones begin: their accounts
// are charged already, and the engines that are left are full.
func TestStreamsThatGoOnComeBeforeNewRequests(t *testing.T) {
	s := Defaults()
	rapid.Check(t, func(t *rapid.T) {
		fresh := modelRequest(rapid.Float64Range(0, 6).Draw(t, "got"))
		fresh.Usage.Shortage = rapid.Float64Range(0, 1).Draw(t, "shortage")
		fresh.Rank = rapid.IntRange(0, 9).Draw(t, "rank")
		fresh.Headroom = rapid.Float64Range(0.2, 1).Draw(t, "headroom")
		continued, draw := fresh, rapid.Float64Range(0, 0.999).Draw(t, "draw")
		continued.Continues = true
		tier := s.Tier(continued, draw)
		if fresh.Usage.ShareUsed > s.ContinueMost {
			if tier != s.Tier(fresh, draw) {
				t.Fatalf("tier %v beyond the bound, a new request's %v", tier, s.Tier(fresh, draw))
			}
			return
		}
		for _, other := range []Tier{TierOwed, TierSurplus, TierIdle} {
			own, bounds := s.Bounds(tier, continued), s.Bounds(other, fresh)
			if own.Budget < bounds.Budget || own.SlotShare < bounds.SlotShare || own.MemoryShare < bounds.MemoryShare || own.MaxEngines < bounds.MaxEngines {
				t.Fatalf("%v %+v, %v %+v", tier, own, other, bounds)
			}
		}
		if !s.TierOpen(tier, continued.Usage) {
			t.Fatalf("tier %v is closed", tier)
		}
	})
}

// The more of its even share an account has used, the narrower its bounds in the idle
// tier, and even the widest are within those of the owed tier.
func TestIdleBoundsNarrowWithUsage(t *testing.T) {
	s := Defaults()
	rapid.Check(t, func(t *rapid.T) {
		low, high := modelRequest(3), modelRequest(3)
		low.Usage.EvenShareUsed = rapid.Float64Range(0, 2).Draw(t, "little")
		high.Usage.EvenShareUsed = low.Usage.EvenShareUsed + rapid.Float64Range(0, 1).Draw(t, "more")
		wide, narrow, owed := s.Bounds(TierIdle, low), s.Bounds(TierIdle, high), s.Bounds(TierOwed, modelRequest(0.5))
		if narrow.Budget > wide.Budget || narrow.SlotShare > wide.SlotShare || narrow.MemoryShare > wide.MemoryShare {
			t.Fatalf("bounds %+v for higher usage, %+v for lower", narrow, wide)
		}
		if wide.Budget > owed.Budget || wide.SlotShare > owed.SlotShare || wide.MemoryShare > owed.MemoryShare {
			t.Fatalf("idle %+v, owed %+v", wide, owed)
		}
	})
}

// Guards against an account getting less than half of what another gets that requests as
// much or more. Engines can do three times the stated capacity, read their queues in
// order of arrival, and one account sends ten times as many requests as the other. Idle
// capacity must not be open to an account regardless of how much it has used, nor with
// bounds as wide as for others.
func TestNoAccountGetsTwiceWhatAnotherGets(t *testing.T) {
	const stated, reads, tokens, tick = 1000.0, 3000.0, 100.0, 50 * time.Millisecond
	s := Defaults()
	ledger := shares.NewLedger()
	got := map[fleet.Account]float64{}
	now, pending := boottime.Instant(time.Hour), 0.0
	for round := range 800 {
		now = now.Add(tick)
		pending = max(0, pending-reads*tick.Seconds())
		for attempt := range 11 {
			account := fleet.Account("large")
			if attempt == 10 {
				account = "middling" // requests 2,000 tokens a second
			}
			ledger.AddRequested(account, tokens, now)
			f := modelRequest(ledger.ShareUsed(account, tokens, stated, now))
			f.Usage.EvenShareUsed = ledger.EvenShareUsed(account, tokens, now)
			tier := s.Tier(f, 1)
			bounds := s.Bounds(tier, f)
			counted := pending
			if bounds.CountOwnPrompt {
				counted += tokens
			}
			if !s.TierOpen(tier, f.Usage) || counted/reads > bounds.Budget.Seconds() {
				continue
			}
			pending += tokens
			if tier == TierIdle {
				ledger.AddIdle(account, tokens, now)
			} else {
				ledger.AddGranted(account, tokens, now)
			}
			if round > 200 {
				got[account] += tokens
			}
		}
	}
	t.Logf("tokens: %v", got)
	if got["middling"] < got["large"]/2 {
		t.Errorf("tokens: %v", got)
	}
}

// Guards against budgets that follow the target latency alone: once engines become slow,
// nearly every answer would be late while as many requests as before are admitted.
func TestLateAnswersLowerTheHeadroom(t *testing.T) {
	var headroom Headroom
	for range 60 {
		headroom.Observe(true)
	}
	if value := headroom.Value(settings.LeastHeadroom); math.Abs(value-settings.LeastHeadroom) > 1e-9 {
		t.Errorf("headroom %v after 60 late answers, want the minimum", value)
	}
	for range 1200 {
		headroom.Observe(false)
	}
	if value := headroom.Value(settings.LeastHeadroom); value < 0.99 {
		t.Errorf("headroom %v after 1,200 answers in time", value)
	}
}

// A small fraction of late answers hardly changes the headroom.
func TestFewLateAnswersKeepTheHeadroom(t *testing.T) {
	var headroom Headroom
	for i := range 10_000 {
		headroom.Observe(i%50 == 0)
		if value := headroom.Value(settings.LeastHeadroom); value < 0.9 {
			t.Fatalf("headroom %v with one late answer in fifty", value)
		}
	}
}

func TestRetryAfterLeavesTimeForAnAnswer(t *testing.T) {
	if got := settings.RetryAfter(time.Second); got != 350*time.Millisecond {
		t.Errorf("after %v", got)
	}
	if got := settings.RetryAfter(0); got != minRetryAfter {
		t.Errorf("after %v", got)
	}
}

func BenchmarkDecision(b *testing.B) {
	f := modelRequest(1.5)
	for b.Loop() {
		_ = settings.Bounds(settings.Tier(f, 0.1), f)
	}
}

// The probability is 0 beyond the maximum, and a longer target latency, a higher usage or
// a shortage never raises it.
func TestSurplusProbability(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := settings
		s.SurplusMost = rapid.Float64Range(1, 4).Draw(t, "most")
		f := modelRequest(rapid.Float64Range(1.001, 6).Draw(t, "got"))
		f.ShortestTarget = time.Duration(rapid.IntRange(0, 2000).Draw(t, "tightest")) * time.Millisecond
		f.Target = f.ShortestTarget + time.Duration(rapid.IntRange(0, 5000).Draw(t, "longer"))*time.Millisecond
		probability := s.surplusProbability(f)
		if f.Usage.ShareUsed > s.SurplusMost && probability != 0 {
			t.Fatalf("probability %v beyond the maximum", probability)
		}
		longer, higher, shorter := f, f, f
		longer.Target += time.Second
		higher.Usage.ShareUsed++
		shorter.Usage.Shortage = 0.5
		for name, worse := range map[string]ModelRequest{"target latency": longer, "standing": higher, "shortage": shorter} {
			if got := s.surplusProbability(worse); got > probability {
				t.Fatalf("the probability rises from %v to %v with the %s", probability, got, name)
			}
		}
	})
}

// Guards against the account that sends most requests getting three times what others
// get. When engines do two fifths of the stated capacity, they are idle for short times
// between owed requests; such gaps must not count as idle capacity, which is not charged
// to the share.
func TestNothingIsIdleWhileEnginesFallShort(t *testing.T) {
	if !settings.TierOpen(TierIdle, AccountUsage{ShareUsed: 5}) {
		t.Error("the idle tier is closed while capacity suffices")
	}
	if settings.TierOpen(TierIdle, AccountUsage{ShareUsed: 5, Shortage: 1}) {
		t.Error("the idle tier is open while engines fall short")
	}
	if !settings.TierOpen(TierOwed, AccountUsage{ShareUsed: 0.5, Shortage: 1}) {
		t.Error("the owed tier is closed")
	}
}
