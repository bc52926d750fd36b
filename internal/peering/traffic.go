package peering

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/event"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/peering/peeringpb"
)

// messageKind is the kind of a message between routers, as a metric label.
type messageKind string

const (
	messageHeartbeat messageKind = "beat"    // a heartbeat without aggregates; with the sender's own usage within its zone
	messageAggregate messageKind = "sums"    // a heartbeat that carries aggregates of zones
	messageOrigin    messageKind = "origins" // where streams began, queries for it and answers
	messageEvidence  messageKind = "crashes" // which prompt segments crash backend servers
	messagePull      messageKind = "pull"    // fleet state pulled from another router, in full
	messageChanges   messageKind = "changes" // the same, as changes
)

// trafficLogInterval is the interval between log entries on traffic between routers.
const trafficLogInterval = 10 * time.Second

// traffic counts the heartbeats that this router sends and the replies that it pulls.
type traffic struct {
	logger   logrus.FieldLogger
	bytes    *prometheus.CounterVec
	messages *prometheus.CounterVec

	mu            sync.Mutex
	bytesSinceLog map[string]int // by message kind and zone
	nextLogAt     boottime.Instant
}

func newTraffic(logger logrus.FieldLogger, now boottime.Instant) *traffic {
	labels := []string{"message", "zone"}
	return &traffic{
		logger: logger,
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bluebell_gate_peer_bytes_total",
			Help: "Bytes of heartbeats sent to other routers and of fleet state pulled from them, by message and availability zone (own or other).",
		}, labels),
		messages: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bluebell_gate_peer_messages_total",
			Help: "Heartbeats sent to other routers and pulls that they answered, by message and availability zone (own or other).",
		}, labels),
		bytesSinceLog: make(map[string]int),
		nextLogAt:     now.Add(trafficLogInterval),
	}
}

// count counts a message of the given size, sent to or pulled from a router of this zone
// or another.
func (t *traffic) count(what messageKind, own bool, size int) {
	zone := "other"
	if own {
		zone = "own"
	}
	t.bytes.WithLabelValues(string(what), zone).Add(float64(size))
	t.messages.WithLabelValues(string(what), zone).Inc()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.bytesSinceLog[string(what)+" "+zone] += size
}

// log writes the byte counts if trafficLogInterval has passed since the last entry.
func (t *traffic) log(now boottime.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now < t.nextLogAt || len(t.bytesSinceLog) == 0 {
		return
	}
	t.nextLogAt = now.Add(trafficLogInterval)
	event.GatePeerTraffic.Log(t.logger, logrus.Fields{"bytes": t.bytesSinceLog})
	t.bytesSinceLog = make(map[string]int)
}

// countPulled counts a reply that was pulled from a router.
func (m *Manager) countPulled(router fleet.Address, reply *peeringpb.PullReply) {
	what := messagePull
	if reply.Changes {
		what = messageChanges
	}
	m.traffic.count(what, m.inOwnZone(router), proto.Size(reply))
}

// Register registers the message counters.
func (m *Manager) Register(registerer prometheus.Registerer) {
	registerer.MustRegister(m.traffic.bytes, m.traffic.messages)
}

// inOwnZone reports whether a router is known to be in this zone.
func (t *table) inOwnZone(router fleet.Address) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	peer := t.peers[router]
	return peer != nil && peer.zone == t.zone
}
