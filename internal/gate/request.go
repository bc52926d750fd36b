package gate

import (
	"net/http"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
)

// Request is a caller's request as the product understands it.
type Request struct {
	ID       string // of this attempt of the caller's
	Method   string
	URI      string // path and query as the caller wrote them
	Path     string // the path alone
	Host     string
	Header   http.Header // to be passed on; holds nothing that the system sets
	Body     []byte
	Key      string
	Deadline time.Duration // how long the caller waits, 0 if it did not say
	Prompt   Prompt
	// LastEventID is the id of the last event that the caller has, "" for none.
	LastEventID string
	Received    boottime.Instant

	Route       *knowledge.Route
	Account     *knowledge.Account // nil on public routes
	Service     fleet.Service
	Timeout     time.Duration // from Received to the final answer
	Fingerprint uint64        // the same when the caller sends the request again
}

// Prompt describes a request for a model. Its zero value stands for a request
// to a plain service.
type Prompt struct {
	Tokens    int // of the prompt
	MaxOutput int // most tokens to be generated
	// ExpectedOutput is the caller's guess of the tokens to be generated, 0
	// for none. It is right at the median and often far off.
	ExpectedOutput int
	Segments       []PromptSegment
}

// PromptSegment is a part of a prompt. Requests share parts; a part is kept by an
// engine only together with all parts before it.
type PromptSegment struct {
	ID     string
	Tokens int
}

// SharedSegment returns the last part that other requests have as well, or "".
// The last part of all belongs to the request or its session alone.
func (p Prompt) SharedSegment() string {
	switch len(p.Segments) {
	case 0:
		return ""
	case 1:
		return p.Segments[0].ID
	default:
		return p.Segments[len(p.Segments)-2].ID
	}
}

// SharedTokens returns the tokens of the parts that other requests share.
func (p Prompt) SharedTokens() int {
	shared := 0
	for i := range len(p.Segments) - 1 {
		shared += p.Segments[i].Tokens
	}
	return shared
}

// outputTokenWeight is how often a generated token counts where a prompt token
// counts once: the users' measure of what engines produce.
const outputTokenWeight = 2

// Cost returns the tokens that the request takes from the fleet's capacity.
func (p Prompt) Cost() float64 {
	output := p.MaxOutput
	if p.ExpectedOutput > 0 {
		output = min(p.ExpectedOutput, p.MaxOutput)
	}
	return float64(p.Tokens + outputTokenWeight*output)
}

// countsTowardShare tells whether the request takes of what accounts share: it asks a model
// for something, with a key.
func (r *Request) countsTowardShare() bool { return r.Account != nil && r.Prompt.Tokens > 0 }

// Idempotent tells whether the request may run more than once.
func (r *Request) Idempotent() bool { return r.Route.Repeat != knowledge.RepeatNever }

// Remaining returns the time that is left for the request at the moment now.
func (r *Request) Remaining(now boottime.Instant) time.Duration {
	return r.Timeout - now.Sub(r.Received)
}
