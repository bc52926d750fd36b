package pathtest

import (
	"errors"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellchute/bluebellchute/internal/agent"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/router"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
)

// Head implements router.Sink.
func (s *simSink) Head(int, []*rpc.Header) {}

// simAnswer is an answer as its agent holds it.
type simAnswer struct {
	body  string
	seal  *agent.Seal
	conns []*simConn
}

// simConn is one connection on the data path.
type simConn struct {
	router, agent   *simNode
	routerE, agentE uint64
	attempt         router.AttemptID
	receiver        *router.Receiver
	silence         time.Duration
	id              fleet.RequestID
	sent            uint64
	headSent, ended bool
	carries         bool // the agent may send grants with its frames
	silent          bool // nothing arrives any more
	crossed         bool // the next frame carries another request's id
	closed          bool // the router has let go of it
	heard           time.Time
	progress        bool
}

// stepRouter steps a router's world and carries out its commands.
func (s *sim) stepRouter(n *simNode, inputs ...router.Input) {
	outputs, next := n.router.Step(s.now, inputs)
	for _, output := range outputs {
		s.doRouter(n, output)
	}
	s.planWake(n, next, func() { s.stepRouter(n) })
}

func (s *sim) stepAgent(n *simNode, inputs ...agent.Input) {
	commands, next := n.agent.Step(s.now, inputs)
	for _, command := range commands {
		s.doAgent(n, command)
	}
	s.planWake(n, next, func() { s.stepAgent(n) })
}

func (s *sim) planWake(n *simNode, next time.Time, step func()) {
	n.wake++
	wake, epoch := n.wake, n.epoch
	if next.IsZero() {
		return
	}
	if !next.After(s.now) {
		next = s.now.Add(time.Millisecond)
	}
	s.at(next, func() {
		if n.wake == wake && n.epoch == epoch {
			s.whenAwake(n, step)
		}
	})
}

func (s *sim) find(address fleet.Address) *simNode {
	for _, n := range s.nodes() {
		if n.node.Control == address || n.node.Data == address {
			return n
		}
	}
	return nil
}

func (s *sim) doRouter(n *simNode, output router.Output) {
	switch c := output.(type) {
	case router.SendRun:
		s.sendRun(n, c)
	case router.SendResume:
		s.sendResume(n, c)
	case router.SendFence:
		s.sendFence(n, c)
	case router.SendCancel:
		s.send(message{step: fleet.StepSend, from: n, to: s.find(c.Agent), deliver: func(m *message) {
			s.stepAgent(m.to, agent.Cancel{ID: c.Request})
		}})
	case router.SendOffer:
		s.sendOffer(n, c)
	case router.SendClaim:
		s.sendClaim(n, c)
	case router.Finish:
		s.finish(n, c)
	}
}

func (s *sim) finish(n *simNode, c router.Finish) {
	for _, call := range s.calls {
		if call.request == c.Request {
			call.finishes = append(call.finishes, c.Result)
			_, body := c.Request.Answer.Answer()
			call.body = string(body)
			if call.sink != nil {
				call.body = call.sink.body.String()
			}
		}
	}
}

// askAgent steps an agent with an input that it answers.
func (s *sim) askAgent(n *simNode, build func(agent.Ticket) agent.Input, answered func(agent.Answer)) {
	n.ticket++
	n.asks[n.ticket] = answered
	s.stepAgent(n, build(n.ticket))
}

func (s *sim) connect(n *simNode, attempt router.AttemptID, request *router.Request, to *simNode, silence time.Duration) *simConn {
	c := &simConn{
		router: n, agent: to, routerE: n.epoch, agentE: to.epoch, attempt: attempt,
		receiver: request.Answer, id: request.Answer.ID(), silence: silence, heard: s.now,
	}
	s.conns = append(s.conns, c)
	s.watch(c)
	return c
}

// watch gives a connection up that is silent for too long, or whose agent's
// process is gone.
func (s *sim) watch(c *simConn) {
	s.at(c.heard.Add(c.silence), func() {
		s.whenAwake(c.router, func() {
			switch {
			case c.closed || c.router.epoch != c.routerE:
			case s.now.Sub(c.heard) >= c.silence:
				s.breakConn(c, router.AnswerBroken{})
			default:
				s.watch(c)
			}
		})
	})
}

