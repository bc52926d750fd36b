// Package knowledge holds the fleet state that a router knows: the configuration in force,
// the list of backend servers, the evacuated zones, and how fresh each of them is.
package knowledge

import (
	"time"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// Repeat says whether a request may be sent again.
type Repeat int

// The values of Repeat.
const (
	// RepeatNever marks requests that run at most once.
	RepeatNever Repeat = iota
	// RepeatAlways marks idempotent requests.
	RepeatAlways
	// RepeatResume marks streams that can be resumed after the last event received.
	RepeatResume
)

// Configuration is one version of the operator's configuration.
type Configuration struct {
	Version  uint64
	Routes   []Route
	Services []ServiceSettings
	Accounts []Account
	Limits   Limits
	// KeysRequired says that requests need an API key unless their route is public.
	KeysRequired bool `json:"Keyed"`
}

// Route maps requests of one host and path prefix to services.
type Route struct {
	Name          string
	Host          string
	PathPrefix    string
	Stream        bool
	Repeat        Repeat
	Timeout       time.Duration // time limit of the complete answer
	TargetLatency time.Duration // maximum latency for an answer to count as in time
	TargetGap     time.Duration // maximum pause between events for a stream to count as in time, 0 for none
	Priority      int           // 0 is the most urgent
	MaxAttempts   int           // maximum number of backend servers that one request is sent to
	Public        bool          // needs no key
	Affinity      bool          // prefer backend servers that cache segments of the prompt
	Destinations  []Destination
}

// Destination is a service that takes a share of a route's requests.
type Destination struct {
	Service fleet.Service
	Weight  int
}

// ServiceSettings holds the settings of one service.
type ServiceSettings struct {
	Name           fleet.Service
	MaxConnections int  // to one backend server, over all callers
	KVCapacity     int  // tokens that a model engine's memory holds, 0 for plain services
	Fetches        bool // engines fetch cached prompt segments from each other
	// ColdStart is how long a backend server is cold after its start, and ColdRate how many
	// requests per second it tolerates meanwhile, 0 for no limit.
	ColdStart time.Duration
	ColdRate  float64
}

// Account is a client account with its keys.
type Account struct {
	Name     fleet.Account
	Keys     []string
	Priority *int // overrides the route's if set
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
	// TokensPerSecond is the stated capacity of all model engines together: prompt tokens
	// count once, generated tokens twice. 0 if unknown.
	TokensPerSecond float64
}

// Backend is one incarnation of a backend server.
type Backend struct {
	ID string
	// StartedAt is when the backend server started, in Unix milliseconds, 0 if it does not
	// report it. A server that crashed may restart under the same ID.
	StartedAt int64 `json:"Born"`
	// Incarnation identifies this start among those of the same ID. IncarnationHash and
	// IDHash are precomputed so that requests need not hash the whole list. State sets all
	// three.
	Incarnation     string `json:"-"`
	IncarnationHash uint32 `json:"-"`
	IDHash          uint64 `json:"-"`
	Service         fleet.Service
	Address         fleet.Address
	Zone            fleet.Zone
	// Version is that of the server's software, "" if its entry leaves it out.
	Version  string
	Slots    int  // requests that it runs concurrently
	Draining bool `json:"Leaving"` // takes no new requests
	// Position is that of the last change of the entry.
	Position
	// Sequence numbers the entries that this incarnation has written.
	Sequence uint64
	// ColdRemaining is how long the server will stay cold, as it stated when it wrote the
	// entry.
	ColdRemaining time.Duration `json:"ColdLeft"`
	// ColdUntil is when the server will be warm, 0 if it is warm now. State computes it from
	// the time at which it received the entry. The server wrote the entry earlier, so it
	// may count as cold for longer than it is, but never for less.
	ColdUntil boottime.Instant `json:"-"`
	// FirstSeen is when this router learned of this incarnation, 0 if it was in the first
	// list that the router received.
	FirstSeen boottime.Instant `json:"-"`
	// softwareID identifies the service at the version; see View.SoftwareID.
	softwareID SoftwareID
	// entryHash is the contribution of this entry to the digest of the list.
	entryHash uint64
}

// Valid reports whether the entry has the ID, service and address that are needed to send
// requests.
func (b *Backend) Valid() bool { return b.ID != "" && b.Service != "" && b.Address != "" }
