package router

import (
	"time"

	"github.com/bluebellchute/bluebellchute/internal/fairshare"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// admit takes a caller's request or refuses it. Every refusal here is true:
// nothing has been sent anywhere.
func (w *World) admit(request *Request) {
	if w.requests.Get(request.ID) != nil {
		return // it was brought twice
	}
	e := &entry{request: request, place: -1}
	e.queue = w.queue(request.Service, request.Account)
	w.requests.Put(request.ID, e)
	if result, refused := w.refuse(e); refused {
		w.finish(e, result)
		return
	}
	policy := w.accountPolicy(request.Account)
	e.queue.service.budget.earn(policy.RetryBudget)
	if request.Key != "" {
		w.beginClaim(e)
		return
	}
	w.enqueue(e)
}

// refuse checks the bounds that a new request must keep.
func (w *World) refuse(e *entry) (Result, bool) {
	request := e.request
	policy := w.accountPolicy(request.Account)
	if w.draining {
		return notRun(statusServiceUnavailable, CodeDraining, "this router is shutting down; use another one", 0), true
	}
	if policy.Disabled {
		return notRun(statusTooManyRequests, CodeAccountDisabled, "the client account is disabled", time.Minute), true
	}
	if w.convicted(request.Fingerprint) {
		return w.convictedResult(e), true
	}
	if !request.Deadline.After(w.now) {
		return notRun(statusServiceUnavailable, CodeDeadline, "the deadline had passed on arrival", 0), true
	}
	bucket := w.rates.GetOrCreate(request.Account, func() *rateBucket { return &rateBucket{} })
	if wait, ok := bucket.take(w.now, policy.RateLimit); !ok {
		return notRun(statusTooManyRequests, CodeRateLimited, "the client account's rate limit is reached", wait), true
	}
	queue := e.queue
	if policy.QueueRequests > 0 && queue.len() >= policy.QueueRequests {
		return notRun(statusTooManyRequests, CodeQueueFull, "too many requests of the client account wait", w.drainTime(queue)), true
	}
	if policy.QueueBytes > 0 && queue.bytes+request.Size() > policy.QueueBytes {
		return notRun(statusTooManyRequests, CodeQueueFull, "too many bytes of the client account wait", w.drainTime(queue)), true
	}
	if w.limits.WaitingBytes > 0 && w.bytes+request.Size() > w.limits.WaitingBytes {
		return notRun(statusServiceUnavailable, CodeQueueFull, "too many bytes of all client accounts wait", w.drainTime(queue)), true
	}
	return Result{}, false
}

// drainTime estimates when a caller should come back to a full queue: when its
// first request has either begun or passed its deadline.
func (w *World) drainTime(queue *accountQueue) time.Duration {
	const longest = 30 * time.Second
	return min(longest, queue.oldestDeadline().Sub(w.now))
}

func (w *World) queue(service fleet.Service, account fleet.Account) *accountQueue {
	row := w.service(service)
	queue, ok := row.queues[account]
	if !ok {
		queue = &accountQueue{service: row, account: account}
		row.queues[account] = queue
		hash := fairshare.AccountHash(account)
		row.hashes[hash] = append(row.hashes[hash], queue)
	}
	return queue
}

// enqueue puts a request into its account's queue.
func (w *World) enqueue(e *entry) {
	queue := e.queue
	e.state = stateWaiting
	e.attempt = nil
	delete(w.flying, e)
	if queue.len() == 0 {
		queue.service.clocks.begin(queue.account)
	}
	queue.push(e)
	w.bytes += e.request.Size()
	w.markOffers(queue)
}

// dequeue takes a waiting request out of its queue.
func (w *World) dequeue(e *entry) {
	if e.place < 0 {
		return
	}
	e.queue.remove(e)
	w.bytes -= e.request.Size()
}

// finish gives the final word on a request and forgets it.
func (w *World) finish(e *entry, result Result) {
	w.dequeue(e)
	w.markOffers(e.queue)
	delete(w.flying, e)
	delete(w.asking, e)
	delete(w.resuming, e)
	w.requests.Delete(e.request.ID)
	w.endClaim(e, result.Outcome)
	w.emit(Finish{Request: e.request, Result: result})
}

// finishNotRun refuses a request. When an earlier attempt may have run, saying
// so would be a lie that makes the caller send it again: then the outcome is
// unknown.
func (w *World) finishNotRun(e *entry, result Result) {
	if e.mayHaveRun {
		result = unknown(statusGatewayTimeout, result.Code, result.Message+"; an earlier attempt may have run")
	}
	w.finish(e, result)
}

// dropCaller forgets a request that nobody waits for any more.
func (w *World) dropCaller(id fleet.RequestID) {
	e := w.requests.Get(id)
	if e == nil {
		return
	}
	begun := e.attempt != nil
	w.cancel(e)
	w.answered(e)
	if begun {
		w.finish(e, unknown(statusGatewayTimeout, CodeCallerGone, "the caller has gone"))
		return
	}
	w.finishNotRun(e, notRun(statusServiceUnavailable, CodeCallerGone, "the caller has gone", 0))
}

// cancel tells the agent of the present attempt that nobody waits for the
// answer. An answer that another request made is not ours to cancel, and a
// request with a key may have others that joined it.
func (w *World) cancel(e *entry) {
	if e.attempt == nil || e.attempt.joined || e.attempt.agent == nil || e.request.Key != "" {
		return
	}
	w.emit(SendCancel{Request: e.request.ID, Agent: e.attempt.agent.node.Control})
}
