package gate

import (
	"net/http"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
	"github.com/bluebellchute/bluebellchute/internal/pace"
)

// Dialect translates between the wire format and the types of this package.
type Dialect interface {
	// Decode reads a caller's request without its body. An error means that the request is
	// malformed.
	Decode(r *http.Request) (*Request, error)
	// ForwardHeader returns the complete header for a backend server.
	ForwardHeader(forward *Forward) http.Header
	// Reply reads the header of an answer.
	Reply(status int, header http.Header) Reply
	// ProbePath is a path that backend servers answer at once, however loaded they are.
	ProbePath() string
	// StripSignature removes the signature of the backend server from the header.
	StripSignature(header http.Header)
}

// Forward is a request to be sent to a backend server.
type Forward struct {
	Request   *Request
	Backend   *knowledge.Backend
	Remaining time.Duration // until the backend server may give up
	// LastEventID is the id of the last event sent to the caller.
	LastEventID string
	// FetchSource is the address of an engine from which the backend server can fetch
	// prompt segments that it lacks, "" for none.
	FetchSource fleet.Address
}

// Reply is what a backend server reports in the header of an answer.
type Reply struct {
	ID     string // of the request that it answers, "" if not given
	Signed bool   // has the backend server's signature
	// Refused means that the backend server did not and will not run the request.
	Refused bool
	// Replaced means that another backend server has taken over the address.
	Replaced bool
	Encoded  bool // the body has been re-encoded on the way
	Draining bool // the backend server accepts no new requests any more
	// UnavailableFor is how long the backend server rejects requests of this router, 0 if
	// not given.
	UnavailableFor time.Duration
	// ColdRemaining is how long the backend server stays cold, 0 if not given.
	ColdRemaining time.Duration
	// Load is the load that the backend server reports. MalformedLoad means that it could
	// not be parsed.
	Load          pace.Report
	MalformedLoad bool
}

// genuine reports whether a success with this header is the backend server's own complete
// answer to the request.
func (r Reply) genuine(request *Request) bool {
	return r.Signed && !r.Encoded && r.ID == request.ID
}
