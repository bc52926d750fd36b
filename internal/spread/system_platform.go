package spread

import (
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellchute/bluebellchute/internal/platform"
)

// schedulePlatformCalls decides which platform calls this node makes. Each node
// reads both documents once after its start. Afterwards only the watchers make
// calls, and their number depends on the zones, not on the size of the fleet;
// the other nodes call only after a long time without a message from a peer.
func (w *World) schedulePlatformCalls(now time.Time) {
	for _, document := range w.documents {
		state := &document.platform
		if state.busy {
			continue
		}
		wanted := w.platformCall(document, now)
		if wanted == nil {
			continue
		}
		if now.Before(state.retryAt) {
			w.wake(state.retryAt)
			continue
		}
		state.busy = true
		w.emit(wanted)
	}
}

// platformCall returns the call that a document needs, or nil.
func (w *World) platformCall(document *document, now time.Time) Command {
	state := &document.platform
	switch {
	case !state.loadAttempted:
		return Load{Document: document.id}
	case !w.join.done:
		return nil
	case w.peerSet.isWatcher && state.version > 0:
		return Watch{Document: document.id, From: state.version}
	case w.peerSet.isWatcher, w.isolated(state, now):
		return Load{Document: document.id, Compacted: state.compacted}
	default:
		return nil
	}
}

// isolated reports whether no message from a peer has arrived for the fallback
// interval. That happens to a node whose list of nodes is so old that it
// contains no running peer.
func (w *World) isolated(state *platformState, now time.Time) bool {
	due := w.lastEnvelopeAt.Add(w.config.FallbackInterval)
	if due.Before(state.fallbackAt) {
		due = state.fallbackAt
	}
	if now.Before(due) {
		w.wake(due)
		return false
	}
	return true
}

func (w *World) handleLoadEnded(event LoadEnded) {
	state := &w.documents[event.Document].platform
	state.busy = false
	state.loadAttempted = true
	state.fallbackAt = w.now.Add(w.jittered(w.config.FallbackInterval))
	if event.Err != nil {
		w.backOff(state)
		return
	}
	state.failures = 0
	state.compacted = false
	state.version = event.Version
}

func (w *World) handleWatchEnded(event WatchEnded) {
	state := &w.documents[event.Document].platform
	state.busy = false
	switch {
	case event.Err == nil:
		state.failures = 0
		state.version = max(state.version, event.Version)
	case errors.Is(event.Err, platform.ErrCompacted):
		// Watches no longer report the changes in between: load the complete
		// document.
		state.version = 0
		state.compacted = true
	default:
		// The version stays, so that changes that could not be applied are
		// returned again.
		w.backOff(state)
	}
}

// backOff delays the next call after a failure, exponentially and with jitter,
// so that a recovering platform is not overloaded.
func (w *World) backOff(state *platformState) {
	delay := min(w.config.MaxBackoff, w.config.MinBackoff<<min(state.failures, maxDoublings))
	state.failures++
	state.retryAt = w.now.Add(w.jittered(delay))
}

// maxDoublings limits the shift in backOff.
const maxDoublings = 10