func (s *sim) breakConn(c *simConn, broken router.AnswerBroken) {
	c.closed = true
	broken.Attempt = c.attempt
	broken.Progress = c.progress
	s.stepRouter(c.router, broken)
}

func (s *sim) sendRun(n *simNode, c router.SendRun) {
	to := s.find(c.Agent.Control)
	conn := s.connect(n, c.Attempt, c.Request, to, c.Silence)
	epoch := n.epoch
	to.sentTo = append(to.sentTo, s.now)
	s.send(message{step: fleet.StepSend, from: n, to: to, conn: conn, deliver: func(*message) {
		if conn.silent {
			return
		}
		conn.agentE = to.epoch
		s.stepAgent(to, agent.Acknowledge{IDs: requestIDs(c.Acks)})
		s.askAgent(to, func(ticket agent.Ticket) agent.Input {
			return agent.Dispatch{
				Ticket: ticket, ID: c.Request.ID, Attempt: c.Attempt.Number, Account: c.Request.Account, Service: simService,
				Router: n.node.Control, RouterIncarnation: epoch, Grant: c.Grant, Deadline: c.Request.Deadline,
				Suspect: c.Suspect, Waiting: c.Waiting,
				Idempotent: c.Request.Idempotent, Key: c.Request.Key, Guards: c.Guards,
			}
		}, func(answer agent.Answer) { s.beginAnswer(to, conn, answer) })
	}})
}

// beginAnswer sends the first frame.
func (s *sim) beginAnswer(n *simNode, conn *simConn, answer agent.Answer) {
	switch a := answer.(type) {
	case agent.Refused:
		s.frame(conn, &rpc.AnswerFrame{Frame: &rpc.AnswerFrame_Refused{Refused: &rpc.Refused{Reason: a.Reason}}})
	case agent.Admitted:
		held := &simAnswer{}
		n.held[conn.id] = held
		s.frame(conn, &rpc.AnswerFrame{Frame: &rpc.AnswerFrame_Accepted{Accepted: &rpc.Accepted{FreeSlots: a.FreeSlots}}})
		conn.carries = true
		s.attach(conn, held)
	}
}

func (s *sim) sendResume(n *simNode, c router.SendResume) {
	to := s.find(c.Agent)
	conn := s.connect(n, c.Attempt, c.Request, to, c.Silence)
	conn.sent, conn.headSent = c.Request.Answer.Position()
	s.send(message{step: fleet.StepAnswer, from: n, to: to, conn: conn, deliver: func(*message) {
		if conn.silent {
			return
		}
		conn.agentE = to.epoch
		s.askAgent(to, func(ticket agent.Ticket) agent.Input {
			return agent.Resume{Ticket: ticket, ID: conn.id}
		}, func(answer agent.Answer) {
			if refused, ok := answer.(agent.NotServed); ok {
				s.failedFrame(conn, refused.State)
				return
			}
			s.attach(conn, to.held[conn.id])
		})
	}})
}

func (s *sim) failedFrame(conn *simConn, state rpc.RequestState) {
	s.frame(conn, &rpc.AnswerFrame{Frame: &rpc.AnswerFrame_Failed{Failed: &rpc.Failed{State: state}}})
}

// attach lets a connection read an answer as it grows.
func (s *sim) attach(conn *simConn, held *simAnswer) {
	held.conns = append(held.conns, conn)
	s.pump(conn, held)
	s.beat(conn)
}

func (s *sim) beat(conn *simConn) {
	s.after(heartbeat, func() {
		if conn.ended || conn.closed || conn.agent.epoch != conn.agentE {
			return
		}
		s.whenAwake(conn.agent, func() {
			s.frame(conn, &rpc.AnswerFrame{Frame: &rpc.AnswerFrame_Heartbeat{Heartbeat: &rpc.Heartbeat{}}})
			s.beat(conn)
		})
	})
}

