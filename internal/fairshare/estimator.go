package fairshare

import (
	"math"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

const (
	// historyGain is the weight of the newest cost in an account's mean.
	historyGain = 0.1
	// hintClamp bounds how far a hint may move an estimate away from the
	// account's history, as a factor either way.
	hintClamp = 10
	// hintShare is the part of an estimate, in the logarithm, that the hint
	// decides once the account has a history.
	hintShare = 0.25
	// overrunFactor is how much more than its charge a request that has
	// outlived its estimate is expected to cost.
	overrunFactor = 1.25
	// firstEstimate is used when nothing at all is known. It halves, in the
	// logarithm, the error of a hint that no history can correct yet.
	firstEstimate = 100
)

// history is what is remembered of the costs of one account.
type history struct {
	count int
	cost  float64 // mean cost of a request
	hint  float64 // mean hint of the requests that had one
}

// observe adds the cost of one request.
func (h *history) observe(cost, hint float64) {
	h.count++
	gain := max(historyGain, 1/float64(h.count))
	h.cost += gain * (cost - h.cost)
	if hint <= 0 {
		return
	}
	if h.hint == 0 {
		h.hint = hint
		return
	}
	h.hint += gain * (hint - h.hint)
}

// Estimator guesses the cost of requests from the account's own history and
// from hints, which may be wrong by a factor of ten either way.
type Estimator struct {
	accounts map[fleet.Account]*history
	all      history // of all accounts, for those without a history
}

// NewEstimator returns an estimator without any history.
func NewEstimator() *Estimator {
	return &Estimator{accounts: make(map[fleet.Account]*history)}
}

// Estimate returns the expected cost of a request that has not begun.
func (e *Estimator) Estimate(account fleet.Account, hint Hint) Units {
	past := e.accounts[account]
	if past == nil {
		past = &e.all
	}
	stated := float64(hint.Prompt + hint.Output)
	if past.count == 0 {
		if stated > 0 {
			return Units(math.Sqrt(stated * firstEstimate))
		}
		return firstEstimate
	}
	if stated <= 0 || past.hint <= 0 {
		return Units(past.cost)
	}
	// The hint counts relative to the account's usual hint, so that hints
	// which are wrong by a constant factor cancel out.
	relative := stated / past.hint
	relative = min(max(relative, 1.0/hintClamp), hintClamp)
	return Units(past.cost * math.Pow(relative, hintShare))
}

// Revise returns the expected cost of a running request that has been charged
// so far and was last expected to cost estimate. It is never below the charge.
func (e *Estimator) Revise(estimate, charged Units) Units {
	if charged <= estimate {
		return estimate
	}
	return charged * overrunFactor
}

// Observe learns the cost of a request that has ended.
func (e *Estimator) Observe(account fleet.Account, hint Hint, cost Units) {
	past, ok := e.accounts[account]
	if !ok {
		past = &history{}
		e.accounts[account] = past
	}
	stated := float64(hint.Prompt + hint.Output)
	past.observe(float64(cost), stated)
	e.all.observe(float64(cost), stated)
}
