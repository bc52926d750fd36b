package lab

import (
	"time"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/shares"
)

// Result holds the outcomes of a run's callers.
type Result struct {
	Requested, InTime, Late, Refused int
	TokensInTime                     float64
	// Worst is the smallest fraction of its fair share that an account was
	// served in time. The fair share is the max-min fair share of the stated
	// capacity or, if less, of what was served in time.
	Worst float64

	capacity float64 // tokens over the run
	accounts map[fleet.Account]*accountResult
}

type accountResult struct{ requested, inTime float64 }

func newResult(deployment Deployment, length time.Duration) *Result {
	return &Result{capacity: deployment.StatedCapacity * length.Seconds(), accounts: make(map[fleet.Account]*accountResult)}
}

func (r *Result) account(name fleet.Account) *accountResult {
	if r.accounts[name] == nil {
		r.accounts[name] = &accountResult{}
	}
	return r.accounts[name]
}

func (r *Result) recordRequest(c *caller) {
	r.Requested++
	r.account(c.account).requested += c.cost
}

func (r *Result) recordRefusal(*caller) { r.Refused++ }

func (r *Result) recordAnswer(c *caller, late bool) {
	if late {
		r.Late++
		return
	}
	r.InTime++
	r.TokensInTime += c.cost
	r.account(c.account).inTime += c.cost
}

// minOwedFraction is the fraction of an even share below which an account sends
// too few requests for its outcome to be significant.
const minOwedFraction = 0.2

// finish computes Worst.
func (r *Result) finish() {
	requested := make([]float64, 0, len(r.accounts))
	for _, account := range r.accounts {
		requested = append(requested, account.requested)
	}
	served := min(r.capacity, r.TokensInTime)
	maxMinShare := shares.MaxMinShare(requested, served)
	r.Worst = 1
	for _, account := range r.accounts {
		owed := min(account.requested, maxMinShare)
		if owed < minOwedFraction*served/float64(len(r.accounts)) {
			continue
		}
		r.Worst = min(r.Worst, account.inTime/owed)
	}
}
