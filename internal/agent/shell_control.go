package agent

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/twitchtv/twirp"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
)

// controlServer implements rpc.Agent. It only translates.
type controlServer struct {
	world inputs
	calls *calls
	fleet Fleet
}

var _ rpc.Agent = (*controlServer)(nil)

// ask sends an input and returns the world's answer of the type A.
func ask[A Answer](s *controlServer, build func(Ticket) Input) (A, error) {
	var none A
	answer, err := s.calls.ask(s.world, nil, build)
	if err != nil {
		return none, twirp.NewError(twirp.Unavailable, err.Error())
	}
	typed, ok := answer.(A)
	if !ok {
		return none, twirp.InternalErrorf("unexpected answer %T", answer)
	}
	return typed, nil
}

func (s *controlServer) heard(envelope *rpc.Envelope) error {
	if envelope == nil || envelope.Sender == "" {
		return twirp.RequiredArgumentError("envelope")
	}
	s.fleet.ReceiveEnvelope(envelope)
	return nil
}

// Offer implements rpc.Agent.
func (s *controlServer) Offer(_ context.Context, in *rpc.OfferRequest) (*rpc.OfferReply, error) {
	if err := s.heard(in.Envelope); err != nil {
		return nil, err
	}
	if ids := requestIDs(in.Acknowledged); len(ids) > 0 {
		s.world.Send(Acknowledge{IDs: ids})
	}
	noted, err := ask[OfferNoted](s, func(ticket Ticket) Input {
		return Offered{
			Ticket:      ticket,
			Router:      fleet.Address(in.Envelope.Sender),
			Incarnation: in.Envelope.Incarnation,
			Sequence:    in.Sequence,
			Full:        in.Full,
			Offers:      accountOffers(in.Offers),
			Declined:    in.Declined,
		}
	})
	if err != nil {
		return nil, err
	}
	return &rpc.OfferReply{Envelope: s.fleet.Envelope(), FreeSlots: noted.FreeSlots, Resend: noted.Resend}, nil
}

// Fence implements rpc.Agent.
func (s *controlServer) Fence(_ context.Context, in *rpc.FenceRequest) (*rpc.FenceReply, error) {
	id, err := requestID(in.RequestId)
	if err != nil {
		return nil, err
	}
	state, err := ask[FenceState](s, func(ticket Ticket) Input { return Fence{Ticket: ticket, ID: id} })
	if err != nil {
		return nil, err
	}
	return &rpc.FenceReply{Envelope: s.fleet.Envelope(), State: state.State}, nil
}

// Cancel implements rpc.Agent.
func (s *controlServer) Cancel(_ context.Context, in *rpc.CancelRequest) (*rpc.CancelReply, error) {
	id, err := requestID(in.RequestId)
	if err != nil {
		return nil, err
	}
	s.world.Send(Cancel{ID: id})
	return &rpc.CancelReply{Envelope: s.fleet.Envelope()}, nil
}

// Claim implements rpc.Agent.
func (s *controlServer) Claim(_ context.Context, in *rpc.ClaimRequest) (*rpc.ClaimReply, error) {
	id, err := requestID(in.RequestId)
	if err != nil {
		return nil, err
	}
	if in.Envelope != nil {
		s.fleet.ReceiveEnvelope(in.Envelope)
	}
	fenced, _ := uuid.FromBytes(in.FencedHolder) // none in most claims
	state, err := ask[ClaimState](s, func(ticket Ticket) Input {
		return Claim{
			Ticket:       ticket,
			Router:       fleet.Address(in.Envelope.GetSender()),
			Incarnation:  in.Envelope.GetIncarnation(),
			Account:      fleet.Account(in.Account),
			Key:          in.Key,
			ID:           id,
			BodyHash:     string(in.BodyHash),
			RunningAt:    fleet.Address(in.RunningAt),
			Attempt:      in.Attempt,
			Release:      in.Release,
			FencedHolder: fenced,
			FencedAt:     fleet.Address(in.FencedAt),
		}
	})
	if err != nil {
		return nil, err
	}
	reply := &rpc.ClaimReply{
		Envelope:    s.fleet.Envelope(),
		Result:      state.Result,
		RunningAt:   string(state.RunningAt),
		BodyDiffers: state.BodyDiffers,
	}
	if state.Result == rpc.ClaimResult_CLAIM_RESULT_HELD {
		reply.HolderRequestId = state.Holder[:]
	}
	return reply, nil
}

// Report implements rpc.Agent.
func (s *controlServer) Report(_ context.Context, in *rpc.ReportRequest) (*rpc.ReportReply, error) {
	if err := s.heard(in.Envelope); err != nil {
		return nil, err
	}
	totals, err := ask[Totals](s, func(ticket Ticket) Input {
		return Reported{
			Ticket:      ticket,
			Agent:       fleet.Address(in.Envelope.Sender),
			Incarnation: in.Envelope.Incarnation,
			Report:      in,
		}
	})
	if err != nil {
		return nil, err
	}
	totals.Reply.Envelope = s.fleet.Envelope()
	return totals.Reply, nil
}

// Drain implements rpc.Agent.
func (s *controlServer) Drain(_ context.Context, in *rpc.DrainRequest) (*rpc.DrainReply, error) {
	state, err := ask[DrainState](s, func(ticket Ticket) Input {
		return Drain{Ticket: ticket, Undo: in.Undo, Operator: in.Operator, Reason: in.Reason}
	})
	if err != nil {
		return nil, err
	}
	return &rpc.DrainReply{Envelope: s.fleet.Envelope(), Running: state.Running}, nil
}

func requestID(raw []byte) (fleet.RequestID, error) {
	id, err := uuid.FromBytes(raw)
	if err != nil {
		return id, twirp.InvalidArgumentError("request_id", err.Error())
	}
	return id, nil
}

// requestIDs leaves out what is not an id.
func requestIDs(raw [][]byte) []fleet.RequestID {
	ids := make([]fleet.RequestID, 0, len(raw))
	for _, each := range raw {
		if id, err := uuid.FromBytes(each); err == nil {
			ids = append(ids, id)
		}
	}
	return ids
}

func accountOffers(messages []*rpc.AccountOffer) []AccountOffer {
	offers := make([]AccountOffer, len(messages))
	for i, message := range messages {
		offers[i] = AccountOffer{
			Account:        fleet.Account(message.Account),
			Count:          message.Count,
			OldestDeadline: time.UnixMilli(message.OldestDeadlineMs),
			EstimatedCost:  message.EstimatedCost,
		}
	}
	return offers
}
