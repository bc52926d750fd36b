package agent

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/fairshare"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
	"github.com/bluebellchute/bluebellchute/internal/settings"
)

// grantSlots hands free slots, and those that are about to become free, to the
// routers whose accounts come first.
//
// A grant is a lease with a number. It lapses here, on this agent's monotonic
// clock, later than at the router. A router that was paused finds its number
// refused, so the slot cannot be used twice; a router that is cut off costs the
// slot for one lease and then loses its offers, so it can't hold more slots.
func (w *World) grantSlots(now time.Time) {
	if !w.takesWork() || !w.heldRoom() {
		return
	}
	byRouter := make(map[*router][]*rpc.Grant)
	var order []*router
	for room := w.slots() + w.ahead() - w.committed(); room > 0; room-- {
		chosen := w.pickOffer()
		if chosen == nil {
			break
		}
		row := chosen.router
		if byRouter[row] == nil {
			order = append(order, row)
		}
		byRouter[row] = append(byRouter[row], w.grant(now, chosen))
	}
	for _, row := range order {
		for part := range slices.Chunk(byRouter[row], MaxGrantsPerMessage) {
			w.emit(SendGrants{
				Router:      row.address,
				Incarnation: row.incarnation,
				Grants:      part,
				ByCall:      now.Before(row.callUntil),
			})
		}
	}
}

// pickOffer chooses the account with the smallest clock and then, of the
// routers that offer it, the one with the oldest deadline; of equal ones the
// one that has gone without a grant for longest.
func (w *World) pickOffer() *offer {
	if w.policy.Share == settings.ShareRouterLocal {
		return w.nextRouterInTurn()
	}
	name, ok := w.pickAccount()
	if !ok {
		return nil
	}
	return w.pickRouter(w.accounts.Get(name))
}

func (w *World) pickAccount() (fleet.Account, bool) {
	candidates := w.candidates[:0]
	w.accounts.Each(func(name fleet.Account, row *account) {
		if len(row.offers) > 0 {
			candidates = append(candidates, name)
		}
	})
	w.candidates = candidates
	return w.clocks.Pick(candidates)
}

func (w *World) pickRouter(row *account) *offer {
	var best *offer
	for _, current := range row.offers {
		if best == nil || current.before(best) {
			best = current
		}
	}
	return best
}

// before orders the offers of one account.
func (o *offer) before(other *offer) bool {
	return cmp.Or(
		o.deadline.Compare(other.deadline),
		cmp.Compare(o.router.lastGrant, other.router.lastGrant),
		cmp.Compare(o.router.address, other.router.address),
	) < 0
}

// nextRouterInTurn is the choice when routers decide between their accounts:
// any offer of the router that has gone without a grant for longest.
func (w *World) nextRouterInTurn() *offer {
	var best *offer
	w.routers.Each(func(_ fleet.Address, row *router) {
		for _, current := range row.offers {
			turn := best == nil || cmp.Or(
				cmp.Compare(row.lastGrant, best.router.lastGrant),
				cmp.Compare(row.address, best.router.address),
				cmp.Compare(current.account, best.account),
			) < 0
			if turn {
				best = current
			}
		}
	})
	return best
}

// grant issues one lease and takes one request off the offer.
func (w *World) grant(now time.Time, chosen *offer) *rpc.Grant {
	lease := min(w.policy.GrantLease, MaxGrantLease)
	w.nextGrant++
	g := &grant{
		number:      w.nextGrant,
		account:     chosen.account,
		router:      chosen.router.address,
		incarnation: chosen.router.incarnation,
		sentAt:      now,
		lapsesAt:    now.Add(lease + GrantMargin),
	}
	w.grants.Put(g.number, g)
	if w.policy.Share != settings.ShareRouterLocal {
		w.chargeGrant(g, chosen.cost)
	}
	chosen.router.lastGrant = g.number
	message := &rpc.Grant{Number: g.number, LeaseMs: uint32(lease.Milliseconds())}
	if w.policy.Share != settings.ShareRouterLocal {
		w.nameAccount(message, g.account)
	}
	chosen.count--
	if chosen.count == 0 {
		w.dropOffer(chosen)
	}
	return message
}

