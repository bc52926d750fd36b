package gate

import (
	"github.com/sirupsen/logrus"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/event"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
	"github.com/bluebellchute/bluebellchute/internal/pace"
	"github.com/bluebellchute/bluebellchute/internal/shares"
)

// Usages returns what each account asked and got here.
func (m *Manager) Usages() map[fleet.Account]shares.Usage {
	a := m.handler.admission
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ledger.Own(boottime.Now())
}

// Loads returns what runs at backend servers, by the hashes of their
// incarnations.
func (m *Manager) Loads() map[uint32]BackendLoad {
	loaded := m.handler.admission.loads.snapshot()
	hashed := make(map[uint32]BackendLoad, len(loaded))
	for id, load := range loaded {
		hashed[knowledge.IncarnationHash(id)] = load
	}
	return hashed
}

// Paces returns what this router has seen of how fast backend servers work, by the
// hashes of their incarnations.
func (m *Manager) Paces() map[uint32]pace.Observation {
	return m.handler.admission.paces.own(boottime.Now())
}

// TakeCrashFingerprints returns the fingerprints of requests that were found here, since the
// last call, to have run at a backend server that went down.
func (m *Manager) TakeCrashFingerprints() []uint64 { return m.handler.suspects.takeUnreported() }

// SetUsages takes the uses of another router.
func (m *Manager) SetUsages(router fleet.Address, uses map[fleet.Account]shares.Usage) {
	a := m.handler.admission
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ledger.SetOther(string(router), uses, boottime.Now())
}

// RemoveUsages forgets a router that is no longer heard.
func (m *Manager) RemoveUsages(router fleet.Address) {
	a := m.handler.admission
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ledger.RemoveOther(string(router))
}

// ReceiveCrashFingerprint takes a fingerprint from another router.
func (m *Manager) ReceiveCrashFingerprint(router fleet.Address, fingerprint uint64) {
	m.handler.suspects.crashReported(router, fingerprint)
}

// Status is what a router tells operators of itself.
type Status struct {
	VM       string
	Zone     fleet.Zone
	NotReady string       // why the balancer should send no callers, "" if it should
	Running  int          // requests at backend servers
	Engines  []EnginePace // those that tell how long work takes
}

// Status returns what operators want to know.
func (m *Manager) Status() Status {
	return Status{
		VM:       m.options.VM,
		Zone:     m.options.Zone,
		NotReady: m.options.Readiness.NotReady(),
		Running:  m.running(),
		Engines:  m.handler.admission.enginePaces(),
	}
}

// SetDrained carries out an operator's order. The balancer sends new callers
// elsewhere while the router is drained, and those that are connected are told
// to connect anew; what comes all the same is served. It returns the requests
// in progress.
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
