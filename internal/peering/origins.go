package peering

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
	"github.com/bluebellchute/bluebellchute/internal/peering/peeringpb"
	"github.com/bluebellchute/bluebellchute/internal/streamorigin"
)

// queryIntervals are the times for which a query waits for answers before it is sent again to
// the routers that have not answered. After the last one the origin counts as unknown. An
// answer takes some milliseconds, longer on a busy VM; a caller waits meanwhile.
var queryIntervals = []time.Duration{30 * time.Millisecond, 70 * time.Millisecond, 150 * time.Millisecond}

// origins holds the origins of streams that this router keeps, and its queries for others.
type origins struct {
	table   *streamorigin.Table
	network atomic.Pointer[Network] // nil before Run

	mu      sync.Mutex
	queries map[*originQuery]bool
}

// originQuery is a query in progress.
type originQuery struct {
	stream streamorigin.Stream
	done   chan struct{} // closed when software is known or all have answered

	mu       sync.Mutex
	waiting  []fleet.Address // routers that have not answered
	software knowledge.SoftwareID
	ended    bool
}

func newOrigins() *origins {
	return &origins{table: streamorigin.NewTable(), queries: make(map[*originQuery]bool)}
}

// RecordOrigin implements gate.StreamOrigins. It sends the origin to the routers that keep it,
// without waiting for them.
func (m *Manager) RecordOrigin(stream streamorigin.Stream, software knowledge.SoftwareID, lasts time.Duration) {
	now := boottime.Now()
	m.origins.table.Set(stream, streamorigin.Origin{Software: software, Until: now.Add(lasts)}, now)
	message := &peeringpb.StreamOrigin{Stream: uint64(stream), Software: uint64(software), LastsMs: uint32(lasts.Milliseconds())}
	m.sendOrigin(message, streamorigin.Holders(stream, m.zone, m.originRouters(now))...)
}

// FindOrigin implements gate.StreamOrigins. It asks the routers that may keep the origin.
func (m *Manager) FindOrigin(ctx context.Context, stream streamorigin.Stream) knowledge.SoftwareID {
	now := boottime.Now()
	if origin, known := m.origins.table.Find(stream, now); known {
		return origin.Software
	}
	query := &originQuery{stream: stream, done: make(chan struct{}), waiting: streamorigin.Asked(stream, m.originRouters(now))}
	m.origins.add(query)
	defer m.origins.remove(query)
	for _, interval := range queryIntervals {
		silent := query.silent()
		if len(silent) == 0 {
			break
		}
		m.sendOrigin(&peeringpb.StreamOrigin{Stream: uint64(stream), Asks: true}, silent...)
		timer := time.NewTimer(interval)
		select {
		case <-query.done:
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
		if query.over() || ctx.Err() != nil {
			break
		}
	}
	return query.result()
}

// sendOrigin sends a message on the origin of a stream.
func (m *Manager) sendOrigin(origin *peeringpb.StreamOrigin, targets ...fleet.Address) {
	network := m.origins.network.Load()
	if len(targets) == 0 || network == nil {
		return
	}
	data, err := proto.Marshal(&peeringpb.Beat{Address: string(m.options.Address), StreamOrigin: origin})
	if err != nil {
		panic(err) // only invalid UTF-8 can't be encoded
	}
	for _, target := range targets {
		(*network).Send(data, target)
		m.traffic.count(messageOrigin, m.inOwnZone(target), len(data))
	}
}

// handleOrigin applies a message on the origin of a stream.
func (m *Manager) handleOrigin(sender fleet.Address, message *peeringpb.StreamOrigin, now boottime.Instant) {
	stream := streamorigin.Stream(message.Stream)
	if message.Asks {
		m.sendOrigin(m.originAnswer(stream, now), sender)
		return
	}
	software := knowledge.SoftwareID(message.Software)
	if software != 0 {
		until := now.Add(time.Duration(message.LastsMs) * time.Millisecond)
		m.origins.table.Set(stream, streamorigin.Origin{Software: software, Until: until}, now)
	}
	if message.Answers {
		m.origins.answered(stream, sender, software)
	}
}

// originAnswer returns the answer to a query for the origin of a stream.
func (m *Manager) originAnswer(stream streamorigin.Stream, now boottime.Instant) *peeringpb.StreamOrigin {
	answer := &peeringpb.StreamOrigin{Stream: uint64(stream), Answers: true}
	if origin, known := m.origins.table.Find(stream, now); known {
		answer.Software, answer.LastsMs = uint64(origin.Software), uint32(origin.Until.Sub(now).Milliseconds())
	}
	return answer
}

func (o *origins) add(query *originQuery) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.queries[query] = true
}

func (o *origins) remove(query *originQuery) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.queries, query)
}

// answered passes an answer to the queries for the stream.
func (o *origins) answered(stream streamorigin.Stream, router fleet.Address, software knowledge.SoftwareID) {
	o.mu.Lock()
	queries := lo.Filter(lo.Keys(o.queries), func(query *originQuery, _ int) bool { return query.stream == stream })
	o.mu.Unlock()
	for _, query := range queries {
		query.answered(router, software)
	}
}

// answered records the answer of a router, software 0 if it does not know.
func (q *originQuery) answered(router fleet.Address, software knowledge.SoftwareID) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting = lo.Without(q.waiting, router)
	if q.ended {
		return
	}
	q.software = software
	if software != 0 || len(q.waiting) == 0 {
		q.ended = true
		close(q.done)
	}
}

// silent returns the routers that have not answered.
func (q *originQuery) silent() []fleet.Address {
	q.mu.Lock()
	defer q.mu.Unlock()
	return slices.Clone(q.waiting)
}

func (q *originQuery) over() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.ended
}

func (q *originQuery) result() knowledge.SoftwareID {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.software
}

// originRouters returns the reachable routers, of which some keep the origins of streams.
func (t *table) originRouters(now boottime.Instant) []streamorigin.Router {
	t.mu.Lock()
	defer t.mu.Unlock()
	routers := make([]streamorigin.Router, 0, len(t.peers))
	for address, peer := range t.peers {
		if t.reachable(peer, now) {
			routers = append(routers, streamorigin.Router{Address: address, Hash: peer.hash, Zone: peer.zone})
		}
	}
	return routers
}
