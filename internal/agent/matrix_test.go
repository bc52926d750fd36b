package agent

import (
	"fmt"
	"testing"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
	"github.com/bluebellchute/bluebellchute/internal/settings"
)

// fault is a row of the fault matrix in docs/PROOF.md.
type fault string

const (
	dropped   fault = "dropped"
	delayed   fault = "delayed"
	doubled   fault = "doubled"
	reordered fault = "reordered"
	heldPast  fault = "held-past-lease"
	restarted fault = "restarted-empty"
	paused    fault = "paused"
	partition fault = "partition"
	flood     fault = "flood"
	crashed   fault = "engine-crash"
	leaving   fault = "leaving"
)

// cell is one cell of the fault matrix: a fault at a step of a request.
type cell struct {
	step  fleet.Step
	fault fault
	run   func(*testing.T, *harness)
}

// Refusals and states under short names.
const (
	noSlot      = rpc.RefusalReason_REFUSAL_REASON_NO_SLOT
	lapsed      = rpc.RefusalReason_REFUSAL_REASON_GRANT_LAPSED
	isFenced    = rpc.RefusalReason_REFUSAL_REASON_FENCED
	isDuplicate = rpc.RefusalReason_REFUSAL_REASON_DUPLICATE
	pastTime    = rpc.RefusalReason_REFUSAL_REASON_DEADLINE
	backendDown = rpc.RefusalReason_REFUSAL_REASON_BACKEND_DOWN
	isLeaving   = rpc.RefusalReason_REFUSAL_REASON_LEAVING
	convicted   = rpc.RefusalReason_REFUSAL_REASON_CONVICTED

	stFenced    = rpc.RequestState_REQUEST_STATE_FENCED
	stRunning   = rpc.RequestState_REQUEST_STATE_RUNNING
	stComplete  = rpc.RequestState_REQUEST_STATE_COMPLETE
	stFailed    = rpc.RequestState_REQUEST_STATE_FAILED
	stForgotten = rpc.RequestState_REQUEST_STATE_FORGOTTEN
)

// TestMatrix walks the steps that the agent owns. Each cell states what goes
// wrong, what would be seen without the code, and checks that it isn't.
func TestMatrix(t *testing.T) {
	var cells []cell
	cells = append(cells, offerCells...)
	cells = append(cells, grantCells...)
	cells = append(cells, sendCells...)
	cells = append(cells, runCells...)
	cells = append(cells, answerCells...)
	cells = append(cells, acknowledgeCells...)
	for _, c := range cells {
		t.Run(fmt.Sprintf("%s/%s", c.step, c.fault), func(t *testing.T) {
			h := newHarness(testPolicy(settings.KindModel))
			h.advance(2*MaxClockSkew + time.Millisecond) // ids made from now on are known to be new
			c.run(t, h)
			if w := h.world; w.running > w.slots() || w.committed() > w.slots()+w.limits.MaxAhead {
				t.Errorf("%d run, %d are committed, of %d slots", w.running, w.committed(), w.slots())
			}
		})
	}
}

func wantRefused(t *testing.T, answer Answer, want rpc.RefusalReason) {
	t.Helper()
	if refusal(answer) != want {
		t.Errorf("answer %+v, want %v", answer, want)
	}
}

func wantAdmitted(t *testing.T, answer Answer) {
	t.Helper()
	if _, ok := answer.(Admitted); !ok {
		t.Errorf("answer %+v, want admitted", answer)
	}
}

func wantState(t *testing.T, got, want rpc.RequestState) {
	t.Helper()
	if got != want {
		t.Errorf("state %v, want %v", got, want)
	}
}

func wantGrants(t *testing.T, got []*rpc.Grant, want int) {
	t.Helper()
	if len(got) != want {
		t.Errorf("%d grants, want %d", len(got), want)
	}
}

func wantFree(t *testing.T, h *harness, want int) {
	t.Helper()
	if got := h.world.free(); got != want {
		t.Errorf("%d slots are free, want %d", got, want)
	}
}

// fill takes both slots and returns the ids that run.
func fill(t *testing.T, h *harness) []fleet.RequestID {
	t.Helper()
	ids := []fleet.RequestID{h.id(), h.id()}
	for _, id := range ids {
		wantAdmitted(t, h.send(h.dispatch(id, routerA)))
	}
	return ids
}

// granted lets router A have one grant and returns a dispatch that uses it.
func granted(t *testing.T, h *harness) Dispatch {
	t.Helper()
	h.offers++
	h.step(h.offer(routerA, h.offers, 1))
	grants := h.grants(routerA)
	wantGrants(t, grants, 1)
	in := h.dispatch(h.id(), routerA)
	in.Grant = grants[0].Number
	return in
}

// has tells whether the last step gave a command for which match is true.
func has[C Command](h *harness, match func(C) bool) bool {
	for _, command := range h.commands {
		if c, ok := command.(C); ok && match(c) {
			return true
		}
	}
	return false
}

func anyOf[C Command](C) bool { return true }
