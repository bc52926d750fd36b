package agent

import (
	"time"

	"github.com/bluebellchute/bluebellchute/internal/fairshare"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/settings"
)

// charge adds cost units to a running request as it produces them, so that a
// long answer counts before its end.
func (w *World) charge(row *request, units float64) {
	if units <= 0 {
		return
	}
	row.charged += units
	w.clocks.Charge(row.id, fairshare.Units(units))
}

// settle ends the charging of a run. A run that the backend server did not
// take costs nothing; one that failed costs what it has used.
func (w *World) settle(now time.Time, row *request, in RunEnded) {
	used := w.usedCost(now, row, in)
	if in.End != RunComplete {
		w.charge(row, used-row.charged)
		w.clocks.Abandon(row.id)
		return
	}
	row.charged = used
	w.clocks.Settle(row.id, fairshare.Units(used))
	w.runTime.add(now.Sub(row.startedAt))
}

// usedCost is the cost of a run by what is known at its end.
func (w *World) usedCost(now time.Time, row *request, in RunEnded) float64 {
	switch {
	case in.End == RunNotSent:
		return 0
	case w.policy.Kind == settings.KindPlain:
		return w.elapsedCost(now, row)
	case in.KnownUsage:
		return float64(in.PromptTokens)*w.policy.PromptCost + float64(in.Tokens)*w.policy.TokenCost
	default:
		return max(row.charged, float64(in.Tokens)*w.policy.TokenCost)
	}
}

func (w *World) elapsedCost(now time.Time, row *request) float64 {
	elapsed := float64(now.Sub(row.startedAt)) / float64(time.Millisecond)
	return elapsed * w.policy.MillisecondCost
}

// chargeElapsed charges running plain calls by their time. It runs before each
// report, so that a long call counts while it runs.
func (w *World) chargeElapsed(now time.Time) {
	if w.policy.Kind != settings.KindPlain {
		return
	}
	w.requests.Each(func(_ fleet.RequestID, row *request) {
		if row.state == stateRunning {
			w.charge(row, w.elapsedCost(now, row)-row.charged)
		}
	})
}

// weight is an account's share by the settings.
func (w *World) weight(name fleet.Account) float64 {
	if w.view == nil {
		return 1
	}
	policy, ok := w.view.Account(name)
	if !ok || policy.Weight <= 0 {
		return 1
	}
	return policy.Weight
}

// weigh takes an account's weight from the settings into its clock.
func (w *World) weigh(name fleet.Account) { w.clocks.SetWeight(name, w.weight(name)) }
