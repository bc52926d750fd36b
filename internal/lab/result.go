package lab

import (
	"time"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/shares"
)

// Result is what callers got in a run.
type Result struct {
	Asked, InTime, Late, Refused int
	TokensInTime                 float64
	// Worst is the least part of what an account was owed that it got in time.
	// What it is owed is its max-min share of the stated capacity, or of what
	// was served in time where that is less.
	Worst float64

	capacity float64 // tokens in the whole run
	accounts map[fleet.Account]*accountResult
}

type accountResult struct{ asked, inTime float64 }

func newResult(deployment Deployment, length time.Duration) *Result {
	return &Result{capacity: deployment.Stated * length.Seconds(), accounts: make(map[fleet.Account]*accountResult)}
}

func (r *Result) account(name fleet.Account) *accountResult {
	if r.accounts[name] == nil {
		r.accounts[name] = &accountResult{}
	}
	return r.accounts[name]
}

func (r *Result) asked(c *caller) {
	r.Asked++
	r.account(c.account).asked += c.cost
}

func (r *Result) refused(*caller) { r.Refused++ }

func (r *Result) answered(c *caller, late bool) {
	if late {
		r.Late++
		return
	}
	r.InTime++
	r.TokensInTime += c.cost
	r.account(c.account).inTime += c.cost
}

// seldom is the part of an even share below which an account's outcome is
// chance.
const seldom = 0.2

// finish works out the worst account.
func (r *Result) finish() {
	asked := make([]float64, 0, len(r.accounts))
	for _, account := range r.accounts {
		asked = append(asked, account.asked)
	}
	divided := min(r.capacity, r.TokensInTime)
	level := shares.MaxMinShare(asked, divided)
	r.Worst = 1
	for _, account := range r.accounts {
		owed := min(account.asked, level)
		if owed < seldom*divided/float64(len(r.accounts)) {
			continue
		}
		r.Worst = min(r.Worst, account.inTime/owed)
	}
}
