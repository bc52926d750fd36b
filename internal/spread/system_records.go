package spread

import (
	"time"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/membership"
	"github.com/bluebellchute/bluebellchute/internal/platform"
)

// keepState is the state of a keeper's readings of the list of VMs.
type keepState struct {
	busy bool
	at   time.Time
}

// keepRecords reads the list of VMs at each interval while this node keeps.
func (w *World) keepRecords(now time.Time) {
	if !w.circle.keeps || !w.join.done || w.keep.busy {
		return
	}
	if now.Before(w.keep.at) {
		w.wake(w.keep.at)
		return
	}
	w.keep.busy = true
	w.keep.at = now.Add(w.jittered(w.config.ReconcileInterval))
	w.emit(ReadVMs{})
}

func (w *World) takeVMs(event VMsRead) {
	w.keep.busy = false
	if event.Err != nil {
		w.keep.at = w.now.Add(w.jittered(w.config.MaxBackoff))
		return
	}
	records, _ := w.directory.Records()
	for _, write := range w.keeper.Reconcile(w.now, event.VMs, records) {
		w.emit(WriteRecord{Write: write})
	}
}

// registrationState is the state of this node's own record.
type registrationState struct {
	busy     bool
	written  bool
	leaving  bool             // as written
	version  platform.Version // of the last write
	failures int
	retryAt  time.Time
}

// register keeps this node's own record on the platform as it should be: it
// writes it at the start, when the node begins to leave, and when it was
// removed although the node lives.
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

// ownRecord returns this node's record as it should be.
func (w *World) ownRecord() membership.Record {
	node := w.config.Self
	node.State = fleet.VMLive
	if w.stamp.Envelope().GetLeaving() {
		node.State = fleet.VMLeaving
	}
	return membership.Record{Node: node}
}

// registered tells whether the record is as it should be as far as known.
func (w *World) registered() bool {
	state := &w.registration
	if !state.written || state.leaving != w.stamp.Envelope().GetLeaving() {
		return false
	}
	if w.directory.Revision() < uint64(state.version) {
		// The write has not come back by the watches yet.
		return true
	}
	record, ok := w.directory.Record(w.config.Self.Control)
	return ok && record.Incarnation >= w.config.Self.Incarnation
}

func (w *World) takeRegisterEnd(event RegisterEnded) {
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
