package router

import (
	"context"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/membership"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
	"github.com/bluebellchute/bluebellchute/internal/settings"
)

// Fleet is what the router needs of the shared knowledge of the fleet: the
// settings in force, the list of nodes, and the verdicts.
type Fleet interface {
	// Settings returns the revision in force, or nil before the first.
	Settings() settings.View
	// Members returns the nodes of the fleet.
	Members() membership.View
	// Verdicts returns the unexpired verdicts.
	Verdicts() []*rpc.Verdict
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
	// Envelope returns this node's envelope for a control message.
	Envelope() *rpc.Envelope
	// ReceiveEnvelope processes the envelope of another node's control message.
	ReceiveEnvelope(envelope *rpc.Envelope)
	// CallFailed counts a control call to a peer that got no answer.
	CallFailed(peer fleet.Address)
	// SetLeaving tells whether this node takes new work.
	SetLeaving(leaving bool)
}

// Agents makes clients of agents. control.Pool implements it.
type Agents interface {
	Agent(address fleet.Address) rpc.Agent
	// FreshAgent returns a client that opens a new connection for each call.
	FreshAgent(address fleet.Address) rpc.Agent
}

const (
	// offerTimeout bounds an offer; a later one puts it right.
	offerTimeout = time.Second
	// claimTimeout bounds a claim, so that a guard that is cut off does not
	// hold a caller up for long.
	claimTimeout = time.Second
	// cancelTimeout bounds a cancel, which nobody waits for.
	cancelTimeout = time.Second
	// replyTimeout bounds the wait of a control call for the world.
	replyTimeout = time.Second
)

// agentCaller sends control messages to agents, each in a goroutine of its
// own, and brings the replies back as inputs. Their number is bounded by what
// the world orders: one offer per agent, and a few calls per request.
type agentCaller struct {
	agents Agents
	fleet  Fleet
	report func(Input) bool
}

// heard hands an agent's envelope to the fleet's knowledge and to the world.
func (a *agentCaller) heard(envelope *rpc.Envelope) {
	if envelope == nil || envelope.Sender == "" {
		return
	}
	a.fleet.ReceiveEnvelope(envelope)
	a.report(AgentHeard{
		Agent:       fleet.Address(envelope.Sender),
		Incarnation: envelope.Incarnation,
		Leaving:     envelope.Leaving,
	})
}

func (a *agentCaller) offer(command SendOffer) {
	ctx, cancel := context.WithTimeout(context.Background(), offerTimeout)
	defer cancel()
	command.Message.Envelope = a.fleet.Envelope()
	reply, err := a.agents.Agent(command.Agent).Offer(ctx, command.Message)
	replied := OfferReplied{Agent: command.Agent, Sequence: command.Message.Sequence, Failed: err != nil}
	if err != nil {
		a.fleet.CallFailed(command.Agent)
	} else {
		a.heard(reply.Envelope)
		replied.FreeSlots = reply.FreeSlots
		replied.Resend = reply.Resend
	}
	a.report(replied)
}

func (a *agentCaller) fence(command SendFence) {
	ctx, cancel := context.WithTimeout(context.Background(), command.Timeout)
	defer cancel()
	id := command.ID
	// The connection in use may be the one that has gone silent.
	reply, err := a.agents.FreshAgent(command.Agent).Fence(ctx, &rpc.FenceRequest{
		Envelope:  a.fleet.Envelope(),
		RequestId: id[:],
	})
	replied := FenceReplied{Attempt: command.Attempt}
	if err != nil {
		a.fleet.CallFailed(command.Agent)
		replied.Unreachable = true
		replied.Refused = errors.Is(err, syscall.ECONNREFUSED)
	} else {
		a.heard(reply.Envelope)
		replied.State = reply.State
	}
	a.report(replied)
}

