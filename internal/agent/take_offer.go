package agent

import (
	"time"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// noteRouter returns the row of a router, or nil when there are too many. What
// an earlier incarnation of the router offered is dropped, because its queue
// is gone; a message of an earlier incarnation that comes late changes nothing.
func (w *World) noteRouter(now time.Time, address fleet.Address, incarnation uint64) *router {
	row := w.routers.Get(address)
	if row == nil {
		if w.routers.Len() >= MaxRouters {
			return nil
		}
		row = &router{address: address, incarnation: incarnation, offers: make(map[fleet.Account]*offer), resend: true}
		w.routers.Put(address, row)
	}
	if incarnation < row.incarnation {
		return nil
	}
	if incarnation > row.incarnation {
		w.dropOffers(row)
		w.dropGrants(address)
		row.incarnation = incarnation
		row.sequence = 0
		row.resend = true
	}
	row.heardAt = now
	row.silent = false
	return row
}

// takeOffered notes what waits at a router.
func (w *World) takeOffered(now time.Time, in Offered) {
	declined := w.endDeclined(in)
	row := w.noteRouter(now, in.Router, in.Incarnation)
	defer w.replyOffered(in.Ticket, row != nil && row.resend && !in.Full)
	if row == nil || in.Sequence <= row.sequence || w.leaving() {
		return
	}
	row.sequence = in.Sequence
	w.noteRecent(row.address)
	if in.Full {
		w.dropOffers(row)
		row.resend = false
		row.recallAt = time.Time{}
	}
	for _, account := range declined {
		if current := row.offers[account]; current != nil {
			w.dropOffer(current)
		}
	}
	for _, item := range in.Offers {
		w.setOffer(now, row, item)
	}
}

// endDeclined ends the grants that a router declines and returns their
// accounts. Nothing of these waits there, unless the same message says so.
func (w *World) endDeclined(in Offered) []fleet.Account {
	var accounts []fleet.Account
	for _, number := range in.Declined {
		g := w.grants.Get(number)
		if g != nil && g.router == in.Router && g.incarnation == in.Incarnation {
			accounts = append(accounts, g.account)
		}
		w.endGrant(number)
	}
	return accounts
}

func (w *World) replyOffered(ticket Ticket, resend bool) {
	w.reply(ticket, OfferNoted{FreeSlots: uint32(w.free()), Resend: resend})
}

// setOffer replaces what the router said of one account.
func (w *World) setOffer(now time.Time, row *router, item AccountOffer) {
	current := row.offers[item.Account]
	if item.Count == 0 {
		if current != nil {
			w.dropOffer(current)
		}
		return
	}
	if current == nil {
		if len(row.offers) >= MaxOffersPerRouter || w.offers >= MaxOffers {
			return
		}
		current = &offer{account: item.Account, router: row}
		w.offers++
		row.offers[item.Account] = current
		holder := w.account(item.Account)
		holder.offers[row.address] = current
		w.noteWaits(holder)
	}
	current.count = item.Count
	current.deadline = item.OldestDeadline
	current.cost = item.EstimatedCost
	current.refreshedAt = now
}

// noteWaiting takes the number of waiting requests that a dispatch tells of.
func (w *World) noteWaiting(now time.Time, in Dispatch, count uint32) {
	row := w.routers.Get(in.Router)
	if row == nil || row.incarnation != in.RouterIncarnation || w.leaving() {
		return
	}
	w.setOffer(now, row, AccountOffer{
		Account:        in.Account,
		Count:          count,
		OldestDeadline: in.Deadline,
		EstimatedCost:  in.EstimatedCost,
	})
}

// forgetOffers drops the offers of a router that does not answer. The router
// does not know, so it is asked for all of them after a pause.
func (w *World) forgetOffers(now time.Time, row *router) {
	w.dropOffers(row)
	w.planRecall(now, row)
}

// planRecall has a router asked for its offers soon, and for all of them when it
// is heard before.
func (w *World) planRecall(now time.Time, row *router) {
	row.resend = true
	row.recallWait = MinAskInterval
	row.recallAt = now.Add(row.recallWait)
}

// dropOffers withdraws everything that a router offers.
func (w *World) dropOffers(row *router) {
	for _, current := range row.offers {
		w.dropOffer(current)
	}
}

func (w *World) dropOffer(o *offer) {
	delete(o.router.offers, o.account)
	w.offers--
	row := w.accounts.Get(o.account)
	if row == nil {
		return
	}
	delete(row.offers, o.router.address)
	w.noteWaits(row)
}

// noteWaits tells the clocks whether an account has waiting work. Between a
// grant and the dispatch on it the work still counts as waiting: if the account
// looked idle then, its return would forgive what the fleet owes it.
func (w *World) noteWaits(row *account) {
	w.clocks.Offered(row.name, row.waits())
	w.dropIdleAccount(row)
}

// account returns the row of a client account.
func (w *World) account(name fleet.Account) *account {
	return w.accounts.GetOrCreate(name, func() *account {
		w.weigh(name)
		return &account{name: name, offers: make(map[fleet.Address]*offer)}
	})
}

func (w *World) dropIdleAccount(row *account) {
	if row.idle() {
		w.accounts.Delete(row.name)
	}
}
