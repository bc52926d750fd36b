package router

import (
	"time"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/settings"
)

// state is where a request stands.
type state int

// The states of a request.
const (
	stateClaiming state = iota // its key is being claimed at the guards
	stateWaiting               // in its account's queue
	stateSent                  // sent, no frame yet
	stateRunning               // recorded at the agent
	stateUnclear               // the connection broke; being resumed or fenced
)

// entry is a request in the world.
type entry struct {
	request    *Request
	state      state
	queue      *accountQueue
	place      int // in the queue's heap, -1 when not waiting
	attempt    *attempt
	attempts   uint32
	excluded   []fleet.Address // agents at which the id is fenced
	mayHaveRun bool            // an earlier attempt's outcome is unknown
	crashes    uint32          // backend servers that went down with it
	refusals   int
	restarts   int       // after a damaged answer
	brokenAt   time.Time // first break since the last progress; zero when none
	resumeAt   time.Time // next try to resume; zero when none is due
	claim      *claim    // nil without a key
}

// excludes tells whether the request cannot run at the agent any more.
func (e *entry) excludes(agent fleet.Address) bool {
	for _, address := range e.excluded {
		if address == agent {
			return true
		}
	}
	return false
}

// attempt is one try to get an answer from one agent.
type attempt struct {
	number   uint32
	agent    *agentRow // nil when a joined answer's agent is not in the view
	data     fleet.Address
	grant    uint64
	believed bool // sent without a grant and not yet answered
	accepted bool
	joined   bool // the answer of an earlier request with the same key
	waiting  int  // what the agent was told to wait of the account
	suspect  bool // a server crashed while it ran before
	estimate float64
}

// agentRow is an agent as this router knows it.
type agentRow struct {
	node        fleet.Node
	service     *serviceRow
	incarnation uint64
	leaving     bool // it said so itself
	listed      bool // it is in the view and live there
	heard       int  // free slots by its last word
	unanswered  int  // own dispatches without a grant since
	heardAt     time.Time
	rank        int // place among the agents that take work, -1 when not one of them
	offer       offerState
}

// free is the number of slots that the agent is believed to have for this
// router.
func (a *agentRow) free() int { return a.heard - a.unanswered }

// takesWork tells whether the agent may be given new work.
func (a *agentRow) takesWork() bool { return a.listed && !a.leaving }

// serviceRow is a service with what waits for it.
type serviceRow struct {
	name     fleet.Service
	policy   settings.ServicePolicy
	queues   map[fleet.Account]*accountQueue
	hashes   map[uint32][]*accountQueue // by the hash of the account
	waiting  int
	backlog  map[*accountQueue]struct{} // queues that are not empty
	agents   []*agentRow                // that take work, in the order of offering
	budget   retryBudget
	clocks   localClocks
	prefixes map[uint64]*agentRow
	noneAt   time.Time // since when no agent takes work; zero when one does
}
