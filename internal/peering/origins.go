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
	network atomic.Pointer[Network]    // nil before Run
	plan    atomic.Pointer[originPlan] // nil without a journal

	wantOnce  sync.Once
	wanted    chan struct{}    // closed when the records of earlier processes are to be read
	waitUntil boottime.Instant // for them; set by wantOnce
	readOnce  sync.Once
	read      chan struct{} // closed when they have been read

	slots   chan struct{} // one for each query in progress
	mu      sync.Mutex
	queries map[*originQuery]bool
}

// originQuery is a query in progress.
type originQuery struct {
	stream streamorigin.Stream
	done   chan struct{} // closed when the origin is known or all have answered

	mu      sync.Mutex
	waiting []fleet.Address // routers that have not answered
	origin  streamorigin.Origin
	known   bool // a router knows the origin
	ended   bool
}

func newOrigins() *origins {
	return &origins{
		table:   streamorigin.NewTable(),
		slots:   make(chan struct{}, maxQueries),
		queries: make(map[*originQuery]bool),
		wanted:  make(chan struct{}),
		read:    make(chan struct{}),
	}
}

// RecordOrigin implements gate.StreamOrigins. It sends the origin to the routers that keep it and
// to the one that writes it, without waiting for them.
func (m *Manager) RecordOrigin(stream streamorigin.Stream, software knowledge.SoftwareID, lasts time.Duration) {
	now := boottime.Now()
	origin := streamorigin.Origin{Software: software, Until: now.Add(lasts)}
	if m.origins.table.Set(stream, origin, now) {
		m.tellAmbiguous(stream, lasts)
	}
	message := &peeringpb.StreamOrigin{Stream: uint64(stream), Software: uint64(software), LastsMs: uint32(lasts.Milliseconds())}
	targets := m.chooseRouters(now, func(routers []streamorigin.Router) []fleet.Address {
		return streamorigin.Holders(stream, m.zone, routers)
	})
	if writer := m.journalOrigin(stream, origin, now); writer != "" && !slices.Contains(targets, writer) {
		targets = append(targets, writer)
	}
	m.sendOrigin(message, targets...)
}

// maxDirectoryWait bounds the time for which a router that has just started waits for the
// addresses of the others. Callers that reconnect after their router was killed come to it again
// as soon as it is back, when it may know none that keeps their streams.
const maxDirectoryWait = 300 * time.Millisecond

// FindOrigin implements gate.StreamOrigins. It asks the routers that may keep the origin. If none
// knows, a router that has started lately waits for the records of earlier processes.
func (m *Manager) FindOrigin(ctx context.Context, stream streamorigin.Stream) (streamorigin.Origin, bool) {
	if origin, known := m.origins.table.Find(stream, boottime.Now()); known {
		return origin, true
	}
	asked := m.askedRouters(stream)
	origin, known := m.askOrigin(ctx, stream, asked, 0)
	if !known {
		m.wantStoredOrigins(boottime.Now()) // both waits begin now
	}
	if !known && m.awaitDirectory(ctx) {
		origin, known = m.askOrigin(ctx, stream, lo.Without(m.askedRouters(stream), asked...), maxDirectoryWait)
	}
	if known {
		return origin, true
	}
	m.awaitStoredOrigins(ctx)
	return m.origins.table.Find(stream, boottime.Now())
}

// askedRouters returns the routers to ask for the origin of a stream.
func (m *Manager) askedRouters(stream streamorigin.Stream) []fleet.Address {
	return m.chooseRouters(boottime.Now(), func(routers []streamorigin.Router) []fleet.Address { return streamorigin.Asked(stream, routers) })
}

// awaitDirectory waits until a router that has just started has read the directory. It returns
// false if there is nothing to wait for, or if the directory does not come in time.
func (m *Manager) awaitDirectory(ctx context.Context) bool {
	if !m.starting(boottime.Now()) || m.options.Directory == nil || m.directoryRead.Load() {
		return false
	}
	timer := time.NewTimer(maxDirectoryWait)
	defer timer.Stop()
	select {
	case <-m.directoryListed:
		return true
	case <-ctx.Done():
	case <-timer.C:
	}
	return false
}

// starting reports whether the router has started lately and may not have heard all others.
func (m *Manager) starting(now boottime.Instant) bool { return now.Sub(m.started) < settlePeriod }

