// Package knowledge holds what a router knows of the fleet: the configuration
// in force, the list of backend servers, and how fresh both are.
package knowledge

import (
	"time"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// Repeat tells what may be done with a request a second time.
type Repeat int

// The kinds of routes.
const (
	// RepeatNever marks requests that run at most once.
	RepeatNever Repeat = iota
	// RepeatAlways marks idempotent requests.
	RepeatAlways
	// RepeatResume marks streams that go on after the last event received.
	RepeatResume
)

// Configuration is one version of what the operator has set.
type Configuration struct {
	Version  uint64
	Routes   []Route
	Services []ServiceSettings
	Accounts []Account
	Limits   Limits
	// KeysRequired tells that requests carry a key unless their route is public.
	KeysRequired bool `json:"Keyed"`
}

// Route tells where requests of one host and path go.
type Route struct {
	Name          string
	Host          string
	PathPrefix    string
	Stream        bool
	Repeat        Repeat
	Timeout       time.Duration // longest time to the final answer
	TargetLatency time.Duration // an answer within it is in time
	TargetGap     time.Duration // longest pause between events of a stream in time, 0 for none
	Priority      int           // 0 is the most urgent
	MaxAttempts   int           // most backend servers for one request
	Public        bool          // needs no key
	Affinity      bool          // prompt parts kept by a backend server matter
	Destinations  []Destination
}

// Destination is a service that takes a part of a route's requests.
type Destination struct {
	Service fleet.Service
	Weight  int
}

// ServiceSettings holds the settings of one service.
type ServiceSettings struct {
	Name           fleet.Service
	MaxConnections int  // of one backend server, over all callers
	KVCapacity     int  // tokens that a model engine's memory holds, 0 for plain services
	Fetches        bool // engines fetch kept prompt parts from each other
	// ColdStart is how long a backend server is cold after its start, and ColdRate
	// how many requests a second it tolerates meanwhile, 0 if that does not matter.
	ColdStart time.Duration
	ColdRate  float64
}

// Account is a client account with its keys.
type Account struct {
	Name     fleet.Account
	Keys     []string
	Priority *int // goes before the route's when set
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
	// TokensPerSecond is what all model engines produce together: prompt
	// tokens once, generated tokens twice. 0 if unknown.
	TokensPerSecond float64
}

// Backend is one incarnation of a backend server.
type Backend struct {
	ID string
	// StartedAt is when the backend server started, in Unix milliseconds, 0 if it
	// does not tell. One that crashed may start again under its ID.
	StartedAt int64 `json:"Born"`
	// Incarnation tells this start from the others of the same ID.
	// IncarnationHash and IDHash spare each request the hashing of a whole list.
	// A State sets the three.
	Incarnation     string `json:"-"`
	IncarnationHash uint32 `json:"-"`
	IDHash          uint64 `json:"-"`
	Service         fleet.Service
	Address         fleet.Address
	Zone            fleet.Zone
	Slots           int
	Draining        bool `json:"Leaving"` // takes no new request
	// Position is that of the last change of the entry.
	Position
	// Sequence counts the entries that this start of the backend server has written.
	Sequence uint64
	// ColdRemaining is how long the backend server said in that entry that it will be cold.
	ColdRemaining time.Duration `json:"ColdLeft"`
	// ColdUntil is when it will be warm, 0 if it is. A State sets it, counting from
	// when it takes the entry: that is later than the entry was written, so a server
	// may count as cold too long but not too short.
	ColdUntil boottime.Instant `json:"-"`
	// FirstSeen is when this router first heard of this start, 0 if it was in the first
	// list that the router had.
	FirstSeen boottime.Instant `json:"-"`
	// entryHash is this entry's part of the digest of a list.
	entryHash uint64
}

// Valid tells whether the entry names a backend server that requests could be
// sent to.
func (b *Backend) Valid() bool { return b.ID != "" && b.Service != "" && b.Address != "" }
