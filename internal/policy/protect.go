package policy

import (
	"math"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/selection"
)

// An engine reads a piece of a prompt in each step in which it generates a token of every
// stream. Several long prompts in a row, or one at a slow engine, therefore delay all
// streams of that engine. Engines differ in speed, so long prompts go to fast ones first.

const (
	// extraEngines is how many engines beyond the preferred ones of a shared segment are
	// searched for one whose streams the prompt does not disrupt.
	extraEngines = 8
	// longPromptShare is the fraction of the bound on disruption from which a prompt's
	// reading time counts as long: two such prompts in a row exceed the bound.
	longPromptShare = 0.5
	// longPromptExponent and shortPromptExponent are the exponents of an engine's speed
	// in its weight. Fast engines attract long prompts more than in proportion to their
	// speed, which leaves the slow ones room for short prompts that disrupt no stream.
	longPromptExponent  = 3
	shortPromptExponent = 0.5
	// minProtectedHeadroom is the lower bound of the headroom while streams are
	// protected. Long prompts are then mostly read where they delay no streams, so that
	// lower budgets would only refuse requests.
	minProtectedHeadroom = 0.5
)

// Protection bounds how much prompts may delay streams in progress at the engines of a
// service. The zero value sets no bound.
type Protection struct {
	// Gap is the longest time for which an engine may read prompts while it streams.
	Gap time.Duration
	// MayDisrupt reports whether the request may exceed Gap if every engine has streams
	// that it would disrupt.
	MayDisrupt bool
}

// Protection returns the bound for a request of the tier at a service whose routes
// promise gaps between events of at most targetGap, 0 for no promise. Only owed requests
// and streams that go on may disrupt streams: if they were refused, an account with long
// prompts would get less than its share, or lose streams that have begun.
func (s *Settings) Protection(tier Tier, targetGap time.Duration) Protection {
	return Protection{Gap: scale(targetGap, s.GapShare), MayDisrupt: tier == TierOwed || tier == TierContinued}
}

// MaxEngines returns how many engines are considered, given the bounds of the request.
func (p Protection) MaxEngines(bounds Bounds) int {
	if p.Gap == 0 {
		return bounds.MaxEngines
	}
	return max(bounds.MaxEngines, selection.PreferredEngines+extraEngines)
}

// Allows reports whether the chosen engine may take the request.
func (p Protection) Allows(choice selection.Choice) bool { return p.MayDisrupt || !choice.Disrupts }

// WeightExponent returns the exponent of an engine's speed in its weight for a prompt
// with this reading time at an average engine.
func (p Protection) WeightExponent(reading time.Duration) float64 {
	switch {
	case p.Gap == 0:
		return 1
	case reading > scale(p.Gap, longPromptShare):
		return longPromptExponent
	}
	return shortPromptExponent
}

// EngineWeight returns the preference for an engine of the speed, where 1 is average.
func EngineWeight(speed, exponent float64) float64 { return math.Pow(speed, exponent) }

// HeadroomFloor returns the lower bound of the headroom at a service whose streams can be
// protected.
func (s *Settings) HeadroomFloor() float64 {
	if s.GapShare == 0 {
		return s.LeastHeadroom
	}
	return max(s.LeastHeadroom, minProtectedHeadroom)
}
