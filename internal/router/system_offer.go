package router

import (
	"time"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
)

// offerState is what an agent has been told of the work that waits here.
//
// An offer states what waits; it does not say what changed. A lost or doubled
// offer therefore does no harm: the next one puts it right, and the agent lets
// offers lapse that are not repeated.
type offerState struct {
	sent      map[fleet.Account]sentOffer
	pending   map[fleet.Account]struct{} // to be told
	acks      [][]byte
	declined  []uint64
	implied   map[fleet.Account]struct{} // of which a declined grant says that nothing waits
	dueAt     time.Time                  // when to send; zero when there is nothing to tell
	refreshAt time.Time
	sequence  uint64
	inFlight  bool
	full      bool // the next offer lists everything
}

// sentOffer is the last state that an agent was told of one account.
type sentOffer struct{ bucket int }

// unknownBucket makes a queue be compared with what each agent was told.
const unknownBucket = -1

// markOffers notes that a queue's count may have changed. What the agents are
// told of it is settled once per tick, so that a request that comes and goes
// within a tick costs no message.
func (w *World) markOffers(queue *accountQueue) {
	w.touched[queue] = struct{}{}
	w.offering[queue] = struct{}{}
}

// compareOffers finds the agents that must be told of a queue: those offered to
// that know nothing of it, and those that know a much smaller count. Other changes
// are not told, nor is a queue that has just become empty: most queues fill
// again within moments, and an agent that grants in vain hears of it in the
// reply. Telling all agents of each request that came and went was
// nine tenths of a router's control traffic.
func (w *World) compareOffers(queue *accountQueue) {
	bucket := countBucket(queue.len())
	if bucket == queue.bucket || bucket == 0 {
		queue.bucket = bucket
		return
	}
	queue.bucket = bucket
	for _, row := range queue.service.agents {
		sent, told := row.offer.sent[queue.account]
		if (told && sent.outdated(bucket)) || (!told && queue.offeredTo(row)) {
			w.pend(row, queue.account)
		}
	}
}

// outdated tells whether a count in bucket is so much larger than what an agent
// was told that it would grant too few slots. One that is smaller is not told:
// the agent learns of it with each dispatch and each declined grant, and slots
// become free one by one, so that it grants hardly more for a larger count.
func (s sentOffer) outdated(bucket int) bool { return bucket >= s.bucket+bucketTolerance }

// pend notes that an agent is to be told of an account.
func (w *World) pend(row *agentRow, account fleet.Account) {
	if row.offer.pending == nil {
		row.offer.pending = make(map[fleet.Account]struct{})
	}
	row.offer.pending[account] = struct{}{}
	w.due(row, offerCoalesce)
}

// due sees to it that an offer goes out within delay.
func (w *World) due(row *agentRow, delay time.Duration) {
	row.offer.dueAt = earlier(row.offer.dueAt, w.now.Add(delay))
	w.wakeOffers(row.offer.dueAt)
	w.offered[row] = struct{}{}
}

// resendOffers tells an agent everything again that has forgotten it.
func (w *World) resendOffers(row *agentRow) {
	row.offer.sent = nil
	row.offer.full = true
	row.offer.inFlight = false
	w.wakeOffers(row.offer.dueAt)
	for account, queue := range row.service.queues {
		if queue.len() > 0 && queue.offeredTo(row) {
			w.pend(row, account)
		}
	}
}

// runOffers widens the subsets of queues whose requests wait long, and sends
// the offers that are due.
func (w *World) runOffers(now time.Time) {
	for queue := range w.touched {
		w.compareOffers(queue)
		w.widen(queue)
	}
	clear(w.touched)
	w.sweepWidths(now)
	if w.offerAt.IsZero() || now.Before(w.offerAt) {
		return
	}
	for row := range w.offered {
		if !row.offer.refreshAt.IsZero() && !now.Before(row.offer.refreshAt) {
			w.refresh(row)
		}
		if row.offer.inFlight || row.offer.dueAt.IsZero() || now.Before(row.offer.dueAt) {
			continue
		}
		w.sendOffer(row)
	}
	w.offerAt = w.nextOffer()
}

// wakeOffers sees to it that the agents with something to be told are looked at
// by a time. A look at all of them at each tick would cost more than the ticks
// themselves.
func (w *World) wakeOffers(at time.Time) {
	if !at.IsZero() {
		w.offerAt = earlier(w.offerAt, at)
	}
}

// refresh repeats what an agent was told, before it lets it lapse.
func (w *World) refresh(row *agentRow) {
	row.offer.refreshAt = time.Time{}
	for account := range row.offer.sent {
		w.pend(row, account)
	}
}

// pendWithdrawals lets the withdrawals of empty queues ride on a message that
// goes out anyway. Where many accounts have a request now and then, an agent
// that knows them still would grant to each in vain, a message for each.
func (w *World) pendWithdrawals(row *agentRow) {
	for account := range row.offer.sent {
		if queue := row.service.queues[account]; queue != nil && queue.len() == 0 {
			w.pend(row, account)
		}
	}
}

