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
		row = &router{address: address, incarnation: incarnation, offers: make(map[fleet.Account]*offer)}
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
	}
	row.heardAt = now
	return row
}

// takeOffered notes what waits at a router.
func (w *World) takeOffered(now time.Time, in Offered) {
	for _, number := range in.Declined {
		w.decline(number)
	}
	known := w.routers.Get(in.Router) != nil
	row := w.noteRouter(now, in.Router, in.Incarnation)
	defer w.replyOffered(in.Ticket, row != nil && !known && !in.Full)
	if row == nil || in.Sequence <= row.sequence || w.leaving() {
		return
	}
	row.sequence = in.Sequence
	w.noteRecent(row.address)
	if in.Full {
		w.dropOffers(row)
	}
	for _, item := range in.Offers {
		w.setOffer(now, row, item)
	}
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
		if len(row.offers) >= MaxOffersPerRouter {
			return
		}
		current = &offer{account: item.Account, router: row}
		row.offers[item.Account] = current
		w.account(item.Account).offers[row.address] = current
		w.clocks.Offered(item.Account, true)
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

// dropOffers withdraws everything that a router offers.
func (w *World) dropOffers(row *router) {
	for _, current := range row.offers {
		w.dropOffer(current)
	}
}

func (w *World) dropOffer(o *offer) {
	delete(o.router.offers, o.account)
	row := w.accounts.Get(o.account)
	if row == nil {
		return
	}
	delete(row.offers, o.router.address)
	if len(row.offers) == 0 {
		w.clocks.Offered(o.account, false)
	}
	w.dropIdleAccount(row)
}

// account returns the row of a client account.
func (w *World) account(name fleet.Account) *account {
	return w.accounts.Ensure(name, func() *account {
		w.weigh(name)
		return &account{name: name, offers: make(map[fleet.Address]*offer)}
	})
}

func (w *World) dropIdleAccount(row *account) {
	if row.idle() {
		w.accounts.Delete(row.name)
	}
}