func (a *agentCaller) cancel(command SendCancel) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	id := command.Request
	// A lost cancel costs a run that nobody reads, until its deadline.
	_, _ = a.agents.Agent(command.Agent).Cancel(ctx, &rpc.CancelRequest{
		Envelope:  a.fleet.Envelope(),
		RequestId: id[:],
	})
}

func (a *agentCaller) claim(command SendClaim) {
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	request := command.Request
	id := request.ID
	reply, err := a.agents.Agent(command.Guard).Claim(ctx, &rpc.ClaimRequest{
		Envelope:  a.fleet.Envelope(),
		Account:   string(request.Account),
		Key:       request.Key,
		RequestId: id[:],
		BodyHash:  request.BodyHash[:],
		RunningAt: string(command.Running),
		Release:   command.Release,
		Attempt:   command.Attempt,

		FencedHolder: command.Fenced[:],
		FencedAt:     string(command.At),
	})
	if command.Round == 0 {
		return // news for the guard; the world waits for no reply
	}
	if err != nil {
		a.fleet.CallFailed(command.Guard)
		reply = nil
	} else {
		a.heard(reply.Envelope)
	}
	a.report(ClaimReplied{Request: id, Round: command.Round, Guard: command.Guard, Reply: reply})
}

// controlServer implements rpc.Router. It only translates.
type controlServer struct {
	caller *agentCaller
	calls  sync.Map // CallID to chan Output
	last   atomic.Uint64
}

var _ rpc.Router = (*controlServer)(nil)

// ask sends an input and waits for the world's reply to it.
func (s *controlServer) ask(ctx context.Context, build func(CallID) Input) (Output, error) {
	call := CallID(s.last.Add(1))
	replies := make(chan Output, 1)
	s.calls.Store(call, replies)
	defer s.calls.Delete(call)
	if !s.caller.report(build(call)) {
		return nil, twirp.NewError(twirp.Unavailable, "the router is stopping")
	}
	ctx, cancel := context.WithTimeout(ctx, replyTimeout)
	defer cancel()
	select {
	case reply := <-replies:
		return reply, nil
	case <-ctx.Done():
		return nil, twirp.NewError(twirp.DeadlineExceeded, "the router is overloaded")
	}
}

// reply hands the world's reply to the call that waits for it.
func (s *controlServer) reply(call CallID, output Output) {
	if replies, ok := s.calls.Load(call); ok {
		replies.(chan Output) <- output
	}
}

// Grant implements rpc.Router.
func (s *controlServer) Grant(ctx context.Context, in *rpc.GrantRequest) (*rpc.GrantReply, error) {
	received := time.Now()
	if in.Envelope == nil {
		return nil, twirp.RequiredArgumentError("envelope")
	}
	s.caller.heard(in.Envelope)
	output, err := s.ask(ctx, func(call CallID) Input {
		return Granted{
			Call:     call,
			Agent:    fleet.Address(in.Envelope.Sender),
			Service:  fleet.Service(in.Service),
			Grants:   in.Grants,
			Received: received,
		}
	})
	if err != nil {
		return nil, err
	}
	reply := output.(ReplyGrant).Message
	reply.Envelope = s.caller.fleet.Envelope()
	return reply, nil
}

// Free implements rpc.Router.
func (s *controlServer) Free(ctx context.Context, in *rpc.FreeRequest) (*rpc.FreeReply, error) {
	if in.Envelope == nil {
		return nil, twirp.RequiredArgumentError("envelope")
	}
	s.caller.heard(in.Envelope)
	output, err := s.ask(ctx, func(call CallID) Input {
		return FreeAsked{
			Call:      call,
			Agent:     fleet.Address(in.Envelope.Sender),
			Service:   fleet.Service(in.Service),
			FreeSlots: in.FreeSlots,
		}
	})
	if err != nil {
		return nil, err
	}
	reply := output.(ReplyFree).Message
	reply.Envelope = s.caller.fleet.Envelope()
	return reply, nil
}
