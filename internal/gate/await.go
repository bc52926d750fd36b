package gate

import (
	"context"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
)

const (
	// startupPeriod is how long after its start a router may still have to learn what it needs.
	startupPeriod = time.Second
	// startupWait is how long a request waits at a router that has just started for the
	// first answers of the store or of other routers. A refusal would cost the caller one
	// of few tries and bring it back later than that.
	startupWait = startRetryAfter
	// startupPollInterval is the pause between two looks at what is known.
	startupPollInterval = 5 * time.Millisecond
)

// awaitFleetState returns what is known once it is enough to serve requests, or what there
// is when the request has waited for long enough or its caller has left.
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
