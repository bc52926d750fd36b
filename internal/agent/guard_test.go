package agent

import (
	"testing"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
	"github.com/bluebellchute/bluebellchute/internal/settings"
)

// Results of claims under short names.
const (
	claimGranted = rpc.ClaimResult_CLAIM_RESULT_GRANTED
	claimHeld    = rpc.ClaimResult_CLAIM_RESULT_HELD
	cannotTell   = rpc.ClaimResult_CLAIM_RESULT_CANNOT_TELL
)

func (h *harness) claim(in Claim) ClaimState {
	in.Ticket = h.ticket()
	in.Account = "a"
	return h.ask(in.Ticket, in).(ClaimState)
}

func wantClaim(t *testing.T, got ClaimState, want rpc.ClaimResult) {
	t.Helper()
	if got.Result != want {
		t.Errorf("claim: %+v, want %v", got, want)
	}
}

func newGuardHarness() (*harness, Claim, Claim) {
	h := newHarness(testPolicy(settings.KindModel))
	h.advance(2*MaxClockSkew + time.Millisecond)
	first := Claim{Router: routerA, Incarnation: 1, Key: h.id().String(), ID: h.id(), BodyHash: "x"}
	second := first
	second.Router, second.ID = routerB, h.id()
	return h, first, second
}

// Symptom: a call with a key runs twice.
// Sequence: the caller sends again through another router, the reply to a claim
// is lost, the guard restarts, the table of keys overflows.
// Cause: a guard says "first sight" of a key that it may have seen.
func TestGuardTellsOnlyWhatItKnows(t *testing.T) {
	h, first, second := newGuardHarness()
	wantClaim(t, h.claim(first), claimGranted)
	wantClaim(t, h.claim(first), claimGranted) // the reply was lost
	wantClaim(t, h.claim(second), claimHeld)
	other := second
	other.BodyHash = "y"
	if !h.claim(other).BodyDiffers {
		t.Error("another body is not noticed")
	}
	h.restart()
	wantClaim(t, h.claim(second), cannotTell)
	wantClaim(t, h.claim(second), cannotTell)
	second.Release = true
	h.claim(second)
	plain := Claim{Key: "order-7", ID: h.id(), BodyHash: "x"}
	wantClaim(t, h.claim(plain), cannotTell)
	plain.Release = true
	h.claim(plain)
	h.advance(KeyRetention + time.Second)
	plain.Release = false
	wantClaim(t, h.claim(plain), claimGranted)
	h.world.guard.limit = 1
	wantClaim(t, h.claim(Claim{Key: h.id().String(), ID: h.id()}), claimGranted)
	wantClaim(t, h.claim(Claim{Key: "order-8", ID: h.id()}), cannotTell)
}

// Symptom: a caller whose router died is held off for as long as keys are
// remembered, or its call runs twice.
// Sequence: the request that holds the key waits at a router that is gone; or
// it runs; or the router only seemed gone and sends it after all.
// Cause: nobody else gives the key back; or the key is given away too early.
func TestKeyOfAGoneRouterIsTakenOver(t *testing.T) {
	h, first, second := newGuardHarness()
	h.claim(first)
	wantClaim(t, h.claim(second), claimHeld)
	if !has(h, func(c AskRouter) bool { return c.Router == routerA }) {
		t.Fatal("the holder's router is not asked for a sign of life")
	}
	h.step(FreeAnswered{Router: routerA, Incarnation: 1})
	wantClaim(t, h.claim(second), claimHeld)
	h.step(FreeAnswered{Router: routerA, Failed: true})
	wantClaim(t, h.claim(second), claimGranted)

	// The first router lives and sends its request here.
	late := h.dispatch(first.ID, routerA)
	late.Key, late.Guards = first.Key, []fleet.Address{testAgentAddress}
	wantAdmitted(t, h.send(late))
	if h.starts[first.ID] != 0 || !sealed(h, stFenced) {
		t.Error("a request that lost its key runs")
	}

	// The second runs: its key stays with it, also when its router goes.
	run := h.dispatch(second.ID, routerB)
	run.Key, run.Guards, run.Attempt = second.Key, []fleet.Address{testAgentAddress}, 2
	wantAdmitted(t, h.send(run))
	h.step(FreeAnswered{Router: routerB, Failed: true})
	third := first
	third.ID = h.id()
	wantClaim(t, h.claim(third), claimHeld)

	// An earlier attempt's word comes late; the key is not given away for it.
	stale := second
	stale.RunningAt, stale.Attempt = "10.0.0.9:1", 1
	h.claim(stale)
	third.FencedHolder, third.FencedAt = second.ID, "10.0.0.9:1"
	wantClaim(t, h.claim(third), claimHeld)
	third.FencedAt = h.world.self.Data
	wantClaim(t, h.claim(third), claimGranted)

	// A guard that has forgotten the key hears of it from the agent that runs
	// the request, and so does not know its router.
	forgotten := Claim{Router: "10.0.0.7:1", Key: h.id().String(), ID: h.id(), RunningAt: "10.0.0.7:2", Attempt: 1}
	wantClaim(t, h.claim(forgotten), claimGranted)
	heir := Claim{Router: routerA, Key: forgotten.Key, ID: h.id(), BodyHash: "x"}
	wantClaim(t, h.claim(heir), claimHeld)
	heir.FencedHolder, heir.FencedAt = forgotten.ID, forgotten.RunningAt
	wantClaim(t, h.claim(heir), claimGranted)
	if has(h, func(c AskRouter) bool { return c.Router == forgotten.Router }) {
		t.Error("an agent is asked as if it were a router")
	}
}

// Symptom: a call with a key runs twice after a partition.
// Sequence: a guard of the key does not answer when the run is about to begin.
// Cause: at that guard another request may hold the key by now.
func TestRunWaitsForItsKey(t *testing.T) {
	for _, idempotent := range []bool{false, true} {
		h, first, _ := newGuardHarness()
		in := h.dispatch(first.ID, routerA)
		in.Key, in.Guards, in.Idempotent = first.Key, []fleet.Address{"10.0.0.8:1"}, idempotent
		wantAdmitted(t, h.send(in))
		if !has(h, anyOf[ConfirmKey]) || h.starts[in.ID] != 0 {
			t.Fatal("the run does not wait for the guard")
		}
		wantFree(t, h, 1)
		h.step(KeyConfirmed{ID: in.ID, Guard: "10.0.0.8:1", Failed: true})
		if started := h.starts[in.ID] == 1; started != idempotent {
			t.Errorf("idempotent %v: runs %v", idempotent, started)
		}
	}
}
