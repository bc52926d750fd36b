package agent

import (
	"time"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
)

// requestState is what this agent knows of a request whose answer it may hold.
type requestState int

// The states of a row in the table of requests. A request that has no answer
// to hand out leaves the table and is remembered in the table of ended ones.
const (
	stateQueued   requestState = iota // admitted, waits for a slot
	stateRunning                      // at the backend server
	stateComplete                     // the whole answer is held
	stateFailed                       // it ran or may have run; the failure is held
	stateFenced                       // it never ran and never will; the failure is held
)

// request is one admitted request.
type request struct {
	id          fleet.RequestID
	account     fleet.Account
	router      fleet.Address
	deadline    time.Time
	fingerprint Fingerprint
	suspect     bool
	state       requestState
	startedAt   time.Time
	endedAt     time.Time
	charged     float64 // cost units charged so far
	tokens      uint64
	bytes       uint64
	delivered   bool // the whole answer was written to a connection once
	deliveredAt time.Time
	cancelled   bool

	key         string
	idempotent  bool
	attempt     uint32
	unconfirmed []fleet.Address // guards of the key that are still to be asked
}

// ended tells whether the request needs no slot any more.
func (r *request) ended() bool { return r.state >= stateComplete }

// wireState is the state as the control protocol names it.
func (r *request) wireState() rpc.RequestState {
	switch r.state {
	case stateComplete:
		return rpc.RequestState_REQUEST_STATE_COMPLETE
	case stateFailed:
		return rpc.RequestState_REQUEST_STATE_FAILED
	case stateFenced:
		return rpc.RequestState_REQUEST_STATE_FENCED
	default:
		return rpc.RequestState_REQUEST_STATE_RUNNING
	}
}

// router is one router that offers work or has been granted slots.
type router struct {
	address     fleet.Address
	incarnation uint64
	sequence    uint64 // of the last OfferRequest taken in
	offers      map[fleet.Account]*offer
	lastGrant   uint64 // number of the last grant; the smaller is served first
	heardAt     time.Time
	resend      bool          // its offers were dropped here, so it must repeat them
	recallAt    time.Time     // when it is asked for the dropped offers; zero when none were
	recallWait  time.Duration // between two such questions
	silent      bool          // it did not answer the last question
	callUntil   time.Time     // grants go out as calls until then
}

// offer is the work of one account that waits at one router.
type offer struct {
	account     fleet.Account
	router      *router
	count       uint32 // as the router last said, less what was granted since
	deadline    time.Time
	cost        uint64
	refreshedAt time.Time
}

// grant is a numbered lease of one slot.
type grant struct {
	number      uint64
	account     fleet.Account // empty when the router chooses
	router      fleet.Address
	incarnation uint64
	charged     bool // its estimate counts in the account's clock
	sentAt      time.Time
	lapsesAt    time.Time
}

// account is one client account that has work here or offers some.
type account struct {
	name    fleet.Account
	offers  map[fleet.Address]*offer // by router
	running int                      // queued and running requests
	granted int                      // outstanding grants
}

// idle tells that the row may be dropped.
func (a *account) idle() bool { return a.running == 0 && !a.waits() }

// waits tells whether work of the account waits at a router, be it offered or
// about to come on a grant.
func (a *account) waits() bool { return a.granted > 0 || len(a.offers) > 0 }
