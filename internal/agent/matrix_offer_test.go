package agent

import (
	"testing"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

var offerCells = []cell{
	// An offer is lost, so a free server would stay idle while work waits. The
	// idle agent asks and learns of it.
	{fleet.StepOffer, dropped, func(t *testing.T, h *harness) {
		h.advance(MaxAskInterval)
		if !has(h, anyOf[AskRouter]) {
			t.Fatal("the idle agent asks nobody")
		}
		h.step(FreeAnswered{Router: routerA, Incarnation: 1, Offers: h.offer(routerA, 0, 1).Offers})
		wantGrants(t, h.grants(routerA), 1)
	}},
	// An offer of a router that has restarted since arrives late. Its queue is
	// gone; a grant for it would keep a slot idle for a lease.
	{fleet.StepOffer, delayed, func(t *testing.T, h *harness) {
		late := h.offer(routerA, 9, 1)
		current := h.offer(routerA, 1, 0)
		current.Incarnation = 2
		h.step(current)
		h.step(late)
		wantGrants(t, h.grants(routerA), 0)
	}},
	// A doubled offer must not count twice.
	{fleet.StepOffer, doubled, func(t *testing.T, h *harness) {
		in := h.offer(routerA, 1, 1)
		h.step(in, in)
		wantGrants(t, h.grants(routerA), 1)
	}},
	// A withdrawal overtakes the offer that it withdraws.
	{fleet.StepOffer, reordered, func(t *testing.T, h *harness) {
		h.step(h.offer(routerA, 2, 0))
		h.step(h.offer(routerA, 1, 1))
		wantGrants(t, h.grants(routerA), 0)
	}},
	// A router vanishes without withdrawing: its offers lapse.
	{fleet.StepOffer, heldPast, func(t *testing.T, h *harness) {
		ids := fill(t, h)
		h.step(h.offer(routerB, 1, 1))
		h.advance(OfferLife + SweepInterval)
		h.end(ids[0], RunComplete)
		wantGrants(t, h.grants(routerB), 0)
	}},
	// The agent restarts empty; the router believes that its offers are known.
	{fleet.StepOffer, restarted, func(t *testing.T, h *harness) {
		in := h.offer(routerA, 7, 1)
		if noted := h.ask(in.Ticket, in).(OfferNoted); !noted.Resend {
			t.Error("a router that the agent does not know is not asked for all its offers")
		}
	}},
	// A router is paused and answers no grant. The slot goes to the other one.
	{fleet.StepOffer, paused, func(t *testing.T, h *harness) {
		ids := fill(t, h)
		h.step(h.offer(routerA, 1, 1), h.offer(routerB, 1, 1))
		h.end(ids[0], RunComplete)
		first := h.grants(routerA)
		wantGrants(t, first, 1)
		h.step(GrantAnswered{Router: routerA, Numbers: []uint64{first[0].Number}, Failed: true})
		wantGrants(t, h.grants(routerB), 1)
	}},
	// A router is cut off and rejoins; the agent has dropped its offers, which
	// the router does not know, and asks for them.
	{fleet.StepOffer, partition, func(t *testing.T, h *harness) {
		full := h.offer(routerA, 1, 1)
		full.Full = true
		h.step(full)
		h.step(GrantAnswered{Router: routerA, Numbers: []uint64{h.grants(routerA)[0].Number}, Failed: true})
		in := h.offer(routerA, 2, 1)
		if noted := h.ask(in.Ticket, in).(OfferNoted); !noted.Resend {
			t.Error("the router that rejoins is not asked for all its offers")
		}
	}},
	// One account offers without end from both routers. The other's single
	// request must not wait behind it.
	{fleet.StepOffer, flood, func(t *testing.T, h *harness) {
		ids := fill(t, h)
		h.step(h.offer(routerA, 1, 100_000), h.offer(routerB, 1, 100_000))
		small := h.offer(routerB, 2, 1)
		small.Offers[0].Account = "small"
		h.step(small)
		h.end(ids[0], RunComplete)
		h.end(ids[1], RunComplete)
		if h.world.accounts.Get("small") == nil || h.world.accounts.Get("small").granted != 1 {
			t.Error("the small account has no grant")
		}
		h.step(offers(h, 100, 3000, 100)...)
		if h.world.offers > MaxOffers {
			t.Errorf("%d offers are held", h.world.offers)
		}
	}},
	// The backend server goes down and comes back: offers outlive it.
	{fleet.StepOffer, crashed, func(t *testing.T, h *harness) {
		h.step(Health{Up: false})
		h.step(h.offer(routerA, 1, 1))
		wantGrants(t, h.grants(routerA), 0)
		h.step(Health{Up: true})
		wantGrants(t, h.grants(routerA), 1)
	}},
	// A leaving server must not ask for work or grant.
	{fleet.StepOffer, leaving, func(t *testing.T, h *harness) {
		h.step(Drain{Ticket: h.ticket()})
		in := h.offer(routerA, 1, 1)
		if noted := h.ask(in.Ticket, in).(OfferNoted); noted.FreeSlots != 0 {
			t.Errorf("%d free slots are told", noted.FreeSlots)
		}
		h.advance(MaxAskInterval)
		if has(h, anyOf[SendGrants]) || has(h, anyOf[AskRouter]) {
			t.Error("a leaving agent seeks work")
		}
	}},
}
