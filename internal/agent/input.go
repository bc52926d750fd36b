package agent

import (
	"time"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/membership"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
	"github.com/bluebellchute/bluebellchute/internal/settings"
)

// Ticket names one call that waits in a shell for the world's answer.
type Ticket uint64

// Fingerprint identifies the content of a request over all its sends.
type Fingerprint string

// Input is an event that the world takes in.
type Input interface{ isInput() }

// Dispatch is a request that a router sends to be run. Its body stays in the
// shell.
type Dispatch struct {
	Ticket            Ticket
	ID                fleet.RequestID
	Account           fleet.Account
	Service           fleet.Service
	Router            fleet.Address
	RouterIncarnation uint64
	Grant             uint64 // 0 when the router believes that a slot is free
	Deadline          time.Time
	EstimatedCost     uint64 // cost units, 0 when unknown
	Fingerprint       Fingerprint
	Suspect           bool
	Idempotent        bool
	Key               string          // the caller's idempotency key, or empty
	Guards            []fleet.Address // of the key
	Waiting           uint32          // further requests of the account at the router
	Attempt           uint32          // grows with each dispatch of the id to this agent
}

// Resume asks for the answer of a request on a new connection.
type Resume struct {
	Ticket Ticket
	ID     fleet.RequestID
}

// Fence asks for a request's state and forbids a run that has not begun.
type Fence struct {
	Ticket Ticket
	ID     fleet.RequestID
}

// Cancel stops a run whose caller has gone.
type Cancel struct {
	ID fleet.RequestID
}

// Acknowledge tells that the answers of the requests were delivered.
type Acknowledge struct {
	IDs []fleet.RequestID
}

// Delivered tells that a request's whole answer was written to a connection.
type Delivered struct {
	ID fleet.RequestID
}

// Offered is a router's statement of what waits there.
type Offered struct {
	Ticket      Ticket
	Router      fleet.Address
	Incarnation uint64
	Sequence    uint64
	Full        bool // accounts not listed are withdrawn
	Offers      []AccountOffer
	Declined    []uint64
}

// AccountOffer is the work of one account that waits at one router.
type AccountOffer struct {
	Account        fleet.Account
	Count          uint32
	OldestDeadline time.Time
	EstimatedCost  uint64
}

// GrantAnswered is a router's reply to grants, or its absence.
type GrantAnswered struct {
	Router      fleet.Address
	Incarnation uint64   // 0 when Failed
	Numbers     []uint64 // the grants that were sent
	Declined    []uint64
	Offers      []AccountOffer
	Failed      bool
}

// FreeAnswered is a router's reply to the question what waits there.
type FreeAnswered struct {
	Router      fleet.Address
	Incarnation uint64
	Offers      []AccountOffer
	Failed      bool
}

// RunProgress is what a run has produced so far, cumulative.
type RunProgress struct {
	ID     fleet.RequestID
	Tokens uint64
	Bytes  uint64
}

// RunEnd tells how a run came to its end.
type RunEnd int

// The ends of a run.
const (
	RunComplete RunEnd = iota // the whole answer is held
	RunFailed                 // it may have run; there is no whole answer
	RunCrashed                // the backend server went down during it
	RunNotSent                // nothing of it reached the backend server
)

// RunEnded is the last word on a run.
type RunEnded struct {
	ID           fleet.RequestID
	End          RunEnd
	Reason       string
	PromptTokens uint64
	Tokens       uint64 // generated; 0 with KnownUsage false
	KnownUsage   bool   // the backend server reported its usage
	Bytes        uint64 // of the answer's body
}

// Reported are an agent's cumulative charges, for which this one is a home.
type Reported struct {
	Ticket      Ticket
	Agent       fleet.Address
	Incarnation uint64
	Report      *rpc.ReportRequest
}

// ReportAnswered is a home's reply, or its absence.
type ReportAnswered struct {
	Home        fleet.Address
	Incarnation uint64
	Report      *rpc.ReportRequest
	Reply       *rpc.ReportReply // nil when the report failed
}

// Claim takes an idempotency key for a request, or frees it.
type Claim struct {
	Ticket       Ticket
	Router       fleet.Address // of the claiming request, or the agent that runs it
	Incarnation  uint64
	Account      fleet.Account
	Key          string
	ID           fleet.RequestID
	BodyHash     string // empty when an agent confirms a key before a run
	RunningAt    fleet.Address
	Attempt      uint32 // that runs there
	Release      bool
	FencedHolder fleet.RequestID // known never to run at FencedAt
	FencedAt     fleet.Address
}

// KeyConfirmed is a guard's answer to ConfirmKey, or its absence.
type KeyConfirmed struct {
	ID     fleet.RequestID
	Guard  fleet.Address
	Holds  bool // the request holds the key
	Failed bool
}

// Drain begins or ends the draining by an operator's order.
type Drain struct {
	Ticket   Ticket
	Undo     bool
	Operator string
	Reason   string
}

// Stopping tells that the process was asked to end.
type Stopping struct{}

// Load is a backend server's lagging report.
type Load struct {
	Slots   int
	Running int
	Waiting int
	Age     time.Duration
}

// Health tells whether the backend server answers.
type Health struct {
	Up bool
}

// Settings is a new revision in force.
type Settings struct {
	View settings.View
}

// Members is a new state of the fleet.
type Members struct {
	View    membership.View
	Leaving bool // by the platform's list, this agent's VM is
}

// Verdicts are suspect and convicted requests learned from peers.
type Verdicts struct {
	Verdicts []*rpc.Verdict
}

func (Dispatch) isInput()       {}
func (Resume) isInput()         {}
func (Fence) isInput()          {}
func (Cancel) isInput()         {}
func (Acknowledge) isInput()    {}
func (Delivered) isInput()      {}
func (Offered) isInput()        {}
func (GrantAnswered) isInput()  {}
func (FreeAnswered) isInput()   {}
func (RunProgress) isInput()    {}
func (RunEnded) isInput()       {}
func (Reported) isInput()       {}
func (ReportAnswered) isInput() {}
func (Claim) isInput()          {}
func (KeyConfirmed) isInput()   {}
func (Drain) isInput()          {}
func (Stopping) isInput()       {}
func (Load) isInput()           {}
func (Health) isInput()         {}
func (Settings) isInput()       {}
func (Members) isInput()        {}
func (Verdicts) isInput()       {}
