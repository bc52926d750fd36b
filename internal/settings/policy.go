package settings

import (
	"time"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// KeyHash is the SHA-256 of an API key; the key itself is never stored.
type KeyHash [32]byte

// SharePolicy tells who decides which client account is served next.
type SharePolicy string

// The share policies. Fleet is the product; the others are baselines to
// measure it against.
const (
	ShareFleet       SharePolicy = "fleet"        // agents, by fleet clocks
	ShareAgentLocal  SharePolicy = "agent-local"  // agents, by their own charges alone
	ShareRouterLocal SharePolicy = "router-local" // routers, by their own charges alone
)

// ServiceKind tells how a service's backend servers are spoken to.
type ServiceKind string

// The kinds of service.
const (
	KindModel ServiceKind = "model" // a model engine with streams that resume
	KindPlain ServiceKind = "plain" // any other HTTP service
)

// AccountPolicy is what the tree says of one client account, with all
// inherited values resolved.
type AccountPolicy struct {
	Account         fleet.Account
	Weight          float64       // share relative to other accounts, above 0
	QueueRequests   int           // waiting requests per router
	QueueBytes      int64         // bytes of waiting requests per router
	RateLimit       float64       // requests a second per router; 0 is no limit
	DefaultDeadline time.Duration // when the caller names none
	MaxDeadline     time.Duration // a longer one is cut to this
	RetryBudget     float64       // retries per request, as a long-run ratio
	Disabled        bool          // its calls are refused
}

// ServicePolicy is what the tree says of one service, with all inherited
// values resolved.
type ServicePolicy struct {
	Service           fleet.Service
	Kind              ServiceKind
	Share             SharePolicy
	Idempotent        bool    // calls may be repeated unless the caller says otherwise
	Slots             int     // per backend server; 0 takes what the server reports
	PromptCost        float64 // cost units per prompt token
	TokenCost         float64 // cost units per generated token
	MillisecondCost   float64 // cost units per millisecond of a plain call
	DefaultDeadline   time.Duration
	MaxRequestBytes   int64
	MaxAnswerBytes    int64
	AnswerRetention   time.Duration // how long an agent keeps an answer that nobody acknowledges
	RepaymentWindow   float64       // cost units of an account of the mean weight around the fleet's virtual time
	ReportInterval    time.Duration // between an agent's tally reports
	Homes             int           // home agents per service
	OfferSubset       int           // agents that a router offers to at first
	WidenInterval     time.Duration // after which a router doubles its subset
	GrantLease        time.Duration // after which an unused grant lapses
	SilenceTimeout    time.Duration // without a frame, a connection is given up
	HeartbeatInterval time.Duration // between frames of an answer that makes no progress
}

// View is the tree at one revision, resolved for the routers and agents. It
// is immutable and safe for concurrent use.
type View interface {
	// Revision counts the accepted edits.
	Revision() uint64
	// Account returns the policy of a client account.
	Account(account fleet.Account) (AccountPolicy, bool)
	// AccountByKey returns the client account that owns an API key. The time
	// it takes does not depend on how much of a hash matches.
	AccountByKey(hash KeyHash) (fleet.Account, bool)
	// Accounts lists all client accounts in order.
	Accounts() []fleet.Account
	// Service returns the policy of a service.
	Service(service fleet.Service) (ServicePolicy, bool)
	// Services lists all services in order.
	Services() []fleet.Service
}
