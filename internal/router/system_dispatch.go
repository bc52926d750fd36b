package router

import (
	"time"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// runDispatch sends waiting requests to agents that are believed to have a
// free slot.
func (w *World) runDispatch(time.Time) {
	w.services.Each(func(_ fleet.Service, service *serviceRow) {
		for service.waiting > 0 && w.dispatchOne(service) {
		}
	})
}

// dispatchOne sends the next request of a service and reports whether one
// could be sent.
func (w *World) dispatchOne(service *serviceRow) bool {
	if service.waiting > 1 && !service.anyFree() {
		return false
	}
	queue := service.nextQueue(anyHead)
	if queue == nil {
		return false
	}
	agent := w.chooseAgent(queue.first())
	if agent == nil && len(queue.first().excluded) > 0 {
		// A request that few agents may run must not hold up the others.
		queue = service.nextQueue(unrestrictedHead)
		if queue == nil {
			return false
		}
		agent = w.chooseAgent(queue.first())
	}
	if agent == nil {
		return false
	}
	w.dispatch(queue.first(), agent, 0, time.Time{})
	return true
}

// anyFree tells whether an agent is believed to have a free slot.
func (s *serviceRow) anyFree() bool {
	for _, row := range s.agents {
		if row.free() > 0 {
			return true
		}
	}
	return false
}

// headFilter chooses queues by their first request.
type headFilter func(first *entry) bool

func anyHead(*entry) bool { return true }

// unrestrictedHead leaves out requests that some agents must not run.
func unrestrictedHead(first *entry) bool { return len(first.excluded) == 0 }

// nextQueue picks the account with the smallest local clock among those whose
// first waiting request passes the filter.
func (s *serviceRow) nextQueue(filter headFilter) *accountQueue {
	var best *accountQueue
	for queue := range s.backlog {
		if !filter(queue.first()) {
			continue
		}
		if best == nil || s.comesFirst(queue, best) {
			best = queue
		}
	}
	return best
}

func (s *serviceRow) comesFirst(a, b *accountQueue) bool {
	clockA, clockB := s.clocks.value(a.account), s.clocks.value(b.account)
	if clockA != clockB {
		return clockA < clockB
	}
	return before(a.first(), b.first())
}

// chooseAgent picks an agent that is believed to have a free slot: of two
// random ones the one with more room, in the router's own zone if there are
// any. Two random choices spread the routers' requests without any exchange,
// where "the freest" would send them all to the same agent.
func (w *World) chooseAgent(e *entry) *agentRow {
	service := e.queue.service
	near, far := w.candidates(service, e)
	candidates := near
	if len(candidates) == 0 {
		candidates = far
	}
	if len(candidates) == 0 {
		return w.probe(service, e)
	}
	first := candidates[w.random.IntN(len(candidates))]
	second := candidates[w.random.IntN(len(candidates))]
	if second.free() > first.free() {
		return second
	}
	if second.free() == first.free() && service.holdsPrefix(second, e) {
		return second
	}
	return service.preferPrefix(first, e)
}

// candidates returns the agents believed free, in the router's own zone and
// elsewhere.
func (w *World) candidates(service *serviceRow, e *entry) (near, far []*agentRow) {
	w.near, w.far = w.near[:0], w.far[:0]
	for _, row := range service.agents {
		if row.free() <= 0 || e.excludes(row.node.Control) {
			continue
		}
		if w.distance(row) == 0 {
			w.near = append(w.near, row)
		} else {
			w.far = append(w.far, row)
		}
	}
	return w.near, w.far
}

// probe picks an agent whose last word that it was full is old. Only a lone
// request that nobody refused yet may probe: under load the offers tell sooner
// and cheaper who is free.
func (w *World) probe(service *serviceRow, e *entry) *agentRow {
	if service.waiting > 1 || e.refusals > 0 {
		return nil
	}
	for _, row := range service.agents {
		if row.unanswered == 0 && w.now.Sub(row.heardAt) > beliefAge && !e.excludes(row.node.Control) {
			return row
		}
	}
	return nil
}

// holdsPrefix tells whether the agent ran a request with the same beginning
// last.
func (s *serviceRow) holdsPrefix(row *agentRow, e *entry) bool {
	return e.request.Prefix != 0 && s.prefixes[e.request.Prefix] == row
}

// preferPrefix returns the agent that holds the request's beginning in place
// of the chosen one when the two are otherwise equal.
func (s *serviceRow) preferPrefix(chosen *agentRow, e *entry) *agentRow {
	if e.request.Prefix == 0 {
		return chosen
	}
	holder := s.prefixes[e.request.Prefix]
	if holder == nil || !holder.takesWork() || holder.free() < chosen.free() {
		return chosen
	}
	if holder.node.Zone != chosen.node.Zone || e.excludes(holder.node.Control) {
		return chosen
	}
	return holder
}

func (s *serviceRow) notePrefix(row *agentRow, e *entry) {
	if e.request.Prefix == 0 {
		return
	}
	if len(s.prefixes) >= maxPrefixes {
		clear(s.prefixes)
	}
	s.prefixes[e.request.Prefix] = row
}

// dispatch sends a waiting request to an agent. A grant of 0 stands for the
// belief that the agent has a free slot.
func (w *World) dispatch(e *entry, agent *agentRow, grant uint64, useBy time.Time) {
	service := e.queue.service
	w.dequeue(e)
	e.queue.waited(w.now.Sub(e.request.Arrived))
	w.markOffers(e.queue)
	e.attempts++
	e.state = stateSent
	e.brokenAt = time.Time{}
	e.resumeAt = time.Time{}
	e.attempt = &attempt{
		number:   e.attempts,
		agent:    agent,
		data:     agent.node.Data,
		grant:    grant,
		believed: grant == 0,
		waiting:  e.queue.len(),
		suspect:  e.crashes > 0 || w.suspected(e.request.Fingerprint),
		estimate: service.clocks.estimate(e.queue.account, e.request.Cost),
	}
	if grant == 0 {
		agent.unanswered++
	}
	w.chargeEstimate(e, 1)
	service.clocks.serve(e.queue.account)
	service.notePrefix(agent, e)
	w.flying[e] = struct{}{}
	w.emit(SendRun{
		Attempt: e.attemptID(),
		Request: e.request,
		Agent:   agent.node,
		Grant:   grant,
		UseBy:   useBy,
		Suspect: e.attempt.suspect,
		Waiting: uint32(e.queue.len()),
		Acks:    agent.takeAcks(),
		Guards:  e.guards(),
		Silence: service.silence(),
	})
}

// chargeEstimate adds the attempt's estimate to the account's clock, or takes
// it back with a sign of -1.
func (w *World) chargeEstimate(e *entry, sign float64) {
	weight := w.accountPolicy(e.queue.account).Weight
	e.queue.service.clocks.charge(e.queue.account, weight, sign*e.attempt.estimate)
}

// guards are those that were asked for the request's key.
func (e *entry) guards() []fleet.Address {
	if e.claim == nil {
		return nil
	}
	return e.claim.asked
}

func (e *entry) attemptID() AttemptID {
	return AttemptID{Request: e.request.ID, Number: e.attempt.number}
}

// requeue puts a request back that has not run, so that it goes elsewhere or
// waits for a grant.
func (w *World) requeue(e *entry) {
	w.answered(e)
	if !e.attempt.joined {
		w.chargeEstimate(e, -1)
	}
	if w.nowhereLeft(e) {
		w.finishNotRun(e, notRun(statusServiceUnavailable, CodeNoBackend, "no backend server of the service can take this request any more", 0))
		return
	}
	w.enqueue(e)
}

// nowhereLeft tells whether every agent of the service has forbidden itself to
// run the request. Waiting on would hold its caller back for nothing.
func (w *World) nowhereLeft(e *entry) bool {
	agents := e.queue.service.agents
	if len(e.excluded) == 0 || len(agents) == 0 {
		return false
	}
	for _, row := range agents {
		if !e.excludes(row.node.Control) {
			return false
		}
	}
	return true
}

// answered notes that an agent's first word on a dispatch has come, or never
// will.
func (w *World) answered(e *entry) {
	if e.attempt == nil || !e.attempt.believed {
		return
	}
	e.attempt.believed = false
	e.attempt.agent.unanswered--
}
