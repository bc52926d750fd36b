package policy

import (
	"testing"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/selection"
)

// Guards against an account getting less than its share because its prompts are long.
func TestOnlyWhatIsOwedOrGoesOnMayDisruptStreams(t *testing.T) {
	s := settings
	s.GapShare = 0.7
	disruptive := selection.Choice{Fits: true, Disrupts: true}
	for tier, allowed := range map[Tier]bool{TierContinued: true, TierOwed: true, TierSurplus: false, TierIdle: false} {
		if got := s.Protection(tier, 300*time.Millisecond).Allows(disruptive); got != allowed {
			t.Errorf("%v: allowed %v, want %v", tier, got, allowed)
		}
	}
}

// Guards against bounds for services that promise no gap, and where stream protection is
// disabled.
func TestNoBoundWithoutAPromisedGap(t *testing.T) {
	s := settings
	bounds := Bounds{MaxEngines: 2}
	for name, protection := range map[string]Protection{
		"switched off":   s.Protection(TierIdle, 300*time.Millisecond),
		"no promise":     (&Settings{GapShare: 0.7}).Protection(TierIdle, 0),
		"the zero value": {},
	} {
		if protection.Gap != 0 || protection.MaxEngines(bounds) != 2 || protection.WeightExponent(time.Second) != 1 {
			t.Errorf("%s: %+v", name, protection)
		}
	}
	if s.HeadroomFloor() != s.LeastHeadroom {
		t.Errorf("headroom floor %v", s.HeadroomFloor())
	}
}

// Replays long and short prompts that arrive faster than engines of two speeds read them.
// Guards against backlogs whose reading alone stalls streams for longer than promised.
func TestStreamsStallLessWhereProtected(t *testing.T) {
	unprotected := backloggedShare(Settings{})
	protected := backloggedShare(Settings{GapShare: 0.7})
	t.Logf("time with a backlog beyond the promised gap: %.2f, protected %.2f", unprotected, protected)
	if protected > unprotected/4 {
		t.Errorf("time with such a backlog %.2f, protected %.2f", unprotected, protected)
	}
}

// backloggedShare simulates eight engines, a quarter of them fast, for ten seconds and
// returns the share of time for which an engine has a backlog that takes longer than the
// promised gap to read.
func backloggedShare(s Settings) float64 {
	const (
		gap  = 300 * time.Millisecond
		tick = 10 * time.Millisecond
		rate = 40_000.0
	)
	speeds := []float64{1.8, 1.8, 0.8, 0.8, 0.8, 0.8, 0.8, 0.8}
	pending := make([]float64, len(speeds))
	stalled, ticks := 0, 0
	for n := range 1000 {
		for arrival := range 2 {
			tokens := 1_500.0
			if (2*n+arrival)%5 == 0 {
				tokens = 7_000
			}
			placeSurplusPrompt(s, tokens, speeds, pending, rate, uint64(2*n+arrival))
		}
		for i := range speeds {
			pending[i] = max(0, pending[i]-rate*speeds[i]*tick.Seconds())
			ticks++
			if pending[i]/(rate*speeds[i]) > gap.Seconds() {
				stalled++
			}
		}
	}
	return float64(stalled) / float64(ticks)
}

// placeSurplusPrompt places one prompt of the surplus tier, or refuses it.
func placeSurplusPrompt(s Settings, tokens float64, speeds, pending []float64, rate float64, key uint64) {
	protection := s.Protection(TierSurplus, 300*time.Millisecond)
	exponent := protection.WeightExponent(time.Duration(tokens / rate * float64(time.Second)))
	weights, hashes := make([]float64, len(speeds)), make([]uint64, len(speeds))
	for i, speed := range speeds {
		weights[i], hashes[i] = EngineWeight(speed, exponent), uint64(i+1)*0x9e3779b97f4a7c15
	}
	same := func(hash uint64) uint64 { return hash }
	ranked := selection.RankWeighted(hashes, same, weights, key*0xbf58476d1ce4e5b9, protection.MaxEngines(Bounds{MaxEngines: selection.PreferredEngines}))
	engine := func(place int) selection.Engine {
		i := ranked[place]
		return selection.Engine{Running: 10, Pending: pending[i], Rate: rate * speeds[i]}
	}
	demand := selection.Demand{OwnTokens: tokens, Budget: 500 * time.Millisecond}
	limits := selection.Limits{Gap: protection.Gap, Fallbacks: selection.PreferredEngines, SecondPenalty: 1}
	choice := selection.ChooseEngine(len(ranked), engine, demand, limits)
	if choice.Fits && protection.Allows(choice) {
		pending[ranked[choice.Place]] += tokens
	}
}
