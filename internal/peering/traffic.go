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

// message names what routers tell each other, for counts.
type message string

const (
	messageBeat    message = "beat"    // freshness, and the sender's own use within its zone
	messageSums    message = "sums"    // a beat that carries the use of whole zones
	messagePull    message = "pull"    // knowledge taken from another router, told whole
	messageChanges message = "changes" // the same, told as changes
)

// trafficInterval is the pause between two records of what routers told each other.
const trafficInterval = 10 * time.Second

// traffic counts what this router tells others by beats, and takes from them by calls.
type traffic struct {
	logger   logrus.FieldLogger
	bytes    *prometheus.CounterVec
	messages *prometheus.CounterVec

	mu    sync.Mutex
	since map[string]int // bytes since the last record, by message and zone
	next  boottime.Instant
}

func newTraffic(logger logrus.FieldLogger, now boottime.Instant) *traffic {
	labels := []string{"message", "zone"}
	return &traffic{
		logger: logger,
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bluebell_gate_peer_bytes_total",
			Help: "Bytes of beats sent to other routers and of knowledge taken from them, by message and availability zone (own or other).",
		}, labels),
		messages: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bluebell_gate_peer_messages_total",
			Help: "Beats sent to other routers and calls for knowledge that they answered, by message and availability zone (own or other).",
		}, labels),
		since: make(map[string]int),
		next:  now.Add(trafficInterval),
	}
}

// count counts a message of the size to or from a router of the own zone or another.
func (t *traffic) count(what message, own bool, size int) {
	zone := "other"
	if own {
		zone = "own"
	}
	t.bytes.WithLabelValues(string(what), zone).Add(float64(size))
	t.messages.WithLabelValues(string(what), zone).Inc()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.since[string(what)+" "+zone] += size
}

// log logs what was counted, if the last record is old enough.
func (t *traffic) log(now boottime.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now < t.next || len(t.since) == 0 {
		return
	}
	t.next = now.Add(trafficInterval)
	event.GatePeerTraffic.Log(t.logger, logrus.Fields{"bytes": t.since})
	t.since = make(map[string]int)
}

// countPulled counts knowledge that a router told.
func (m *Manager) countPulled(router fleet.Address, reply *peeringpb.PullReply) {
	what := messagePull
	if reply.Changes {
		what = messageChanges
	}
	m.traffic.count(what, m.inOwnZone(router), proto.Size(reply))
}

// Register adds the counts of messages to the registry.
func (m *Manager) Register(registerer prometheus.Registerer) {
	registerer.MustRegister(m.traffic.bytes, m.traffic.messages)
}

// inOwnZone tells whether a router is known to be of this zone.
func (t *table) inOwnZone(router fleet.Address) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	peer := t.peers[router]
	return peer != nil && peer.zone == t.zone
}
