package agent

import (
	"time"

	"github.com/bluebellchute/bluebellchute/internal/event"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
)

// Command is what the world orders the shells to do.
type Command interface{ isCommand() }

// Answer is what the world replies to a call that waits with a ticket.
type Answer interface{ isAnswer() }

// Reply hands an answer to the call that waits with the ticket.
type Reply struct {
	Ticket Ticket
	Answer Answer
}

// StartRun begins the run of an admitted request.
type StartRun struct {
	ID       fleet.RequestID
	Deadline time.Time
}

// CancelRun stops a run. The shell still reports its end.
type CancelRun struct {
	ID fleet.RequestID
}

// Seal ends an answer: readers get its end only after this command, so that
// the state of the request is recorded before its router can rely on it.
type Seal struct {
	ID        fleet.RequestID
	State     rpc.RequestState // COMPLETE, FAILED or FENCED
	Reason    string
	Crashed   bool
	Cost      uint64
	FreeSlots uint32
}

// ForgetAnswer drops the bytes of an answer.
type ForgetAnswer struct {
	ID fleet.RequestID
}

// SendGrants hands slots to a router. They may ride on the answer to one of its
// requests. Then no GrantAnswered follows: the router declines with its next
// offer, and grants that are lost with the connection lapse.
type SendGrants struct {
	Router      fleet.Address
	Incarnation uint64
	Grants      []*rpc.Grant
	ByCall      bool // they must not ride: some that did were lost lately
}

// AskRouter tells a router of free slots and asks what waits there.
type AskRouter struct {
	Router    fleet.Address
	FreeSlots uint32
}

// SendReport brings charges to a home.
type SendReport struct {
	Home   fleet.Address
	Report *rpc.ReportRequest // without its envelope
}

// ConfirmKey asks a guard whether a request still holds its key, and tells it
// where the request is about to run.
type ConfirmKey struct {
	ID      fleet.RequestID
	Guard   fleet.Address
	Account fleet.Account
	Key     string
	Attempt uint32
}

// SpreadVerdict makes a verdict known to the fleet.
type SpreadVerdict struct {
	Verdict *rpc.Verdict
}

// SetFreeSlots is the number that the shells put on every reply.
type SetFreeSlots struct {
	FreeSlots uint32
	Leaving   bool
}

// Idle tells that a stopping agent has nothing left to do.
type Idle struct{}

// Note writes an event to the log.
type Note struct {
	Event   event.Event
	Request fleet.RequestID
	Peer    fleet.Address
	Detail  string
}

func (Reply) isCommand()         {}
func (StartRun) isCommand()      {}
func (CancelRun) isCommand()     {}
func (Seal) isCommand()          {}
func (ForgetAnswer) isCommand()  {}
func (SendGrants) isCommand()    {}
func (AskRouter) isCommand()     {}
func (SendReport) isCommand()    {}
func (ConfirmKey) isCommand()    {}
func (SpreadVerdict) isCommand() {}
func (SetFreeSlots) isCommand()  {}
func (Idle) isCommand()          {}
func (Note) isCommand()          {}

// Refused answers a Dispatch that did not and will not run here.
type Refused struct {
	Reason     rpc.RefusalReason
	RetryAfter time.Duration
}

// Admitted answers a Dispatch whose run is recorded.
type Admitted struct {
	FreeSlots uint32
}

// Served answers a Resume: the answer is held or being made.
type Served struct{}

// NotServed answers a Resume: there is no answer to resume.
type NotServed struct {
	State  rpc.RequestState
	Reason string
}

// FenceState answers a Fence.
type FenceState struct {
	State rpc.RequestState
}

// OfferNoted answers Offered.
type OfferNoted struct {
	FreeSlots uint32
	Resend    bool
}

// Totals answers Reported.
type Totals struct {
	Reply *rpc.ReportReply
}

// ClaimState answers a Claim.
type ClaimState struct {
	Result      rpc.ClaimResult
	Holder      fleet.RequestID
	RunningAt   fleet.Address
	BodyDiffers bool
}

// DrainState answers a Drain.
type DrainState struct {
	Running uint32
}

func (Refused) isAnswer()    {}
func (Admitted) isAnswer()   {}
func (Served) isAnswer()     {}
func (NotServed) isAnswer()  {}
func (FenceState) isAnswer() {}
func (OfferNoted) isAnswer() {}
func (Totals) isAnswer()     {}
func (ClaimState) isAnswer() {}
func (DrainState) isAnswer() {}
