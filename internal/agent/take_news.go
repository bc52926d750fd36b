package agent

import (
	"slices"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/fairshare"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// takeLoad takes the backend server's report of its slots. A report that lags
// too far is ignored. A server that reports no slots keeps the last number.
func (w *World) takeLoad(in Load) {
	if in.Age > MaxLoadAge || in.Slots <= 0 {
		return
	}
	w.reportedSlots = in.Slots
}

// takeHealth takes the result of a health check. While the server is down
// nothing is granted or admitted, and what was admitted and has not begun goes
// back to its routers, who may have other agents for it.
func (w *World) takeHealth(now time.Time, in Health) {
	w.backendUp = in.Up
	if in.Up {
		return
	}
	w.grants.Each(func(number uint64, _ *grant) { w.endGrant(number) })
	for _, row := range slices.Clone(w.queue) {
		w.endWithoutRun(now, row, reasonNotSent)
	}
}

// takeSettings applies a new revision. A service that is not in the settings,
// or no longer, has no slots.
func (w *World) takeSettings(in Settings) {
	policy, ok := in.View.Service(w.self.Service)
	w.served = ok
	if !ok {
		return // what runs and what is held goes on by the last policy
	}
	w.view = in.View
	w.policy = policy
	w.names = fairshare.NewNames(in.View.Accounts())
	w.accounts.Each(func(name fleet.Account, _ *account) { w.weigh(name) })
	w.applyShares()
}

// takeMembers applies a new state of the fleet.
func (w *World) takeMembers(in Members) {
	w.members = in.View
	w.applyShares()
	w.setLeaving(&w.listLeaving, in.Leaving)
}
