package agent

import (
	"testing"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

var grantCells = []cell{
	// A grant is lost. Its number is dead at once, and the slot is not.
	{fleet.StepGrant, dropped, func(t *testing.T, h *harness) {
		in := granted(t, h)
		h.step(GrantAnswered{Router: routerA, Numbers: []uint64{in.Grant}, Failed: true})
		wantFree(t, h, 2)
		wantRefused(t, h.send(in), lapsed)
	}},
	// The reply to a grant comes after the dispatch on it and must not undo it.
	{fleet.StepGrant, delayed, func(t *testing.T, h *harness) {
		in := granted(t, h)
		wantAdmitted(t, h.send(in))
		h.step(GrantAnswered{Router: routerA, Incarnation: 1, Numbers: []uint64{in.Grant}})
		wantFree(t, h, 1)
	}},
	// A doubled decline must free the slot once.
	{fleet.StepGrant, doubled, func(t *testing.T, h *harness) {
		in := granted(t, h)
		decline := GrantAnswered{Router: routerA, Incarnation: 1, Numbers: []uint64{in.Grant}, Declined: []uint64{in.Grant}}
		h.step(decline, decline)
		wantFree(t, h, 2)
	}},
	// A decline comes after the dispatch on the same number. The slot is in use.
	{fleet.StepGrant, reordered, func(t *testing.T, h *harness) {
		in := granted(t, h)
		wantAdmitted(t, h.send(in))
		late := h.offer(routerA, 9, 0)
		late.Declined = []uint64{in.Grant}
		h.step(late)
		wantFree(t, h, 1)
		wantState(t, h.fence(in.ID), stRunning)
	}},
	// A router sends on a lease that has lapsed; the slot may be another's.
	{fleet.StepGrant, heldPast, func(t *testing.T, h *harness) {
		in := granted(t, h)
		h.advance(time.Second + GrantMargin)
		wantFree(t, h, 2)
		wantRefused(t, h.send(in), lapsed)
	}},
	// The agent restarts: a number of the earlier process means nothing.
	{fleet.StepGrant, restarted, func(t *testing.T, h *harness) {
		in := granted(t, h)
		h.restart()
		again := granted(t, h)
		if again.Grant == in.Grant {
			t.Error("two processes gave the same number")
		}
		wantRefused(t, h.send(in), lapsed)
		wantAdmitted(t, h.send(again))
	}},
	// The agent itself is paused past its leases. The late dispatch and the
	// lapse are taken in one step; the slot is used once.
	{fleet.StepGrant, paused, func(t *testing.T, h *harness) {
		in := granted(t, h)
		h.now = h.now.Add(time.Minute)
		in.Deadline = h.now.Add(time.Minute)
		wantAdmitted(t, h.send(in))
		wantFree(t, h, 1)
	}},
	// A router is cut off with a grant: the slot comes back after the lease,
	// and the router's offers do not take it again.
	{fleet.StepGrant, partition, func(t *testing.T, h *harness) {
		h.step(h.offer(routerA, 1, 9))
		wantFree(t, h, 0)
		h.advance(time.Second + GrantMargin)
		wantFree(t, h, 2)
		wantGrants(t, h.grants(routerA), 0)
	}},
	// However much is offered, only free slots are granted, and slots that
	// become free at once do not all go to one account.
	{fleet.StepGrant, flood, func(t *testing.T, h *harness) {
		in := h.offer(routerA, 1, 100_000)
		second := in.Offers[0]
		second.Account = "b"
		in.Offers = append(in.Offers, second)
		h.step(in)
		grants := h.grants(routerA)
		wantGrants(t, grants, 2)
		if grants[0].Account == grants[1].Account {
			t.Errorf("both slots go to account %s", grants[0].Account)
		}
	}},
	// The backend server goes down and comes back while a grant is out. The
	// slot is free again, and the number is dead.
	{fleet.StepGrant, crashed, func(t *testing.T, h *harness) {
		in := granted(t, h)
		h.step(Health{Up: false})
		h.step(Health{Up: true})
		wantFree(t, h, 2)
		wantRefused(t, h.send(in), lapsed)
	}},
	// The server is to leave while a grant is out.
	{fleet.StepGrant, leaving, func(t *testing.T, h *harness) {
		in := granted(t, h)
		h.step(Drain{Ticket: h.ticket()})
		wantRefused(t, h.send(in), isLeaving)
		h.step(Drain{Ticket: h.ticket(), Undo: true})
		granted(t, h)
		h.step(Drain{Ticket: h.ticket()})
		h.step(Drain{Ticket: h.ticket(), Undo: true})
		wantFree(t, h, 2)
	}},
}
