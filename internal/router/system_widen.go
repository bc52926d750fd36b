package router

import "time"

// offeredTo tells whether an agent is among those that the queue is offered to.
func (q *accountQueue) offeredTo(row *agentRow) bool {
	return row.rank >= 0 && row.rank < q.width
}

// widen sets how many agents a queue is offered to: the first few when requests
// begin to wait, twice as many each time that they have gone on waiting for as
// long as the queue's requests usually do, and for WidenInterval at least.
// Offers to all at once would cost every router a message to every agent at
// each burst. Where an account waits because others come first by their clocks,
// more agents would not serve it sooner; each would only grant in vain later.
func (w *World) widen(queue *accountQueue) {
	if queue.len() == 0 {
		w.widenEmpty(queue)
		return
	}
	queue.emptyAt = time.Time{}
	service := queue.service
	switch {
	case queue.width == 0:
		queue.width = max(1, service.policy.OfferSubset)
	case queue.width < len(service.agents) && !w.now.Before(queue.widenAt):
		queue.width *= 2
	default:
		return
	}
	patience := min(queue.usualWait, maxUsualWait)
	queue.widenAt = w.now.Add(max(service.policy.WidenInterval, offerCoalesce, patience))
	w.offerQueue(queue)
}

// waited notes how long a request of the queue has waited until it was sent.
func (q *accountQueue) waited(wait time.Duration) {
	q.usualWait += (wait - q.usualWait) / usualWaitRequests
}

// widenEmpty begins anew with the first agents, and withdraws the offers of a
// queue that stays empty.
func (w *World) widenEmpty(queue *accountQueue) {
	queue.width = 0
	if queue.emptyAt.IsZero() {
		queue.emptyAt = w.now
	}
	if w.now.Sub(queue.emptyAt) < withdrawDelay {
		return
	}
	queue.emptyAt = time.Time{}
	delete(w.offering, queue)
	for _, row := range queue.service.agents {
		if _, told := row.offer.sent[queue.account]; told {
			w.pend(row, queue.account)
		}
	}
}

// offerQueue offers a queue to those of its agents that know nothing of it.
func (w *World) offerQueue(queue *accountQueue) {
	if queue.len() == 0 {
		return
	}
	for _, row := range queue.service.agents {
		if _, told := row.offer.sent[queue.account]; !told && queue.offeredTo(row) {
			w.pend(row, queue.account)
		}
	}
}

// offerAll offers what waits for a service after its agents changed.
func (w *World) offerAll(service *serviceRow) {
	for rank, row := range service.agents {
		row.rank = rank
	}
	for _, queue := range service.queues {
		w.offerQueue(queue)
	}
}

// sweepWidths widens the subsets of queues that go on waiting and withdraws
// empty ones, once per sweepInterval.
func (w *World) sweepWidths(now time.Time) {
	if now.Before(w.widenSweepAt) {
		return
	}
	w.widenSweepAt = now.Add(sweepInterval)
	for queue := range w.offering {
		w.widen(queue)
	}
}

// nextWidening is when the widths are looked at next.
func (w *World) nextWidening() time.Time {
	if len(w.offering) == 0 {
		return time.Time{}
	}
	return w.widenSweepAt
}
