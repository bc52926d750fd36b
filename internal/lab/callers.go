package lab

import (
	"fmt"
	"math"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/emulator"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/selection"
)

// caller is a caller with one request.
type caller struct {
	kind     *Kind
	account  fleet.Account
	home     int // the router that most callers of its account come to
	came     boottime.Instant
	own      float64 // prompt tokens of its own
	cost     float64 // of the capacity, tokens
	key      uint64  // of the shared part
	parts    []emulator.Segment
	returned bool
}

// spread is the standard deviation of the logarithm of own prompt tokens.
const spread = 0.8

// draw returns a caller.
func (r *fleetRun) draw() *caller {
	account := pick(r.random.Float64(), r.deployment.Accounts, func(part float64) float64 { return part })
	kind := &r.deployment.Kinds[pick(r.random.Float64(), r.deployment.Kinds, func(k Kind) float64 { return k.Share })]
	shared := r.random.IntN(kind.Parts)
	own := math.Max(1, kind.Own*math.Exp(r.random.NormFloat64()*spread-spread*spread/2))
	name := fmt.Sprintf("%d-%d", kind.Shared, shared)
	c := &caller{
		kind:    kind,
		account: accountName(account),
		home:    account,
		came:    r.now,
		own:     own,
		cost:    float64(kind.Shared) + own + 2*float64(kind.Output),
		key:     selection.Hash(name),
		parts: []emulator.Segment{
			{ID: name, Tokens: kind.Shared},
			{ID: fmt.Sprint("own", r.random.Uint64()), Tokens: int(own)},
		},
	}
	r.result.asked(c)
	return c
}

// pick returns a place in the list by the weights; point is in [0, 1).
func pick[T any](point float64, list []T, weight func(T) float64) int {
	total := 0.0
	for _, item := range list {
		total += weight(item)
	}
	left := point * total
	for place, item := range list {
		left -= weight(item)
		if left < 0 {
			return place
		}
	}
	return len(list) - 1
}