// pump sends what a connection lacks of an answer.
func (s *sim) pump(conn *simConn, held *simAnswer) {
	if conn.ended || conn.agent.epoch != conn.agentE {
		return
	}
	if held.body != "" && !conn.headSent {
		conn.headSent = true
		s.frame(conn, &rpc.AnswerFrame{Frame: &rpc.AnswerFrame_Head{Head: &rpc.AnswerHead{Status: 200}}})
	}
	if rest := held.body[min(uint64(len(held.body)), conn.sent):]; rest != "" {
		s.frame(conn, &rpc.AnswerFrame{Frame: &rpc.AnswerFrame_Data{Data: &rpc.AnswerData{Offset: conn.sent, Data: []byte(rest)}}})
		conn.sent = uint64(len(held.body))
	}
	if held.seal == nil {
		return
	}
	conn.ended = true
	if held.seal.State != rpc.RequestState_REQUEST_STATE_COMPLETE {
		s.failedFrame(conn, held.seal.State)
		return
	}
	s.frame(conn, &rpc.AnswerFrame{Frame: &rpc.AnswerFrame_End{End: &rpc.AnswerEnd{
		Length: conn.sent, Checksum: xxhash.Sum64String(held.body), FreeSlots: held.seal.FreeSlots,
	}}})
}

// frame sends a frame to the router.
func (s *sim) frame(conn *simConn, frame *rpc.AnswerFrame) {
	id := conn.id
	frame.RequestId = id[:]
	s.send(message{step: fleet.StepAnswer, from: conn.agent, to: conn.router, conn: conn, deliver: func(m *message) {
		if conn.closed || conn.silent || conn.router.epoch != conn.routerE {
			return
		}
		if m.crossed || conn.crossed {
			conn.crossed = false
			frame = crossedFrame(frame, s.newID())
		}
		s.take(conn, frame)
	}})
}

// crossedFrame is a frame of the answer to another request.
func crossedFrame(frame *rpc.AnswerFrame, other fleet.RequestID) *rpc.AnswerFrame {
	crossed := proto.Clone(frame).(*rpc.AnswerFrame)
	crossed.RequestId = other[:]
	if data := crossed.GetData(); data != nil {
		data.Data = []byte(madeFor(other))[:len(data.Data)]
	}
	return crossed
}

func (s *sim) take(conn *simConn, frame *rpc.AnswerFrame) {
	conn.heard = s.now
	progress, err := conn.receiver.Take(frame)
	if err != nil {
		s.breakConn(conn, router.AnswerBroken{Bad: errors.Is(err, router.ErrChecksum)})
		return
	}
	conn.progress = true
	conn.closed = progress.Final()
	if granted := router.GrantsOf(conn.agent.node.Control, simService, frame, s.now); granted != nil {
		s.carried++
		s.stepRouter(conn.router, granted)
	}
	if input := router.InputOf(conn.attempt, progress, frame); input != nil {
		s.stepRouter(conn.router, input)
	}
}

func (s *sim) sendFence(n *simNode, c router.SendFence) {
	to := s.find(c.Agent)
	s.rpc(fleet.StepSend, n, to, func(reply func(func())) {
		s.askAgent(to, func(ticket agent.Ticket) agent.Input {
			return agent.Fence{Ticket: ticket, ID: c.ID}
		}, func(answer agent.Answer) {
			state := answer.(agent.FenceState).State
			reply(func() { s.stepRouter(n, router.FenceReplied{Attempt: c.Attempt, State: state}) })
		})
	}, func() { s.stepRouter(n, router.FenceReplied{Attempt: c.Attempt, Unreachable: true}) })
}

func (s *sim) sendOffer(n *simNode, c router.SendOffer) {
	to, epoch := s.find(c.Agent), n.epoch
	step := fleet.StepOffer
	if len(c.Message.Acknowledged) > 0 {
		step = fleet.StepAcknowledge
	}
	replied := router.OfferReplied{Agent: c.Agent, Sequence: c.Message.Sequence}
	s.rpc(step, n, to, func(reply func(func())) {
		s.stepAgent(to, agent.Acknowledge{IDs: requestIDs(c.Message.Acknowledged)})
		s.askAgent(to, func(ticket agent.Ticket) agent.Input {
			return agent.Offered{
				Ticket: ticket, Router: n.node.Control, Incarnation: epoch, Sequence: c.Message.Sequence,
				Full: c.Message.Full, Offers: agentOffers(c.Message.Offers), Declined: c.Message.Declined,
			}
		}, func(answer agent.Answer) {
			noted := answer.(agent.OfferNoted)
			reply(func() {
				replied.FreeSlots, replied.Resend = noted.FreeSlots, noted.Resend
				s.stepRouter(n, s.heard(to), replied)
			})
		})
	}, func() {
		replied.Failed = true
		s.stepRouter(n, replied)
	})
}

