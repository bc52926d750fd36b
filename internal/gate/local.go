package gate

import (
	"github.com/sirupsen/logrus"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/crash"
	"github.com/bluebellchute/bluebellchute/internal/event"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
	"github.com/bluebellchute/bluebellchute/internal/pace"
	"github.com/bluebellchute/bluebellchute/internal/shares"
)

// Usages returns what each account requested and was granted at this router.
func (m *Manager) Usages() map[fleet.Account]shares.Usage {
	a := m.handler.admission
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ledger.Own(boottime.Now())
}

// Loads returns this router's load at backend servers, by incarnation hash.
func (m *Manager) Loads() map[uint32]BackendLoad {
	loaded := m.handler.admission.loads.snapshot()
	hashed := make(map[uint32]BackendLoad, len(loaded))
	for incarnation, load := range loaded {
		hashed[knowledge.IncarnationHash(incarnation)] = load
	}
	return hashed
}

// Paces returns what this router has observed of the speed of backend servers, by
// incarnation hash.
func (m *Manager) Paces() map[uint32]pace.Observation {
	return m.handler.admission.paces.own(boottime.Now())
}

// TakeCrashFingerprints returns the fingerprints of requests that this router has found,
// since the last call, to have been running at a backend server when it crashed.
func (m *Manager) TakeCrashFingerprints() []uint64 { return m.handler.suspects.TakeUnreported() }

// SetUsages records the account usages of another router.
func (m *Manager) SetUsages(router fleet.Address, usages map[fleet.Account]shares.Usage) {
	a := m.handler.admission
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ledger.SetOther(string(router), usages, boottime.Now())
}

// RemoveUsages removes the account usages of a router that is no longer reachable.
func (m *Manager) RemoveUsages(router fleet.Address) {
	a := m.handler.admission
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ledger.RemoveOther(string(router))
}

// ReceiveCrashFingerprint records a fingerprint reported by another router.
func (m *Manager) ReceiveCrashFingerprint(router fleet.Address, fingerprint uint64) {
	m.handler.suspects.CrashReported(router, fingerprint, boottime.Now())
}

// Status is what a router reports about itself to operators.
type Status struct {
	VM       string
	Zone     fleet.Zone
	NotReady string       // why the load balancer should send no callers, "" if it should
	Running  int          // requests at backend servers
	Engines  []EnginePace // those with known work times

	RefusedSegments []RefusedSegment
}

// Status returns the router's status for operators.
func (m *Manager) Status() Status {
	return Status{
		VM:       m.options.VM,
		Zone:     m.options.Zone,
		NotReady: m.options.Readiness.NotReady(),
		Running:  m.running(),
		Engines:  m.handler.admission.enginePaces(),

		RefusedSegments: m.handler.refusedSegments.list(),
	}
}

// SetDrained drains the router or takes it back into use, as an operator has ordered. While
// it is drained, the load balancer sends new callers elsewhere, and connected callers are
// asked to reconnect; requests that arrive nevertheless are served. It returns the number
// of requests in progress.
func (m *Manager) SetDrained(drained bool, operator, reason string) int {
	m.handler.drainedByOperator.Store(drained)
	event.GateDrainOrdered.Log(m.options.Logger, logrus.Fields{"drained": drained, "operator": operator, "reason": reason})
	return m.running()
}

func (m *Manager) running() int {
	running := 0
	for _, load := range m.handler.admission.loads.snapshot() {
		running += load.Running
	}
	return running
}

// NextCrashEvidence returns what has to be told to other routers of prompt segments that crash
// backend servers, in about limit bytes.
func (m *Manager) NextCrashEvidence(limit int, now boottime.Instant) crash.Evidence {
	return m.handler.segments.Next(limit, now)
}

// RefusedSegments returns the evidence on refused segments from a position on, in about limit
// bytes, and the position after it, 0 at the end.
func (m *Manager) RefusedSegments(from, limit int, now boottime.Instant) (crash.Evidence, int) {
	return m.handler.segments.Refused(from, limit, now)
}

// SegmentTable returns the table of prompt segments that crash backend servers.
func (m *Manager) SegmentTable() *crash.SegmentTable { return m.handler.segments }

// ReceiveCrashEvidence applies what another router has told, and returns what to tell it in
// reply.
func (m *Manager) ReceiveCrashEvidence(evidence crash.Evidence, now boottime.Instant) crash.Evidence {
	return m.handler.segments.Receive(evidence, now)
}

// ClearSegment lets requests with a segment be sent again, as an operator has ordered. It
// reports whether a crash counted against the segment.
func (m *Manager) ClearSegment(segment crash.Segment, operator, reason string) bool {
	known := m.handler.segments.Clear(segment, boottime.Now())
	event.GateSegmentCleared.Log(m.options.Logger, logrus.Fields{"segment_key": segmentName(segment), "known": known, "operator": operator, "reason": reason})
	return known
}
