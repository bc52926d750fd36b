package router

import (
	"time"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
)

// Output is a command that the shell carries out.
type Output interface{ output() }

// SendRun sends a request to an agent.
type SendRun struct {
	Attempt AttemptID
	Request *Request
	Agent   fleet.Node
	Grant   uint64    // 0: the agent is believed to have a free slot
	UseBy   time.Time // nothing may be sent after it; zero without a grant
	Suspect bool
	Waiting uint32          // further requests of the account
	Acks    [][]byte        // ids of answers that were handed out
	Guards  []fleet.Address // of the request's key
	Silence time.Duration   // without a frame, the connection is given up
}

// SendResume fetches the rest of an answer over a new connection.
type SendResume struct {
	Attempt AttemptID
	Request *Request
	Agent   fleet.Address // data address
	Silence time.Duration
}

// SendFence asks an agent for a request's state and forbids a run that has not
// begun.
type SendFence struct {
	Attempt AttemptID
	ID      fleet.RequestID // whose answer the attempt fetches
	Agent   fleet.Address   // control address
	Timeout time.Duration
}

// SendCancel tells an agent that nobody waits for an answer.
type SendCancel struct {
	Request fleet.RequestID
	Agent   fleet.Address // control address
}

// SendClaim claims a caller's key at a guard.
type SendClaim struct {
	Request *Request
	Round   uint32
	Guard   fleet.Address // control address
	Running fleet.Address // data address of the agent that runs it, once known
	Attempt uint32        // that runs there
	Release bool
	Fenced  fleet.RequestID // a holder of the key that will never run ...
	At      fleet.Address   // ... at the agent with this data address
}

// SendOffer tells an agent what waits here.
type SendOffer struct {
	Agent   fleet.Address     // control address
	Message *rpc.OfferRequest // without its envelope
}

// ReplyGrant answers a Granted.
type ReplyGrant struct {
	Call    CallID
	Message *rpc.GrantReply
}

// ReplyFree answers a FreeAsked.
type ReplyFree struct {
	Call    CallID
	Message *rpc.FreeReply
}

// Finish is the final word on a request.
type Finish struct {
	Request *Request
	Result  Result
}

func (SendRun) output()    {}
func (SendResume) output() {}
func (SendFence) output()  {}
func (SendCancel) output() {}
func (SendClaim) output()  {}
func (SendOffer) output()  {}
func (ReplyGrant) output() {}
func (ReplyFree) output()  {}
func (Finish) output()     {}
