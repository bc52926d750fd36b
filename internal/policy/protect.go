package policy

import (
	"math"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/selection"
)

// The load that this file answers: long prompts arrive at engines that stream to many
// callers, and engines differ in speed. An engine reads a piece of a prompt in each step
// in which it makes a token of every stream, so that several long prompts in a row, or
// one at a slow engine, make all streams there late.

const (
	// furtherEngines is how many engines beyond the homes of a shared part are looked at
	// for one whose streams the prompt does not disrupt.
	furtherEngines = 8
	// longShare is the part of the bound on disruption from which the reading of a
	// prompt counts as long: two of them in a row exceed the bound.
	longShare = 0.5
	// longExponent and shortExponent tell how the weight of an engine grows with its
	// speed. Long prompts gather at the fast engines more than in proportion, so that
	// the slow ones have room for short prompts that disrupt nobody.
	longExponent  = 3
	shortExponent = 0.5
	// protectedHeadroom bounds how far late answers lower the budgets while streams are
	// protected. What makes streams late is then read for the most part where it
	// disturbs none, and lower budgets only refuse requests.
	protectedHeadroom = 0.5
)

// Protection bounds what prompts may do to streams in progress at the engines of a
// service. Its zero value bounds nothing.
type Protection struct {
	// Gap is the longest time for which an engine may read prompts beside streams.
	Gap time.Duration
	// MayDisrupt tells that the request may exceed it where no engine is free of
	// streams that it would disrupt.
	MayDisrupt bool
}

// Protection returns what a request of the tier must observe at a service whose routes
// promise gaps between events of at most targetGap, 0 for no promise. Only what an
// account is owed may disrupt streams: refused, the account would get less than its
// share because of its long prompts.
func (s *Settings) Protection(tier Tier, targetGap time.Duration) Protection {
	return Protection{Gap: share(targetGap, s.GapShare), MayDisrupt: tier == TierOwed}
}

// MaxEngines returns how many engines are looked at where the bounds name so many.
func (p Protection) MaxEngines(bounds Bounds) int {
	if p.Gap == 0 {
		return bounds.MaxEngines
	}
	return max(bounds.MaxEngines, selection.PreferredEngines+furtherEngines)
}

// Allows tells whether a chosen engine may take the request.
func (p Protection) Allows(choice selection.Choice) bool { return p.MayDisrupt || !choice.Disrupts }

// WeightExponent returns the power of an engine's speed by which engines are preferred
// for a prompt that an average engine reads in so long.
func (p Protection) WeightExponent(reading time.Duration) float64 {
	switch {
	case p.Gap == 0:
		return 1
	case reading > share(p.Gap, longShare):
		return longExponent
	}
	return shortExponent
}

// EngineWeight returns how much an engine of the speed is preferred, 1 being average.
func EngineWeight(speed, exponent float64) float64 { return math.Pow(speed, exponent) }

// HeadroomFloor returns the least part of the budgets that is used.
func (s *Settings) HeadroomFloor() float64 {
	if s.GapShare == 0 {
		return s.LeastHeadroom
	}
	return max(s.LeastHeadroom, protectedHeadroom)
}
