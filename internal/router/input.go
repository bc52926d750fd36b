package router

import (
	"time"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/membership"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
	"github.com/bluebellchute/bluebellchute/internal/settings"
)

// Input is an event that the world takes in.
type Input interface{ input() }

// Arrived brings a caller's request.
type Arrived struct{ Request *Request }

// CallerGone tells that nobody waits for a request's answer any more.
type CallerGone struct{ Request fleet.RequestID }

// RunNotSent tells that nothing of an attempt has left the router.
type RunNotSent struct {
	Attempt AttemptID
	Peer    bool // the agent could not be reached; false: the grant's use-by had passed
}

// RunRefused tells that the agent did not run the attempt and will not.
type RunRefused struct {
	Attempt    AttemptID
	Reason     rpc.RefusalReason
	RetryAfter time.Duration
}

// RunAccepted tells that the agent has recorded the run.
type RunAccepted struct {
	Attempt   AttemptID
	FreeSlots uint32
}

// AnswerStarted tells that the caller has been given a part of the answer.
type AnswerStarted struct{ Attempt AttemptID }

// AnswerEnded tells that the whole answer has been received.
type AnswerEnded struct {
	Attempt   AttemptID
	FreeSlots uint32
	Cost      uint64
}

// AnswerFailed tells that the agent has no answer for the attempt.
type AnswerFailed struct {
	Attempt AttemptID
	State   rpc.RequestState
	Crashed bool
	Reason  string
}

// AnswerBroken tells that a connection ended, went silent, or carried frames
// that do not belong to the answer.
type AnswerBroken struct {
	Attempt  AttemptID
	Refused  bool // the agent's process is not there: the connection was refused
	Bad      bool // the frames did not add up to the checksum
	TooLarge bool // the answer is larger than the service permits
	Progress bool // something of the answer came since the connection was made
}

// FenceReplied brings the answer to a fence.
type FenceReplied struct {
	Attempt     AttemptID
	State       rpc.RequestState // unspecified when there was no reply
	Unreachable bool             // no reply
	Refused     bool             // no reply because the agent's process is not there
}

// ClaimReplied brings a guard's answer to a claim.
type ClaimReplied struct {
	Request fleet.RequestID
	Round   uint32
	Guard   fleet.Address
	Reply   *rpc.ClaimReply // nil when there was no reply
}

// OfferReplied brings an agent's answer to an offer.
type OfferReplied struct {
	Agent     fleet.Address
	Sequence  uint64
	FreeSlots uint32
	Resend    bool
	Failed    bool
}

// Granted brings slots that an agent gives to this router. Grants that were
// carried by an answer's frame have no call to reply to.
type Granted struct {
	Carried  bool
	Call     CallID
	Agent    fleet.Address
	Service  fleet.Service
	Grants   []*rpc.Grant
	Received time.Time
}

// FreeAsked tells that an agent has free slots and asks what waits here.
type FreeAsked struct {
	Call      CallID
	Agent     fleet.Address
	Service   fleet.Service
	FreeSlots uint32
}

// AgentHeard brings what an agent's envelope says.
type AgentHeard struct {
	Agent       fleet.Address
	Incarnation uint64
	Leaving     bool
}

// MembersChanged brings a new view of the fleet.
type MembersChanged struct{ View membership.View }

// SettingsChanged brings a new revision of the settings.
type SettingsChanged struct{ View settings.View }

// VerdictHeard brings a verdict on a request that crashed backend servers.
type VerdictHeard struct {
	Fingerprint Fingerprint
	Crashes     uint32
	Expires     time.Time
}

// DrainBegan tells that no new request is taken from now on.
type DrainBegan struct{}

// CallID names a control call that waits for the world's reply.
type CallID uint64

func (Arrived) input()         {}
func (CallerGone) input()      {}
func (RunNotSent) input()      {}
func (RunRefused) input()      {}
func (RunAccepted) input()     {}
func (AnswerStarted) input()   {}
func (AnswerEnded) input()     {}
func (AnswerFailed) input()    {}
func (AnswerBroken) input()    {}
func (FenceReplied) input()    {}
func (ClaimReplied) input()    {}
func (OfferReplied) input()    {}
func (Granted) input()         {}
func (FreeAsked) input()       {}
func (AgentHeard) input()      {}
func (MembersChanged) input()  {}
func (SettingsChanged) input() {}
func (VerdictHeard) input()    {}
func (DrainBegan) input()      {}
