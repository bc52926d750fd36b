package gate

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/crash"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
)

// Request is a caller's request, independent of its wire format.
type Request struct {
	ID       string // of this attempt of the caller
	Method   string
	URI      string // path and query as the caller sent them
	Path     string // the path alone
	Host     string
	Header   http.Header // to be passed on; without the headers that the router sets
	Body     []byte
	Key      string        // API key
	Deadline time.Duration // how long the caller waits, 0 if not given
	Prompt   Prompt
	// LastEventID is the id of the last event that the caller has received, "" for none.
	LastEventID string
	// Resumes is the ID of the attempt that brought the first event of the stream that the
	// caller takes up, "" if it names none.
	Resumes  string
	Received boottime.Instant

	Route       *knowledge.Route
	Account     *knowledge.Account // nil on public routes
	Service     fleet.Service
	Timeout     time.Duration   // from Received to the final answer
	Fingerprint uint64          // the same when the caller sends the request again
	SegmentKeys []crash.Segment // of the segments that other requests may have too
	// trial says that the request is sent to find out whether its segments crash servers.
	trial bool
	// scattered says that the request is placed without regard to which engines cache its
	// segments; see relay.scatter.
	scattered bool
	// Software is that of the backend servers at which the stream may go on, 0 for any.
	Software knowledge.SoftwareID
	// Continues says that the request goes on with a stream that a backend server is known to
	// have begun, and is admitted before new ones.
	Continues bool
	// OriginKnown says how Software is known of a stream that the caller takes up, "" for others.
	OriginKnown OriginKnown
}

// Prompt describes a model request. Its zero value stands for a request to a plain service.
type Prompt struct {
	Tokens    int // of the prompt
	MaxOutput int // maximum number of generated tokens
	// ExpectedOutput is the caller's estimate of the number of generated tokens, 0 for
	// none. The median over many requests is accurate, but a single estimate is often far
	// off.
	ExpectedOutput int
	Segments       []PromptSegment
}

// PromptSegment is a segment of a prompt. Requests share segments; an engine caches a
// segment only together with all segments before it.
type PromptSegment struct {
	ID     string
	Tokens int
}

// SharedSegment returns the id of the last segment that other requests may have as well, or
// "" if there are no segments. That is the last but one, as the last segment of a prompt
// belongs to the request or its session alone. If there is only one segment, it returns
// that one.
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

// SharedSegments returns all segments but the last, which belongs to the request or its session
// alone.
func (p Prompt) SharedSegments() []PromptSegment { return p.Segments[:max(len(p.Segments)-1, 0)] }

// SharedTokens returns the number of tokens in all segments but the last, which belongs to
// the request or its session alone.
func (p Prompt) SharedTokens() int {
	shared := 0
	for _, segment := range p.SharedSegments() {
		shared += segment.Tokens
	}
	return shared
}

// outputTokenWeight is the weight of a generated token relative to a prompt token. The
// users state the capacity of engines with the same weight.
const outputTokenWeight = 2

// Cost returns the weighted number of tokens that the request uses, in the unit of
// knowledge.Limits.TokensPerSecond. Without an estimate of the output it assumes the
// maximum.
func (p Prompt) Cost() float64 {
	output := p.MaxOutput
	if p.ExpectedOutput > 0 {
		output = min(p.ExpectedOutput, p.MaxOutput)
	}
	return float64(p.Tokens + outputTokenWeight*output)
}

// countsTowardShare reports whether the request uses its account's share: it is a model
// request with a key.
func (r *Request) countsTowardShare() bool { return r.Account != nil && r.Prompt.Tokens > 0 }

// Idempotent reports whether the request may run more than once.
func (r *Request) Idempotent() bool { return r.Route.Repeat != knowledge.RepeatNever }

// Remaining returns the time that remains for the request.
func (r *Request) Remaining(now boottime.Instant) time.Duration {
	return r.Timeout - now.Sub(r.Received)
}

// fingerprint returns a hash that is the same when a caller retries a request.
func fingerprint(request *Request) uint64 {
	digest := xxhash.New()
	if request.Account != nil {
		_, _ = digest.WriteString(string(request.Account.Name)) // never fails
	}
	_, _ = digest.WriteString("\x00" + request.Host + "\x00" + request.Method + "\x00" + request.URI + "\x00")
	_, _ = digest.Write(request.Body)
	return digest.Sum64()
}