// sendOffer tells an agent all that is pending, in one message.
func (w *World) sendOffer(row *agentRow) {
	state := &row.offer
	w.pendWithdrawals(row)
	message := &rpc.OfferRequest{
		Full:         state.full,
		Acknowledged: state.acks,
		Declined:     state.declined,
	}
	for account := range state.pending {
		if !row.takesWork() {
			continue
		}
		offer := w.accountOffer(row, account)
		if _, implied := state.implied[account]; implied && offer.Count == 0 {
			continue
		}
		message.Offers = append(message.Offers, offer)
	}
	state.pending = nil
	state.acks = nil
	state.declined = nil
	state.implied = nil
	state.full = false
	state.dueAt = time.Time{}
	// One count serves all agents: an agent that leaves the list and comes back
	// gets a new row, and would drop offers that count from 1 again.
	w.lastOffer++
	state.sequence = w.lastOffer
	state.inFlight = true
	message.Sequence = state.sequence
	if len(state.sent) > 0 {
		state.refreshAt = w.now.Add(offerRefresh)
		w.wakeOffers(state.refreshAt)
	}
	w.emit(SendOffer{Agent: row.node.Control, Message: message})
}

// accountOffer states what waits of an account and notes that the agent is
// told.
func (w *World) accountOffer(row *agentRow, account fleet.Account) *rpc.AccountOffer {
	offer := &rpc.AccountOffer{Account: string(account)}
	queue := row.service.queues[account]
	if queue == nil || queue.len() == 0 {
		delete(row.offer.sent, account)
		return offer
	}
	w.noteTold(row, account, queue.len())
	first := queue.first().request
	offer.Count = uint32(queue.len())
	offer.OldestDeadlineMs = first.Deadline.UnixMilli()
	offer.EstimatedCost = uint64(row.service.clocks.estimate(account, first.Cost))
	return offer
}

// noteTold notes what an agent knows of an account, from an offer, a reply or
// a dispatch that it refused.
func (w *World) noteTold(row *agentRow, account fleet.Account, count int) {
	if row.offer.sent == nil {
		row.offer.sent = make(map[fleet.Account]sentOffer)
	}
	if count > 0 {
		row.offer.sent[account] = sentOffer{bucket: countBucket(count)}
	} else {
		delete(row.offer.sent, account)
	}
	if queue := row.service.queues[account]; queue != nil {
		queue.bucket = unknownBucket
		w.markOffers(queue)
	}
	if row.offer.refreshAt.IsZero() && len(row.offer.sent) > 0 {
		row.offer.refreshAt = w.now.Add(offerRefresh)
		w.wakeOffers(row.offer.refreshAt)
	}
	w.offered[row] = struct{}{}
}

// noteForgotten notes that an agent knows nothing of an account any more.
func (w *World) noteForgotten(row *agentRow, account fleet.Account) { w.noteTold(row, account, 0) }

// takeOfferReply learns from the reply whether the agent has free slots. A
// failed offer is told again: the agent may or may not have got it.
func (w *World) takeOfferReply(event OfferReplied) {
	row := w.agents.Get(event.Agent)
	if row == nil || event.Sequence != row.offer.sequence {
		return
	}
	row.offer.inFlight = false
	w.wakeOffers(row.offer.dueAt)
	if event.Failed {
		w.retell(row)
		return
	}
	w.hear(row, int(event.FreeSlots))
	if event.Resend {
		w.resendOffers(row)
	}
}

// retell repeats to an agent, after a pause, what a lost offer said.
func (w *World) retell(row *agentRow) {
	for account := range row.offer.sent {
		w.pend(row, account)
	}
	row.offer.dueAt = time.Time{}
	if len(row.offer.sent) > 0 {
		w.due(row, resumePause)
	}
}

// hear takes in an agent's word on its free slots.
func (w *World) hear(row *agentRow, free int) {
	row.heard = free
	row.heardAt = w.now
}

// acknowledge tells an agent that an answer has been handed out, so that it
// can forget it. The word rides on the next dispatch or offer to the agent; a
// message of its own is sent only when there is none for long. Answers to requests
// with a key are kept for their retention, because another try of the same
// caller may ask for them.
func (w *World) acknowledge(e *entry) {
	row := e.attempt.agent
	if row == nil || e.attempt.joined || e.request.Key != "" {
		return
	}
	if len(row.offer.acks) >= maxPendingAcks {
		return
	}
	id := e.request.ID
	row.offer.acks = append(row.offer.acks, id[:])
	delay := ackDelay
	if w.draining {
		delay = offerCoalesce
	}
	w.due(row, delay)
}

// beginDrain takes no new requests and acknowledges at once from now on.
func (w *World) beginDrain() {
	w.draining = true
	for row := range w.offered {
		if len(row.offer.acks) > 0 {
			w.due(row, offerCoalesce)
		}
	}
}

// takeAcks returns the acknowledgements that ride on a dispatch to the agent.
func (a *agentRow) takeAcks() [][]byte {
	acks := a.offer.acks
	a.offer.acks = nil
	return acks
}

// nextOffer is when the next offer or refresh is due.
func (w *World) nextOffer() time.Time {
	var next time.Time
	for row := range w.offered {
		state := &row.offer
		next = earlier(next, state.refreshAt)
		if !state.inFlight {
			next = earlier(next, state.dueAt)
		}
		if state.refreshAt.IsZero() && state.dueAt.IsZero() {
			delete(w.offered, row)
		}
	}
	return next
}
