package gate

import (
	"context"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
)

const (
	// startTime is how long after its start a router may still have to learn what it needs.
	startTime = time.Second
	// startWait is how long a request waits at a router that has just started for the
	// first answers of the store or of other routers. A refusal would cost the caller one
	// of few tries and bring it back later than that.
	startWait = startRetry
	// startLook is the pause between two looks at what is known.
	startLook = 5 * time.Millisecond
)

// awaitKnowledge returns what is known once it is enough to serve requests, or what there
// is when the request has waited for long enough or its caller has left.
func (h *handler) awaitKnowledge(ctx context.Context, received boottime.Instant) *knowledge.View {
	for {
		view := h.state.View()
		waited := boottime.Now().Sub(received)
		if view.Ready() || waited >= startWait || received.Sub(h.started) >= startTime {
			return view
		}
		select {
		case <-ctx.Done():
			return view
		case <-time.After(startLook):
		}
	}
}
