package policy

// The load that this file answers: engines do less than the budgets assume. They
// read slower than they did, their steps take longer, or long prompts make the
// streams beside them pause. A queue that suits the target latency then makes
// every answer late, and nothing else shows it.

const (
	// lateTolerated is the part of answers that may be late before the budgets
	// are lowered. Some always are: engines crash, and callers move.
	lateTolerated = 0.05
	// lateStep is the part by which one late answer lowers the headroom. Some
	// fifty late answers, a second's worth for a router under load, lower it to
	// a fifth.
	lateStep = 0.03
)

// Headroom is the part of the budgets that is used at a service, from
// Settings.LeastHeadroom to 1. Late answers lower it and others raise it, so
// that it settles where the tolerated part is late.
type Headroom struct {
	// lowered is how far the headroom is below 1, so that the zero value is a
	// whole one.
	lowered float64
}

// Observe takes the end of an answer.
func (h *Headroom) Observe(late bool) {
	part := 1 - h.lowered
	if late {
		part *= 1 - lateStep
	} else {
		part *= 1 + lateStep*lateTolerated/(1-lateTolerated)
	}
	h.lowered = 1 - min(part, 1)
}

// Value returns the headroom, at least as much as stated.
func (h *Headroom) Value(least float64) float64 {
	h.lowered = min(h.lowered, 1-least)
	return 1 - h.lowered
}
