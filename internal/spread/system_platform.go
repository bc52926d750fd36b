package spread

import (
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellchute/bluebellchute/internal/platform"
)

// followPlatform decides which platform calls this node makes. Each node reads
// both documents once at its start. After that only the watchers call, whose
// number follows the zones and not the fleet; the others call when no peer has
// been heard for long.
func (w *World) followPlatform(now time.Time) {
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

// platformCall returns the call that a document needs, nil for none.
func (w *World) platformCall(document *document, now time.Time) Command {
	state := &document.platform
	switch {
	case !state.tried:
		return Load{Document: document.id}
	case !w.join.done:
		return nil
	case w.circle.watches && state.version > 0:
		return Watch{Document: document.id, From: state.version}
	case w.circle.watches, w.abandoned(state, now):
		return Load{Document: document.id, Compacted: state.compacted}
	default:
		return nil
	}
}

// abandoned tells that no peer has been heard for the fallback interval. That
// happens to a node whose list of nodes is so old that it names no living one.
func (w *World) abandoned(state *platformState, now time.Time) bool {
	due := w.lastHeard.Add(w.config.FallbackInterval)
	if due.Before(state.fallbackAt) {
		due = state.fallbackAt
	}
	if now.Before(due) {
		w.wake(due)
		return false
	}
	return true
}

func (w *World) takeLoadEnd(event LoadEnded) {
	state := &w.documents[event.Document].platform
	state.busy = false
	state.tried = true
	state.fallbackAt = w.now.Add(w.jittered(w.config.FallbackInterval))
	if event.Err != nil {
		w.backOff(state)
		return
	}
	state.failures = 0
	state.compacted = false
	state.version = event.Version
}

func (w *World) takeWatchEnd(event WatchEnded) {
	state := &w.documents[event.Document].platform
	state.busy = false
	switch {
	case event.Err == nil:
		state.failures = 0
		state.version = max(state.version, event.Version)
	case errors.Is(event.Err, platform.ErrCompacted):
		// What happened in between is lost to watches: read the whole again.
		state.version = 0
		state.compacted = true
	default:
		// The version stays, so that changes that could not be taken in are
		// returned again.
		w.backOff(state)
	}
}

// backOff delays the next call after a failure, longer each time, so that a
// platform that comes back is not overrun.
func (w *World) backOff(state *platformState) {
	delay := min(w.config.MaxBackoff, w.config.MinBackoff<<min(state.failures, maxDoublings))
	state.failures++
	state.retryAt = w.now.Add(w.jittered(delay))
}

// maxDoublings bounds the shift in backOff.
const maxDoublings = 10
