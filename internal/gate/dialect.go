package gate

import (
	"net/http"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
	"github.com/bluebellchute/bluebellchute/internal/pace"
)

// Dialect translates between the wire and the product's own types.
type Dialect interface {
	// Decode reads a caller's request but for its body. An error means that
	// the request is malformed.
	Decode(r *http.Request) (*Request, error)
	// ForwardHeader returns the whole header for a backend server.
	ForwardHeader(forward *Forward) http.Header
	// Reply reads the header of an answer.
	Reply(status int, header http.Header) Reply
	// StripSignature removes from the header what marks an answer as a backend
	// server's own.
	StripSignature(header http.Header)
}

// Forward is a request on its way to a backend server.
type Forward struct {
	Request   *Request
	Backend   *knowledge.Backend
	Remaining time.Duration // until the backend server may give up
	// LastEventID is the id of the last event that was handed out.
	LastEventID string
	// FetchSource is the address of an engine from which the backend server fetches
	// prompt parts that it lacks, "" for none.
	FetchSource fleet.Address
}

// Reply is what a backend server says of an answer in its header.
type Reply struct {
	ID     string // of the request that it answers, "" if not stated
	Signed bool   // bears the backend server's mark
	// Refused means that the backend server did not and will not run the
	// request.
	Refused bool
	// Replaced means that another backend server has the address by now.
	Replaced bool
	Encoded  bool // the body isn't the one that the backend server made
	Draining bool // the backend server takes nothing new any more
	// UnavailableFor is how long the backend server wants nothing of this router, 0 if it
	// does not say.
	UnavailableFor time.Duration
	// ColdRemaining is how long the backend server says that it will be cold, 0 if it
	// does not say.
	ColdRemaining time.Duration
	// Load is what the backend server tells of its load; BadLoad means that it can't be
	// read.
	Load          pace.Report
	MalformedLoad bool
}

// genuine tells whether a success with this header is the backend server's own
// whole answer to the request.
func (r Reply) genuine(request *Request) bool {
	return r.Signed && !r.Encoded && r.ID == request.ID
}