func requestIDs(raw [][]byte) []fleet.RequestID {
	var ids []fleet.RequestID
	for _, each := range raw {
		ids = append(ids, fleet.RequestID(each))
	}
	return ids
}

// heard is what an agent's envelope says.
func (s *sim) heard(n *simNode) router.Input {
	return router.AgentHeard{Agent: n.node.Control, Incarnation: n.epoch, Leaving: n.leaves}
}

func agentOffers(messages []*rpc.AccountOffer) []agent.AccountOffer {
	var offers []agent.AccountOffer
	for _, m := range messages {
		offers = append(offers, agent.AccountOffer{
			Account: fleet.Account(m.Account), Count: m.Count,
			OldestDeadline: time.UnixMilli(m.OldestDeadlineMs), EstimatedCost: m.EstimatedCost,
		})
	}
	return offers
}

func (s *sim) sendClaim(n *simNode, c router.SendClaim) {
	to, id, epoch := s.find(c.Guard), c.Request.ID, n.epoch
	s.rpc(fleet.StepAccept, n, to, func(reply func(func())) {
		s.askAgent(to, func(ticket agent.Ticket) agent.Input {
			return agent.Claim{
				Ticket: ticket, Account: c.Request.Account, Key: c.Request.Key, ID: id,
				BodyHash: string(c.Request.BodyHash[:]), RunningAt: c.Running, Release: c.Release,
				Router: n.node.Control, Incarnation: epoch, Attempt: c.Attempt, FencedHolder: c.Fenced, FencedAt: c.At,
			}
		}, func(answer agent.Answer) {
			state := answer.(agent.ClaimState)
			reply(func() {
				s.stepRouter(n, router.ClaimReplied{Request: id, Round: c.Round, Guard: c.Guard, Reply: &rpc.ClaimReply{
					Result: state.Result, HolderRequestId: state.Holder[:], RunningAt: string(state.RunningAt), BodyDiffers: state.BodyDiffers,
				}})
			})
		})
	}, func() { s.stepRouter(n, router.ClaimReplied{Request: id, Round: c.Round, Guard: c.Guard}) })
}

func (s *sim) doAgent(n *simNode, command agent.Command) {
	switch c := command.(type) {
	case agent.Reply:
		if answered := n.asks[c.Ticket]; answered != nil {
			delete(n.asks, c.Ticket)
			answered(c.Answer)
		}
	case agent.StartRun:
		s.startRun(n, c.ID)
	case agent.CancelRun:
		epoch := n.epoch
		s.after(hop, func() {
			if n.epoch == epoch {
				s.stepAgent(n, agent.RunEnded{ID: c.ID, End: agent.RunFailed})
			}
		})
	case agent.Seal:
		if held := n.held[c.ID]; held != nil && held.seal == nil {
			held.seal = &c
			s.grow(held)
		}
	case agent.ForgetAnswer:
		delete(n.held, c.ID)
	case agent.SetFreeSlots:
		n.leaves = c.Leaving
	case agent.SendGrants:
		s.sendGrants(n, c)
	case agent.AskRouter:
		s.askRouter(n, c)
	case agent.ConfirmKey:
		s.confirmKey(n, c)
	}
}

func (s *sim) confirmKey(n *simNode, c agent.ConfirmKey) {
	to, epoch := s.find(c.Guard), n.epoch
	answered := agent.KeyConfirmed{ID: c.ID, Guard: c.Guard}
	s.rpc(fleet.StepSend, n, to, func(reply func(func())) {
		s.askAgent(to, func(ticket agent.Ticket) agent.Input {
			return agent.Claim{
				Ticket: ticket, Router: n.node.Control, Incarnation: epoch, Account: c.Account, Key: c.Key,
				ID: c.ID, RunningAt: n.node.Data, Attempt: c.Attempt,
			}
		}, func(answer agent.Answer) {
			answered.Holds = answer.(agent.ClaimState).Result != rpc.ClaimResult_CLAIM_RESULT_HELD
			reply(func() { s.stepAgent(n, answered) })
		})
	}, func() {
		answered.Failed = true
		s.stepAgent(n, answered)
	})
}

