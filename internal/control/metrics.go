package control

import (
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

// direction is the direction in which bytes are transferred.
type direction int

const (
	directionIn direction = iota
	directionOut
	directionCount
)

func (d direction) String() string {
	return [directionCount]string{"in", "out"}[d]
}

// Metrics counts the control traffic of one node, as server and as client. It
// is a prometheus.Collector with one metric. The classes add up to all bytes read
// from or written to the connections.
type Metrics struct {
	bodies      [classCount][directionCount]atomic.Uint64
	connections [directionCount]atomic.Uint64
	description *prometheus.Desc
}

// NewMetrics returns a Metrics with all counts at 0 and registers it.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	m := &Metrics{description: prometheus.NewDesc(
		"bluebell_control_bytes_total",
		"Bytes of control traffic by class of message and direction, above TCP.",
		[]string{"class", "direction"}, nil,
	)}
	registerer.MustRegister(m)
	return m
}

// Describe implements prometheus.Collector.
func (m *Metrics) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- m.description
}

// Collect implements prometheus.Collector.
func (m *Metrics) Collect(metrics chan<- prometheus.Metric) {
	for d := range directionCount {
		for class := range classCount {
			metrics <- prometheus.MustNewConstMetric(m.description, prometheus.CounterValue,
				float64(m.bytes(class, d)), class.String(), d.String())
		}
	}
}

// bytes returns the count of one class. The count of ClassFraming is that of the
// connections minus that of all bodies.
func (m *Metrics) bytes(class Class, d direction) uint64 {
	if class != ClassFraming {
		return m.bodies[class][d].Load()
	}
	var bodies uint64
	for other := range classCount {
		bodies += m.bodies[other][d].Load()
	}
	total := m.connections[d].Load()
	// A body is counted before it is written, so its bytes may not be in the
	// connections' count yet.
	return total - min(total, bodies)
}

// CountGrantsSent counts the bytes of grants sent on the data path.
func (m *Metrics) CountGrantsSent(bytes int) { m.addGrants(directionOut, bytes) }

// CountGrantsReceived counts the bytes of grants received on the data path.
func (m *Metrics) CountGrantsReceived(bytes int) { m.addGrants(directionIn, bytes) }

func (m *Metrics) addGrants(d direction, bytes int) {
	m.addConnection(d, bytes)
	m.addBody(ClassGrant, d, bytes)
}

func (m *Metrics) addBody(class Class, d direction, n int) {
	m.bodies[class][d].Add(uint64(max(0, n)))
}

func (m *Metrics) addConnection(d direction, n int) {
	m.connections[d].Add(uint64(max(0, n)))
}