// nameAccount says whose the slot is: by a hash where that is enough, because a
// name is longer than all the rest of a grant.
func (w *World) nameAccount(message *rpc.Grant, name fleet.Account) {
	message.AccountHash = w.names.Hash(name)
	if message.AccountHash == 0 {
		message.Account = string(name)
	}
}

// consumeGrant finds the lease that a dispatch comes on. It reports false when
// there is none: it was taken back after it lapsed, was withdrawn, or was used
// before. Until it is taken back its slot is kept, also past its time.
func (w *World) consumeGrant(now time.Time, in Dispatch) bool {
	g := w.grants.Get(in.Grant)
	if g == nil || g.router != in.Router || g.incarnation != in.RouterIncarnation {
		return false
	}
	if w.policy.Share != settings.ShareRouterLocal && g.account != in.Account {
		return false
	}
	w.turnaround.add(now.Sub(g.sentAt))
	return true
}

// chargeGrant charges the estimate of the request that will come on a grant.
func (w *World) chargeGrant(g *grant, cost uint64) {
	w.clocks.Begin(grantID(g.number), g.account, fairshare.Hint{Prompt: fairshare.Units(cost)})
	w.account(g.account).granted++
	g.charged = true
}

// grantID is the id under which the clocks know a grant. It is no UUIDv7, so
// it can't be the id of a request.
func grantID(number uint64) fleet.RequestID {
	var id fleet.RequestID
	binary.BigEndian.PutUint64(id[8:], number)
	return id
}

// endGrant ends a lease and takes back its charge, unless a request has taken
// the charge over before.
func (w *World) endGrant(number uint64) {
	g := w.grants.Get(number)
	if g == nil {
		return
	}
	w.grants.Delete(number)
	if !g.charged {
		return
	}
	w.clocks.Abandon(grantID(number))
	row := w.accounts.Get(g.account)
	row.granted--
	w.noteWaits(row)
}

// dropGrants withdraws all leases of a router.
func (w *World) dropGrants(address fleet.Address) {
	w.grants.Each(func(number uint64, g *grant) {
		if g.router == address {
			w.endGrant(number)
		}
	})
}

// takeGrantAnswered takes a router's reply to grants. Without a reply the
// leases are withdrawn at once: whether the router has them or not, their
// numbers are refused from now on, and the slots go to other routers.
func (w *World) takeGrantAnswered(now time.Time, in GrantAnswered) {
	row := w.routers.Get(in.Router)
	if in.Failed {
		for _, number := range in.Numbers {
			w.endGrant(number)
		}
		if row != nil {
			w.forgetOffers(now, row)
		}
		return
	}
	for _, number := range in.Declined {
		w.endGrant(number)
	}
	row = w.noteRouter(now, in.Router, in.Incarnation)
	if row == nil || w.leaving() {
		return
	}
	for _, item := range in.Offers {
		w.setOffer(now, row, item)
	}
}

// ahead is the number of slots to grant before they are free. A slot stands
// idle from the end of one run until the dispatch on the next grant arrives;
// that share of its time is covered by as many grants ahead.
//
// Model engines get none. How long a run will take is unknown there, and the
// average of short ones says nothing of a long one that comes next: requests
// would wait here behind long runs while another agent has a free slot, which
// one would notice by idle slots and requests in the queue of an agent.
func (w *World) ahead() int {
	if w.policy.Kind != settings.KindPlain {
		return 0
	}
	run := w.runTime.value()
	wait := w.turnaround.value()
	if run <= 0 || wait <= 0 {
		return 0
	}
	share := aheadMargin * float64(wait) / float64(run)
	if share < minAheadShare {
		return 0
	}
	return min(int(math.Ceil(share*float64(w.slots()))), w.limits.MaxAhead, w.slots())
}

// aheadMargin allows for waits that are longer than the average: a grant that
// comes late leaves a slot idle, one that comes early waits here.
const aheadMargin = 2

// minAheadShare is the share of idle time below which grants ahead are not
// worth their place in the queue of the backend server.
const minAheadShare = 0.01
