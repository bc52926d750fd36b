package settings

import (
	"time"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// KeyHash is the SHA-256 of an API key; the key itself is never stored.
type KeyHash [32]byte

// SharePolicy determines who decides which client account is served next.
type SharePolicy string

// The share policies. ShareFleet is for production; the others are baselines to
// compare it with.
const (
	ShareFleet       SharePolicy = "fleet"        // agents, by fleet-wide virtual clocks
	ShareAgentLocal  SharePolicy = "agent-local"  // agents, each by its own charges only
	ShareRouterLocal SharePolicy = "router-local" // routers, each by its own charges only
)

// ServiceKind determines the protocol of a service's backend servers.
type ServiceKind string

// The service kinds.
const (
	KindModel ServiceKind = "model" // model engines with resumable streams
	KindPlain ServiceKind = "plain" // any other HTTP service
)

// AccountPolicy is the policy of a client account, with all inherited values
// resolved.
type AccountPolicy struct {
	Account         fleet.Account
	Weight          float64       // share relative to other accounts, greater than 0
	QueueRequests   int           // waiting requests per router
	QueueBytes      int64         // bytes of waiting requests per router
	RateLimit       float64       // requests per second per router; 0 means no limit
	DefaultDeadline time.Duration // of a request without a deadline
	MaxDeadline     time.Duration // longer deadlines are reduced to it
	RetryBudget     float64       // retries per request, as a long-run ratio
	Disabled        bool          // its calls are rejected
}

// ServicePolicy is the policy of a service, with all inherited values resolved.
type ServicePolicy struct {
	Service           fleet.Service
	Kind              ServiceKind
	Share             SharePolicy
	Idempotent        bool    // calls may be retried unless the caller specifies otherwise
	Slots             int     // per backend server; 0 uses the number that the server reports
	PromptCost        float64 // cost units per prompt token
	TokenCost         float64 // cost units per generated token
	MillisecondCost   float64 // cost units per millisecond of a plain call
	DefaultDeadline   time.Duration
	MaxRequestBytes   int64
	MaxAnswerBytes    int64
	AnswerRetention   time.Duration // how long an agent keeps an unacknowledged answer
	RepaymentWindow   float64       // maximum distance from the fleet's virtual time, in cost units of an account of mean weight
	ReportInterval    time.Duration // between an agent's tally reports
	Homes             int           // home agents per service
	OfferSubset       int           // agents that a router first offers a request to
	WidenInterval     time.Duration // after which a router doubles its subset
	GrantLease        time.Duration // after which an unused grant expires
	SilenceTimeout    time.Duration // after which a connection without frames is considered failed
	HeartbeatInterval time.Duration // between frames of an answer that makes no progress
}

// View is the resolved settings at one revision, as routers and agents use them.
// It is immutable and safe for concurrent use.
type View interface {
	// Revision returns the number of accepted edits.
	Revision() uint64
	// Account returns the policy of a client account.
	Account(account fleet.Account) (AccountPolicy, bool)
	// AccountByKey returns the client account that owns an API key. It takes
	// the same time however many bytes of a hash match.
	AccountByKey(hash KeyHash) (fleet.Account, bool)
	// Accounts lists all client accounts in sorted order.
	Accounts() []fleet.Account
	// Service returns the policy of a service.
	Service(service fleet.Service) (ServicePolicy, bool)
	// Services lists all services in sorted order.
	Services() []fleet.Service
}
