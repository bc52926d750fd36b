package router

import (
	"time"

	"github.com/bluebellchute/bluebellchute/internal/rpc"
)

// How a broken connection is mended:
//
//	sent or running --broken--> resume by id and offset on a new connection
//	resume broken again ------> fence at the agent
//	  fenced (never ran)  ----> goes elsewhere
//	  running or complete ----> resume
//	  no reply or failed  ----> retried elsewhere if it may run twice;
//	                            else resumed and fenced in turn while the agent
//	                            is only unreachable, until unclearPatience
//
// A connection may be half-open: a firewall or an address translator on the
// path has dropped its state, and discards the packets of both ends without an
// error, while a new connection to the same peer works. The shell notices that
// no frame comes for SilenceTimeout. Waiting on that connection would lose the
// answer, and sending the request again could run it twice; asking for the rest
// of the answer by id does neither.

// takeBroken acts on a connection that ended before the answer did.
func (w *World) takeBroken(event AnswerBroken) {
	e := w.current(event.Attempt)
	if e == nil {
		return
	}
	w.answered(e)
	if event.TooLarge {
		w.cancel(e)
		w.finish(e, unknown(statusBadGateway, CodeAnswerTooLarge, "the answer is larger than the service permits"))
		return
	}
	if event.Bad && !w.restartAnswer(e) {
		w.finish(e, unknown(statusBadGateway, CodeAnswerLost, "the answer arrived damaged"))
		return
	}
	if event.Progress {
		e.brokenAt = time.Time{}
	}
	first := e.brokenAt.IsZero()
	if first {
		e.brokenAt = w.now
	}
	switch {
	case event.Refused:
		w.agentAway(e)
	case first:
		w.resume(e)
	default:
		w.fence(e)
	}
}

// restartAnswer makes a damaged answer be fetched from its beginning.
func (w *World) restartAnswer(e *entry) bool {
	e.restarts++
	receiver := e.request.Answer
	return e.restarts <= maxChecksumRestarts && receiver.Restart(receiver.ID())
}

// resume fetches the rest of the answer over a new connection. It is a new
// attempt, so that late events of the old connection are told apart.
func (w *World) resume(e *entry) {
	e.state = stateUnclear
	e.resumeAt = time.Time{}
	w.renumber(e)
	w.emit(SendResume{
		Attempt: e.attemptID(),
		Request: e.request,
		Agent:   e.attempt.data,
		Silence: e.queue.service.silence(),
	})
}

// renumber gives the present attempt a new number.
func (w *World) renumber(e *entry) {
	e.attempts++
	e.attempt.number = e.attempts
	w.flying[e] = struct{}{}
}

// resumeLater resumes after a pause, so that an agent that answers fences but
// not the data path is not asked without end.
func (w *World) resumeLater(e *entry) {
	if e.brokenAt.IsZero() {
		e.brokenAt = w.now
	}
	if w.now.Sub(e.brokenAt) > unclearPatience {
		w.retryOrGiveUp(e, statusGatewayTimeout, "the answer cannot be fetched from the agent")
		return
	}
	e.state = stateUnclear
	w.planResume(e)
}

// planResume lets runResumes resume the request after a pause.
func (w *World) planResume(e *entry) {
	e.resumeAt = w.now.Add(resumePause)
	w.resuming[e] = struct{}{}
}

// fence asks the agent what became of the request and forbids a run that has
// not begun.
func (w *World) fence(e *entry) {
	if e.attempt.agent == nil {
		w.resumeLater(e)
		return
	}
	e.state = stateUnclear
	w.renumber(e)
	// A request that has joined another one must ask about that: of its own
	// id the agent would say that it never ran, while the other's run goes on.
	id := e.request.Answer.ID()
	w.emit(SendFence{Attempt: e.attemptID(), ID: id, Agent: e.attempt.agent.node.Control, Timeout: fenceTimeout})
}

// takeFence acts on the reply to a fence, or on its absence.
func (w *World) takeFence(event FenceReplied) {
	e := w.current(event.Attempt)
	if e == nil {
		return
	}
	switch {
	case event.Refused:
		w.agentAway(e)
	case event.Unreachable || event.State == rpc.RequestState_REQUEST_STATE_UNSPECIFIED:
		w.unreachable(e)
	default:
		w.settleState(e, event.State)
	}
}

// agentAway acts on an agent whose process is not there. What it knew of the
// request is gone with it, so nobody can ever tell more.
func (w *World) agentAway(e *entry) {
	if e.attempt.agent != nil {
		w.hear(e.attempt.agent, 0)
	}
	w.retryOrGiveUp(e, statusBadGateway, "the agent went down with the request")
}

// unreachable acts on an agent that does not reply. It may be cut off for a
// while and still hold the answer: a request that may not run twice is asked
// for again, one that may is sent elsewhere.
func (w *World) unreachable(e *entry) {
	patient := !e.request.Idempotent || e.request.Answer.Started()
	if patient && w.now.Sub(e.brokenAt) <= unclearPatience {
		w.planResume(e)
		return
	}
	if e.attempt.agent != nil {
		w.hear(e.attempt.agent, 0)
	}
	w.retryOrGiveUp(e, statusGatewayTimeout, "the agent that has the request does not reply")
}

// runResumes resumes the requests whose pause is over.
func (w *World) runResumes(now time.Time) {
	for e := range w.resuming {
		if e.resumeAt.IsZero() {
			delete(w.resuming, e)
		} else if !now.Before(e.resumeAt) {
			delete(w.resuming, e)
			w.resume(e)
		}
	}
}
