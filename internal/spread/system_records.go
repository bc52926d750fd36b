package spread

import (
	"time"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/membership"
	"github.com/bluebellchute/bluebellchute/internal/platform"
)

// reconcileState is the state of the reconciler's readings of the list of VMs.
type reconcileState struct {
	busy   bool
	nextAt time.Time
}

// reconcileRecords reads the list of VMs at each interval while this node is a
// reconciler.
func (w *World) reconcileRecords(now time.Time) {
	if !w.peerSet.isReconciler || !w.join.done || w.reconciliation.busy {
		return
	}
	if now.Before(w.reconciliation.nextAt) {
		w.wake(w.reconciliation.nextAt)
		return
	}
	w.reconciliation.busy = true
	w.reconciliation.nextAt = now.Add(w.jittered(w.config.ReconcileInterval))
	w.emit(ReadVMs{})
}

func (w *World) handleVMsRead(event VMsRead) {
	w.reconciliation.busy = false
	if event.Err != nil {
		w.reconciliation.nextAt = w.now.Add(w.jittered(w.config.MaxBackoff))
		return
	}
	records, _ := w.directory.Records()
	for _, write := range w.reconciler.Reconcile(w.now, event.VMs, records) {
		w.emit(WriteRecord{Write: write})
	}
}

// registrationState is the state of this node's own record.
type registrationState struct {
	busy     bool
	written  bool
	leaving  bool             // as last written
	version  platform.Version // of the last write
	failures int
	retryAt  time.Time
}

// register keeps this node's own record on the platform up to date: it writes
// the record after the start, when the node starts to drain, and when the
// record was removed while the node is running.
func (w *World) register(now time.Time) {
	state := &w.registration
	if state.busy || w.registered() {
		return
	}
	if now.Before(state.retryAt) {
		w.wake(state.retryAt)
		return
	}
	state.busy = true
	w.emit(Register{Record: w.ownRecord()})
}

// ownRecord returns this node's record as it should be on the platform.
func (w *World) ownRecord() membership.Record {
	node := w.config.Self
	node.State = fleet.VMLive
	if w.envelopes.Envelope().GetLeaving() {
		node.State = fleet.VMLeaving
	}
	return membership.Record{Node: node}
}

// registered reports whether the record on the platform is up to date, as far
// as this node knows.
func (w *World) registered() bool {
	state := &w.registration
	if !state.written || state.leaving != w.envelopes.Envelope().GetLeaving() {
		return false
	}
	if w.directory.Revision() < uint64(state.version) {
		// The watches have not returned the write yet.
		return true
	}
	record, ok := w.directory.Record(w.config.Self.Control)
	return ok && record.Incarnation >= w.config.Self.Incarnation
}

func (w *World) handleRegisterEnded(event RegisterEnded) {
	state := &w.registration
	state.busy = false
	if event.Err != nil {
		delay := min(w.config.MaxBackoff, w.config.MinBackoff<<min(state.failures, maxDoublings))
		state.failures++
		state.retryAt = w.now.Add(w.jittered(delay))
		return
	}
	*state = registrationState{written: true, leaving: event.Leaving, version: event.Version}
}
