package gate

import (
	"context"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
)

const (
	// startupPeriod is the time after the start of a router in which requests wait for the
	// first fleet state.
	startupPeriod = time.Second
	// startupWait is how long a request waits at a router that has just started for the
	// first answers of the store or of other routers. A refusal would use up one of the
	// caller's few attempts, and the retry would come later than that.
	startupWait = startRetryAfter
	// startupPollInterval is the interval at which a waiting request checks the fleet
	// state.
	startupPollInterval = 5 * time.Millisecond
)

// awaitFleetState returns the fleet state as soon as it suffices to serve requests, or the
// incomplete one when the request has waited for startupWait or its caller has
// disconnected.
func (h *handler) awaitFleetState(ctx context.Context, received boottime.Instant) *knowledge.View {
	for {
		view := h.state.View()
		waited := boottime.Now().Sub(received)
		if view.Ready() || waited >= startupWait || received.Sub(h.startedAt) >= startupPeriod {
			return view
		}
		select {
		case <-ctx.Done():
			return view
		case <-time.After(startupPollInterval):
		}
	}
}