func (s *sim) grow(held *simAnswer) {
	for _, conn := range held.conns {
		s.pump(conn, held)
	}
}

// startRun runs a request at the backend server, which goes on when the agent
// restarts.
func (s *sim) startRun(n *simNode, id fleet.RequestID) {
	s.runs[id]++
	epoch, held, body := n.epoch, n.held[id], madeFor(id)
	half := time.Duration(10+s.random.IntN(300)) * time.Millisecond
	part := func(upTo int, then func()) func() {
		return func() {
			if n.epoch != epoch || held == nil || held.seal != nil {
				return
			}
			s.whenAwake(n, func() {
				if upTo <= len(held.body) || held.seal != nil {
					return // pauses may swap the two parts
				}
				held.body = body[:upTo]
				s.grow(held)
				then()
			})
		}
	}
	s.after(half, part(len(body)/2, func() {}))
	s.after(2*half, part(len(body), func() {
		s.stepAgent(n, agent.RunEnded{ID: id, End: agent.RunComplete, Bytes: uint64(len(body))})
	}))
}

func (s *sim) sendGrants(n *simNode, c agent.SendGrants) {
	to := s.find(c.Router)
	if conn := s.carrier(n, to, c); conn != nil {
		s.frame(conn, &rpc.AnswerFrame{
			Frame:  &rpc.AnswerFrame_Heartbeat{Heartbeat: &rpc.Heartbeat{}},
			Grants: c.Grants,
		})
		return
	}
	answered := agent.GrantAnswered{Router: c.Router}
	for _, grant := range c.Grants {
		answered.Numbers = append(answered.Numbers, grant.Number)
	}
	s.rpc(fleet.StepGrant, n, to, func(reply func(func())) {
		outputs, next := to.router.Step(s.now, []router.Input{s.heard(n), router.Granted{
			Agent: n.node.Control, Service: simService, Grants: c.Grants, Received: s.now,
		}})
		epoch := to.epoch
		for _, output := range outputs {
			if granted, ok := output.(router.ReplyGrant); ok {
				reply(func() {
					answered.Incarnation = epoch
					answered.Declined, answered.Offers = granted.Message.Declined, agentOffers(granted.Message.Offers)
					s.stepAgent(n, answered)
				})
				continue
			}
			s.doRouter(to, output)
		}
		s.planWake(to, next, func() { s.stepRouter(to) })
	}, func() {
		answered.Failed = true
		s.stepAgent(n, answered)
	})
}

// carrier draws whether grants ride on an answer, and returns a connection for
// them: one that the agent takes for open, which it need not be.
func (s *sim) carrier(n, to *simNode, c agent.SendGrants) *simConn {
	if c.ByCall || s.random.IntN(4) == 0 {
		return nil
	}
	for _, conn := range slices.Backward(s.conns) {
		mine := conn.agent == n && conn.agentE == n.epoch && conn.router == to && conn.routerE == c.Incarnation
		if mine && conn.carries && !conn.ended {
			return conn
		}
	}
	return nil
}

func (s *sim) askRouter(n *simNode, c agent.AskRouter) {
	to := s.find(c.Router)
	s.rpc(fleet.StepOffer, n, to, func(reply func(func())) {
		if to.router == nil {
			// A guard that was restarted knows of a key from the agent that runs
			// the request, and asks that one. Agents serve no such call.
			reply(func() { s.stepAgent(n, agent.FreeAnswered{Router: c.Router, Failed: true}) })
			return
		}
		outputs, next := to.router.Step(s.now, []router.Input{s.heard(n), router.FreeAsked{
			Agent: n.node.Control, Service: simService, FreeSlots: c.FreeSlots,
		}})
		epoch := to.epoch
		for _, output := range outputs {
			if free, ok := output.(router.ReplyFree); ok {
				reply(func() {
					s.stepAgent(n, agent.FreeAnswered{Router: c.Router, Incarnation: epoch, Offers: agentOffers(free.Message.Offers)})
				})
				continue
			}
			s.doRouter(to, output)
		}
		s.planWake(to, next, func() { s.stepRouter(to) })
	}, func() { s.stepAgent(n, agent.FreeAnswered{Router: c.Router, Failed: true}) })
}
