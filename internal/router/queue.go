package router

import (
	"container/heap"
	"math/bits"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// accountQueue holds what waits of one account for one service. The earliest
// deadline comes first, and among equal ones the first to arrive.
type accountQueue struct {
	service   *serviceRow
	account   fleet.Account
	entries   entryHeap
	bytes     int64
	bucket    int // of the count that offers were last compared with
	width     int // of the service's agents, how many are offered to
	widenAt   time.Time
	usualWait time.Duration // of its requests, until they are sent
	emptyAt   time.Time     // when it became empty; zero when it is not or nothing is offered
}

// countBucket changes when a count becomes 0 or positive, doubles or halves.
func countBucket(count int) int { return bits.Len(uint(count)) }

func (q *accountQueue) len() int { return len(q.entries) }

func (q *accountQueue) push(e *entry) {
	heap.Push(&q.entries, e)
	q.bytes += e.request.Size()
	q.service.waiting++
	q.service.backlog[q] = struct{}{}
}

func (q *accountQueue) remove(e *entry) {
	heap.Remove(&q.entries, e.place)
	q.bytes -= e.request.Size()
	q.service.waiting--
	if len(q.entries) == 0 {
		delete(q.service.backlog, q)
	}
}

// first returns the first entry, or nil.
func (q *accountQueue) first() *entry {
	if len(q.entries) == 0 {
		return nil
	}
	return q.entries[0]
}

// firstFor returns the first entry that may run at the agent, or nil. Entries
// are seldom excluded, so the first one nearly always fits.
func (q *accountQueue) firstFor(agent fleet.Address) *entry {
	first := q.first()
	if first == nil || !first.excludes(agent) {
		return first
	}
	var best *entry
	for _, candidate := range q.entries {
		if candidate.excludes(agent) {
			continue
		}
		if best == nil || before(candidate, best) {
			best = candidate
		}
	}
	return best
}

// oldestDeadline is the deadline of the first entry; zero when there is none.
func (q *accountQueue) oldestDeadline() time.Time {
	first := q.first()
	if first == nil {
		return time.Time{}
	}
	return first.request.Deadline
}

func before(a, b *entry) bool {
	if !a.request.Deadline.Equal(b.request.Deadline) {
		return a.request.Deadline.Before(b.request.Deadline)
	}
	return a.request.Arrived.Before(b.request.Arrived)
}

// entryHeap implements heap.Interface.
type entryHeap []*entry

func (h entryHeap) Len() int           { return len(h) }
func (h entryHeap) Less(i, j int) bool { return before(h[i], h[j]) }
func (h entryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place = i
	h[j].place = j
}

// Push implements heap.Interface.
func (h *entryHeap) Push(x any) {
	e := x.(*entry)
	e.place = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *entryHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	e.place = -1
	return e
}
