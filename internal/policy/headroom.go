package policy

// Engines may do less than the budgets assume: they read more slowly than before, their
// steps take longer, or long prompts stall the streams beside them. A queue that suits
// the target latency then makes every answer late, and only the late answers show it.

const (
	// toleratedLateShare is the fraction of answers that may be late before the budgets
	// are lowered. Some always are: engines crash, and callers move to other routers.
	toleratedLateShare = 0.05
	// lateAnswerStep is the fraction by which one late answer lowers the headroom. Some
	// fifty late answers, one second of them at a router under load, lower it to a fifth.
	lateAnswerStep = 0.03
)

// Headroom is the fraction of the budgets that is used at a service, from
// Settings.LeastHeadroom to 1. Late answers lower it and answers in time raise it, so
// that it settles where the tolerated fraction is late.
type Headroom struct {
	// reduction is 1 minus the headroom, so that the zero value means full headroom.
	reduction float64
}

// Observe records whether an answer was late.
func (h *Headroom) Observe(late bool) {
	headroom := 1 - h.reduction
	if late {
		headroom *= 1 - lateAnswerStep
	} else {
		headroom *= 1 + lateAnswerStep*toleratedLateShare/(1-toleratedLateShare)
	}
	h.reduction = 1 - min(headroom, 1)
}

// Value returns the headroom, which is raised to the minimum if it is below.
func (h *Headroom) Value(minimum float64) float64 {
	h.reduction = min(h.reduction, 1-minimum)
	return 1 - h.reduction
}
