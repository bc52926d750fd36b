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

func facts(got float64) ModelRequest {
	return ModelRequest{Usage: AccountUsage{ShareUsed: got}, Target: time.Second, ShortestTarget: 500 * time.Millisecond, Headroom: 1}
}

// Whatever is drawn, a request within its account's share is owed, and one far
// beyond it is never in the way of those.
func TestTiersGoByTheShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		got := rapid.Float64Range(0, 10).Draw(t, "got")
		draw := rapid.Float64Range(0, 0.999).Draw(t, "draw")
		tier := settings.Tier(facts(got), draw)
		if (tier == TierOwed) != (got <= 1) {
			t.Fatalf("%v of its share: tier %v", got, tier)
		}
		if got > settings.SurplusMost && tier != TierIdle {
			t.Fatalf("%v of its share: tier %v", got, tier)
		}
	})
}

// Symptom: small accounts get less than half of what large ones get.
// Events: engines do less than the stated capacity; a large account asks more
// often than the others, so it finds the free place more often.
// Cause: surplus was given out while others had less than their share.
func TestNoSurplusWhileEnginesFallShort(t *testing.T) {
	short := facts(1.5)
	short.Target = short.ShortestTarget
	if tier := settings.Tier(short, 0); tier != TierSurplus {
		t.Fatalf("tier %v while there is enough", tier)
	}
	short.Usage.Shortage = 1
	if tier := settings.Tier(short, 0); tier != TierIdle {
		t.Errorf("tier %v while engines fall short", tier)
	}
}

// Each tier's bounds are within those of the tier before it, whatever is known.
func TestLaterTiersGetNoMore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := facts(rapid.Float64Range(0, 3).Draw(t, "got"))
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

// The more of its even part an account has had, the less it finds in the idle tier; and
// however little it has had, no more than what is owed finds.
func TestIdleBoundsNarrowWithWhatAnAccountHad(t *testing.T) {
	s := Defaults()
	rapid.Check(t, func(t *rapid.T) {
		little, much := facts(3), facts(3)
		little.Usage.EvenShareUsed = rapid.Float64Range(0, 2).Draw(t, "little")
		much.Usage.EvenShareUsed = little.Usage.EvenShareUsed + rapid.Float64Range(0, 1).Draw(t, "more")
		wide, narrow, owed := s.Bounds(TierIdle, little), s.Bounds(TierIdle, much), s.Bounds(TierOwed, facts(0.5))
		if narrow.Budget > wide.Budget || narrow.SlotShare > wide.SlotShare || narrow.MemoryShare > wide.MemoryShare {
			t.Fatalf("%+v for one that had more, %+v", narrow, wide)
		}
		if wide.Budget > owed.Budget || wide.SlotShare > owed.SlotShare || wide.MemoryShare > owed.MemoryShare {
			t.Fatalf("idle %+v, owed %+v", wide, owed)
		}
	})
}

// Symptom: an account gets less than half of what another gets that asks for as much.
// Events: engines can do three times the stated capacity; one account asks ten times as
// often as another, and both for more than there is. What waits at the engines is read
// in the order of arrival.
// Cause: what is idle was open to an account however much of it it had had, and at no
// narrower bounds than to one that had had little.
func TestNoAccountGetsTwiceWhatAnotherGets(t *testing.T) {
	const stated, reads, tokens, tick = 1000.0, 3000.0, 100.0, 50 * time.Millisecond
	s := Defaults()
	ledger := shares.NewLedger()
	got := map[fleet.Account]float64{}
	now, pending := boottime.Instant(time.Hour), 0.0
	for round := range 800 {
		now = now.Add(tick)
		pending = max(0, pending-reads*tick.Seconds())
		for ask := range 11 {
			account := fleet.Account("large")
			if ask == 10 {
				account = "middling" // asks for 2,000 a second
			}
			ledger.AddRequested(account, tokens, now)
			f := facts(ledger.ShareUsed(account, tokens, stated, now))
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

// Symptom: nearly every answer is late, and as many as ever are let in.
// Events: engines turn slow, and stay so.
// Cause: budgets went by the target latency alone.
func TestLateAnswersLowerTheHeadroom(t *testing.T) {
	var headroom Headroom
	for range 60 {
		headroom.Observe(true)
	}
	if part := headroom.Value(settings.LeastHeadroom); math.Abs(part-settings.LeastHeadroom) > 1e-9 {
		t.Errorf("headroom %v after 60 late answers, want the least", part)
	}
	for range 1200 {
		headroom.Observe(false)
	}
	if part := headroom.Value(settings.LeastHeadroom); part < 0.99 {
		t.Errorf("headroom %v after 1,200 answers in time", part)
	}
}

// Few late answers are nobody's fault and change nothing for long.
func TestFewLateAnswersLeaveTheHeadroom(t *testing.T) {
	var headroom Headroom
	for i := range 10_000 {
		headroom.Observe(i%50 == 0)
		if part := headroom.Value(settings.LeastHeadroom); part < 0.9 {
			t.Fatalf("headroom %v with one late answer in fifty", part)
		}
	}
}

func TestRetryAfterLeavesTimeForAnAnswer(t *testing.T) {
	if got := settings.RetryAfter(time.Second); got != 350*time.Millisecond {
		t.Errorf("after %v", got)
	}
	if got := settings.RetryAfter(0); got != leastRetry {
		t.Errorf("after %v", got)
	}
}

func BenchmarkDecision(b *testing.B) {
	f := facts(1.5)
	for b.Loop() {
		_ = settings.Bounds(settings.Tier(f, 0.1), f)
	}
}

// Whatever the standing and the targets: one beyond the most gets nothing, and a
// longer target latency, a higher standing or a shortage never helps.
func TestSurplusOdds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := settings
		s.SurplusMost = rapid.Float64Range(1, 4).Draw(t, "most")
		f := facts(rapid.Float64Range(1.001, 6).Draw(t, "got"))
		f.ShortestTarget = time.Duration(rapid.IntRange(0, 2000).Draw(t, "tightest")) * time.Millisecond
		f.Target = f.ShortestTarget + time.Duration(rapid.IntRange(0, 5000).Draw(t, "longer"))*time.Millisecond
		odds := s.surplusOdds(f)
		if f.Usage.ShareUsed > s.SurplusMost && odds != 0 {
			t.Fatalf("odds %v beyond the most", odds)
		}
		longer, higher, shorter := f, f, f
		longer.Target += time.Second
		higher.Usage.ShareUsed++
		shorter.Usage.Shortage = 0.5
		for name, worse := range map[string]ModelRequest{"target latency": longer, "standing": higher, "shortage": shorter} {
			if later := s.surplusOdds(worse); later > odds {
				t.Fatalf("odds rise from %v to %v with the %s", odds, later, name)
			}
		}
	})
}

// Symptom: the account that asks most gets three times what others get.
// Events: engines do two fifths of the stated capacity, and stand idle for
// moments between owed requests.
// Cause: such moments counted as idle, and what they served was not counted.
func TestNothingIsIdleWhileEnginesFallShort(t *testing.T) {
	if !settings.TierOpen(TierIdle, AccountUsage{ShareUsed: 5}) {
		t.Error("the idle tier is closed while there is enough")
	}
	if settings.TierOpen(TierIdle, AccountUsage{ShareUsed: 5, Shortage: 1}) {
		t.Error("the idle tier is open while engines fall short")
	}
	if !settings.TierOpen(TierOwed, AccountUsage{ShareUsed: 0.5, Shortage: 1}) {
		t.Error("what is owed is refused")
	}
}
