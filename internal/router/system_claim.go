package router

import (
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/membership"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
)

// claim is the claiming of a caller's key at its guards.
//
// A caller that loses its connection sends its request again with the same
// key, maybe to another router. Without the claim both would run. The guards
// are asked one after the other, always in the same order: if two routers
// asked both guards at once, each could get one of them, and each would then
// wait for the other.
type claim struct {
	guards  []fleet.Node
	next    int // guard that is being asked
	round   uint32
	asked   []fleet.Address // guards that may hold the key for this request
	granted []fleet.Address // guards at which this request holds the key
	told    int             // guards that answered in this round
	heldBy  fleet.RequestID
	running fleet.Address // data address of the agent that runs the holder
	held    bool
	differs bool

	fenced   fleet.RequestID // an earlier holder that will never run ...
	fencedAt fleet.Address   // ... at this agent
	pollAt   time.Time
}

// beginClaim asks the first guard of the request's key.
func (w *World) beginClaim(e *entry) {
	e.state = stateClaiming
	w.asking[e] = struct{}{}
	next := &claim{guards: w.guards(e.request), round: 1}
	if e.claim != nil {
		next.round = e.claim.round + 1
		next.asked = e.claim.asked
		next.fenced, next.fencedAt = e.claim.fenced, e.claim.fencedAt
	}
	e.claim = next
	w.askGuard(e)
}

// guards returns the agents that remember the request's key. Which agents this
// router suspects plays no part: all routers must ask the same ones.
func (w *World) guards(request *Request) []fleet.Node {
	return membership.Guards(request.Account, request.Key, membership.Live(w.members.Agents(request.Service)))
}

func (w *World) askGuard(e *entry) {
	claim := e.claim
	if claim.next >= len(claim.guards) {
		w.decideClaim(e)
		return
	}
	guard := claim.guards[claim.next].Control
	if !slices.Contains(claim.asked, guard) {
		claim.asked = append(claim.asked, guard)
	}
	w.emit(SendClaim{Request: e.request, Round: claim.round, Guard: guard, Fenced: claim.fenced, At: claim.fencedAt})
}

// takeClaim takes in a guard's answer and asks the next one.
func (w *World) takeClaim(event ClaimReplied) {
	e := w.requests.Get(event.Request)
	if e == nil || e.claim == nil || e.state != stateClaiming || event.Round != e.claim.round {
		return
	}
	claim := e.claim
	if claim.next >= len(claim.guards) || claim.guards[claim.next].Control != event.Guard {
		return
	}
	claim.next++
	if event.Reply != nil {
		claim.told++
		claim.note(e.request, event)
	}
	if claim.held || claim.differs {
		w.decideClaim(e)
		return
	}
	w.askGuard(e)
}

// note takes in what a guard says.
func (c *claim) note(request *Request, event ClaimReplied) {
	reply := event.Reply
	switch {
	case reply.BodyDiffers:
		c.differs = true
	case reply.Result == rpc.ClaimResult_CLAIM_RESULT_GRANTED:
		c.grantedBy(event.Guard)
	case reply.Result == rpc.ClaimResult_CLAIM_RESULT_HELD:
		holder, err := uuid.FromBytes(reply.HolderRequestId)
		if err != nil {
			return
		}
		if holder == request.ID {
			c.grantedBy(event.Guard)
			return
		}
		c.held = true
		c.heldBy = holder
		c.running = fleet.Address(reply.RunningAt)
	}
}

func (c *claim) grantedBy(guard fleet.Address) {
	if !slices.Contains(c.granted, guard) {
		c.granted = append(c.granted, guard)
	}
}

// decideClaim goes on once the guards have answered.
func (w *World) decideClaim(e *entry) {
	claim := e.claim
	switch {
	case claim.differs:
		result := notRun(statusUnprocessable, CodeKeyReused, "the idempotency key was used with another body", 0)
		result.RetryAfter = 0
		w.finish(e, result)
	case claim.held && claim.running != "":
		w.join(e)
	case claim.held:
		// The holder still waits for a slot: look again soon.
		claim.pollAt = w.now.Add(claimPoll)
	case claim.permits(e.request):
		delete(w.asking, e)
		w.enqueue(e)
	default:
		w.finish(e, notRun(statusServiceUnavailable, CodeKeyUnknown,
			"this try was not run; whether an earlier one with the same key ran is not known", claimRetryAfter))
	}
}

// permits tells whether the guards' answers allow a run: one of them can tell
// that the key is new. Where a second run would do harm, all must have answered.
// Otherwise two routers, each cut off from the other's guard, would both run.
func (c *claim) permits(request *Request) bool {
	if !request.Idempotent && c.told < len(c.guards) {
		return false
	}
	return len(c.granted) > 0
}

// claimRetryAfter is when to come back after the guards could not tell.
const claimRetryAfter = 5 * time.Second

// join fetches the answer that an earlier request with the same key gets.
func (w *World) join(e *entry) {
	delete(w.asking, e)
	w.releaseKey(e)
	e.request.Answer.Restart(e.claim.heldBy)
	e.brokenAt = time.Time{}
	e.attempt = &attempt{data: e.claim.running, joined: true, agent: w.agentByData(e)}
	w.resume(e)
}

func (w *World) agentByData(e *entry) *agentRow {
	for _, row := range e.queue.service.agents {
		if row.node.Data == e.claim.running {
			return row
		}
	}
	return nil
}

// claimAgain claims the key anew, after the request that held it was not run or
// after an agent has found that this one holds it no more.
func (w *World) claimAgain(e *entry) {
	if !e.request.Answer.Restart(e.request.ID) {
		w.finish(e, unknown(statusBadGateway, CodeAnswerLost, "the answer broke off"))
		return
	}
	if e.attempt.joined {
		e.claim.fenced, e.claim.fencedAt = e.claim.heldBy, e.claim.running
	}
	delete(w.flying, e)
	e.attempt = nil
	e.state = stateClaiming
	w.asking[e] = struct{}{}
	e.claim.pollAt = w.now.Add(claimPoll)
}

// runClaims looks again at keys whose holder waited.
func (w *World) runClaims(now time.Time) {
	for e := range w.asking {
		if !e.claim.pollAt.IsZero() && !now.Before(e.claim.pollAt) {
			w.beginClaim(e)
		}
	}
}

// tellGuards tells the key's guards where the request runs, so that another
// try of the caller can fetch the answer there.
func (w *World) tellGuards(e *entry) {
	if e.claim == nil || e.attempt.joined {
		return
	}
	// A guard that could not tell whether the key is new has noted the request
	// as well, and another router may ask that guard first.
	for _, guard := range e.claim.asked {
		w.emit(SendClaim{Request: e.request, Guard: guard, Running: e.attempt.data, Attempt: e.attempt.number})
	}
}

// endClaim frees the key of a request that was not run. The key of one that
// ran, or may have run, stays taken.
func (w *World) endClaim(e *entry, outcome fleet.Outcome) {
	if e.claim == nil || outcome != fleet.OutcomeNotRun {
		return
	}
	w.releaseKey(e)
}

func (w *World) releaseKey(e *entry) {
	// A guard whose reply was lost may hold the key too.
	for _, guard := range e.claim.asked {
		w.emit(SendClaim{Request: e.request, Guard: guard, Release: true})
	}
	e.claim.asked = nil
	e.claim.granted = nil
}
