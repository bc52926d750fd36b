package lab

import (
	"fmt"
	"math"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/emulator"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/selection"
)

// caller is an HTTP client with a single request.
type caller struct {
	kind            *Kind
	account         fleet.Account
	preferredRouter int // router that most callers of the account connect to
	arrivedAt       boottime.Instant
	ownTokens       float64 // prompt tokens that no other request shares
	cost            float64 // tokens that count towards the capacity
	sharedHash      uint64  // of the shared segment
	segments        []emulator.Segment
	retried         bool
}

// promptSigma is the standard deviation of the logarithm of ownTokens.
const promptSigma = 0.8

// newCaller returns a random caller.
func (r *simulation) newCaller() *caller {
	account := pick(r.random.Float64(), r.deployment.AccountWeights, func(weight float64) float64 { return weight })
	kind := &r.deployment.Kinds[pick(r.random.Float64(), r.deployment.Kinds, func(k Kind) float64 { return k.Share })]
	sharedPrompt := r.random.IntN(kind.SharedPrompts)
	own := math.Max(1, kind.MeanOwnTokens*math.Exp(r.random.NormFloat64()*promptSigma-promptSigma*promptSigma/2))
	name := fmt.Sprintf("%d-%d", kind.SharedTokens, sharedPrompt)
	c := &caller{
		kind:            kind,
		account:         accountName(account),
		preferredRouter: account,
		arrivedAt:       r.now,
		ownTokens:       own,
		cost:            float64(kind.SharedTokens) + own + 2*float64(kind.OutputTokens),
		sharedHash:      selection.Hash(name),
		segments: []emulator.Segment{
			{ID: name, Tokens: kind.SharedTokens},
			{ID: fmt.Sprint("own", r.random.Uint64()), Tokens: int(own)},
		},
	}
	r.result.recordRequest(c)
	return c
}

// pick returns an index of the list, distributed by weight, for a uniform point
// in [0, 1).
func pick[T any](point float64, list []T, weight func(T) float64) int {
	total := 0.0
	for _, item := range list {
		total += weight(item)
	}
	remaining := point * total
	for index, item := range list {
		remaining -= weight(item)
		if remaining < 0 {
			return index
		}
	}
	return len(list) - 1
}