// askOrigin asks the routers for the origin of a stream. While too many queries are in progress, it
// waits for so long.
func (m *Manager) askOrigin(ctx context.Context, stream streamorigin.Stream, targets []fleet.Address, wait time.Duration) (streamorigin.Origin, bool) {
	query := &originQuery{stream: stream, done: make(chan struct{}), waiting: targets}
	if !m.origins.add(query) && !m.origins.addWithin(ctx, query, wait) {
		return streamorigin.Origin{}, false
	}
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
	origin := streamorigin.Origin{Software: knowledge.SoftwareID(message.Software), Until: now.Add(time.Duration(message.LastsMs) * time.Millisecond)}
	known := message.LastsMs > 0
	if message.Answers && !m.origins.answered(stream, sender, origin, known) {
		return // not asked for
	}
	if !known {
		return
	}
	if m.origins.table.Set(stream, origin, now) {
		m.tellAmbiguous(stream, origin.Until.Sub(now), sender)
	}
	if !message.Answers {
		m.journalReceived(sender, stream, origin, now)
	}
}

// tellAmbiguous tells the routers that may keep one record of a stream, and the given ones, that
// streams of several versions began with its id. Which routers keep a record depends on the one
// that began the stream, but the first of the stream's order is always among them, unless it began
// the stream itself, so it knows of all.
func (m *Manager) tellAmbiguous(stream streamorigin.Stream, lasts time.Duration, routers ...fleet.Address) {
	message := &peeringpb.StreamOrigin{Stream: uint64(stream), Software: uint64(streamorigin.Ambiguous), LastsMs: uint32(lasts.Milliseconds())}
	m.sendOrigin(message, lo.Union(m.askedRouters(stream), routers)...)
}

// originAnswer returns the answer to a query for the origin of a stream.
func (m *Manager) originAnswer(stream streamorigin.Stream, now boottime.Instant) *peeringpb.StreamOrigin {
	answer := &peeringpb.StreamOrigin{Stream: uint64(stream), Answers: true}
	if origin, known := m.origins.table.Find(stream, now); known {
		answer.Software, answer.LastsMs = uint64(origin.Software), uint32(origin.Until.Sub(now).Milliseconds())
	} else {
		m.wantStoredOrigins(now) // for the caller's next try
	}
	return answer
}

// maxQueries bounds the queries in progress. Callers may name any number of attempts that no
// router knows.
const maxQueries = 256

// add adds a query, unless too many are in progress.
func (o *origins) add(query *originQuery) bool {
	select {
	case o.slots <- struct{}{}:
	default:
		return false
	}
	o.insert(query)
	return true
}

// addWithin adds a query once there are few enough in progress, unless that takes too long.
func (o *origins) addWithin(ctx context.Context, query *originQuery, wait time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	select {
	case o.slots <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	o.insert(query)
	return true
}

func (o *origins) insert(query *originQuery) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.queries[query] = true
}

func (o *origins) remove(query *originQuery) {
	o.mu.Lock()
	delete(o.queries, query)
	o.mu.Unlock()
	<-o.slots
}

// answered passes an answer to the queries for the stream, and reports whether one of them
// waits for the router's.
func (o *origins) answered(stream streamorigin.Stream, router fleet.Address, origin streamorigin.Origin, known bool) bool {
	o.mu.Lock()
	queries := lo.Filter(lo.Keys(o.queries), func(query *originQuery, _ int) bool { return query.stream == stream })
	o.mu.Unlock()
	waited := false
	for _, query := range queries {
		waited = query.answered(router, origin, known) || waited
	}
	return waited
}

// answered records the answer of a router, and reports whether the query waited for it.
func (q *originQuery) answered(router fleet.Address, origin streamorigin.Origin, known bool) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !slices.Contains(q.waiting, router) {
		return false
	}
	q.waiting = lo.Without(q.waiting, router)
	if q.ended {
		return true
	}
	q.origin, q.known = origin, known
	if known || len(q.waiting) == 0 {
		q.ended = true
		close(q.done)
	}
	return true
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

func (q *originQuery) result() (streamorigin.Origin, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.origin, q.known
}

// chooseRouters returns what choose picks among the reachable routers. If this one has just started,
// it adds what choose picks among all listed ones, of which some may be gone.
func (m *Manager) chooseRouters(now boottime.Instant, choose func(routers []streamorigin.Router) []fleet.Address) []fleet.Address {
	heard := m.originRouters(now, false)
	chosen := choose(heard)
	if m.starting(now) {
		if listed := m.originRouters(now, true); len(listed) > len(heard) {
			chosen = lo.Union(chosen, choose(listed))
		}
	}
	return chosen
}

// originRouters returns the reachable routers, or with listed all whose addresses are known.
func (t *table) originRouters(now boottime.Instant, listed bool) []streamorigin.Router {
	t.mu.Lock()
	defer t.mu.Unlock()
	routers := make([]streamorigin.Router, 0, len(t.peers))
	for address, peer := range t.peers {
		if listed || t.reachable(peer, now) {
			routers = append(routers, streamorigin.Router{Address: address, Hash: peer.hash, Zone: peer.zone})
		}
	}
	return routers
}
