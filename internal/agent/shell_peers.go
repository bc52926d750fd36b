package agent

import (
	"context"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
)

// clients makes clients of other nodes. control.Pool implements it.
type clients interface {
	Agent(address fleet.Address) rpc.Agent
	Router(address fleet.Address) rpc.Router
}

// peerCaller sends control messages to other nodes, each in a goroutine of its
// own, and brings the replies back as inputs. Their number is bounded by what
// the world orders: one Grant per router and step, MaxAsked questions per
// round and one report per home and interval, each with a timeout.
type peerCaller struct {
	clients clients
	fleet   Fleet
	world   inputs
	service fleet.Service
	data    fleet.Address // of this agent
	group   sync.WaitGroup
	ctx     context.Context
}

func newPeerCaller(ctx context.Context, options Options, world inputs) *peerCaller {
	return &peerCaller{
		ctx:     ctx,
		clients: options.Clients,
		fleet:   options.Fleet,
		world:   world,
		service: options.Config.Backend.Service,
		data:    options.Config.Node.Data,
	}
}

func (p *peerCaller) sendGrants(command SendGrants) {
	p.group.Go(func() {
		ctx, cancel := context.WithTimeout(p.ctx, grantTimeout(command.Grants))
		defer cancel()
		reply, err := p.clients.Router(command.Router).Grant(ctx, &rpc.GrantRequest{
			Envelope: p.fleet.Envelope(),
			Service:  string(p.service),
			Grants:   command.Grants,
		})
		p.world.Send(p.grantAnswered(command, reply, err))
	})
}

// grantTimeout is the shortest lease: a reply after it is of no use.
func grantTimeout(grants []*rpc.Grant) time.Duration {
	shortest := lo.MinBy(grants, func(a, b *rpc.Grant) bool { return a.LeaseMs < b.LeaseMs })
	return time.Duration(shortest.GetLeaseMs()) * time.Millisecond
}

func (p *peerCaller) grantAnswered(command SendGrants, reply *rpc.GrantReply, err error) GrantAnswered {
	answered := GrantAnswered{
		Router:  command.Router,
		Numbers: lo.Map(command.Grants, func(g *rpc.Grant, _ int) uint64 { return g.Number }),
		Failed:  err != nil,
	}
	if err != nil {
		p.fleet.CallFailed(command.Router)
		return answered
	}
	p.fleet.ReceiveEnvelope(reply.Envelope)
	answered.Incarnation = reply.Envelope.GetIncarnation()
	answered.Declined = reply.Declined
	answered.Offers = accountOffers(reply.Offers)
	return answered
}

func (p *peerCaller) askRouter(command AskRouter) {
	p.group.Go(func() {
		reply, err := p.clients.Router(command.Router).Free(p.ctx, &rpc.FreeRequest{
			Envelope:  p.fleet.Envelope(),
			Service:   string(p.service),
			FreeSlots: command.FreeSlots,
		})
		answered := FreeAnswered{Router: command.Router, Failed: err != nil}
		if err != nil {
			p.fleet.CallFailed(command.Router)
		} else {
			p.fleet.ReceiveEnvelope(reply.Envelope)
			answered.Incarnation = reply.Envelope.GetIncarnation()
			answered.Offers = accountOffers(reply.Offers)
		}
		p.world.Send(answered)
	})
}

func (p *peerCaller) sendReport(command SendReport) {
	p.group.Go(func() {
		command.Report.Envelope = p.fleet.Envelope()
		reply, err := p.clients.Agent(command.Home).Report(p.ctx, command.Report)
		answered := ReportAnswered{Home: command.Home, Report: command.Report}
		if err != nil {
			p.fleet.CallFailed(command.Home)
		} else {
			p.fleet.ReceiveEnvelope(reply.Envelope)
			answered.Incarnation = reply.Envelope.GetIncarnation()
			answered.Reply = reply
		}
		p.world.Send(answered)
	})
}

func (p *peerCaller) confirmKey(command ConfirmKey) {
	p.group.Go(func() {
		reply, err := p.clients.Agent(command.Guard).Claim(p.ctx, &rpc.ClaimRequest{
			Envelope:  p.fleet.Envelope(),
			Account:   string(command.Account),
			Key:       command.Key,
			RequestId: command.ID[:],
			RunningAt: string(p.data),
			Attempt:   command.Attempt,
		})
		answered := KeyConfirmed{ID: command.ID, Guard: command.Guard, Failed: err != nil}
		if err != nil {
			p.fleet.CallFailed(command.Guard)
		} else {
			p.fleet.ReceiveEnvelope(reply.Envelope)
			answered.Holds = reply.Result != rpc.ClaimResult_CLAIM_RESULT_HELD
		}
		p.world.Send(answered)
	})
}

func (p *peerCaller) spreadVerdict(command SpreadVerdict) { p.fleet.AddVerdict(command.Verdict) }

// wait blocks until all calls have ended.
func (p *peerCaller) wait() { p.group.Wait() }
