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

// simAnswer is an answer held by its agent.
type simAnswer struct {
	body  string
	seal  *agent.Seal
	conns []*simConn
}

// simConn is a connection of the data path.
type simConn struct {
	router, agent           *simNode
	routerEpoch, agentEpoch uint64
	attempt                 router.AttemptID
	receiver                *router.Receiver
	silenceTimeout          time.Duration
	id                      fleet.RequestID
	sent                    uint64
	headSent, ended         bool
	canCarryGrants          bool // the agent may attach grants to its frames
	silent                  bool // nothing is delivered any more
	crossed                 bool // the next frame gets another request's id
	closed                  bool // by the router
	lastFrame               time.Time
	progress                bool
}

// stepRouter steps a router's decision core and executes its commands.
func (s *sim) stepRouter(n *simNode, inputs ...router.Input) {
	outputs, next := n.router.Step(s.now, inputs)
	for _, output := range outputs {
		s.executeRouter(n, output)
	}
	s.scheduleWake(n, next, func() { s.stepRouter(n) })
}

func (s *sim) stepAgent(n *simNode, inputs ...agent.Input) {
	commands, next := n.agent.Step(s.now, inputs)
	for _, command := range commands {
		s.executeAgent(n, command)
	}
	s.scheduleWake(n, next, func() { s.stepAgent(n) })
}

func (s *sim) scheduleWake(n *simNode, next time.Time, step func()) {
	n.wakeNumber++
	wake, epoch := n.wakeNumber, n.epoch
	if next.IsZero() {
		return
	}
	if !next.After(s.now) {
		next = s.now.Add(time.Millisecond)
	}
	s.schedule(next, func() {
		if n.wakeNumber == wake && n.epoch == epoch {
			s.whenAwake(n, step)
		}
	})
}

func (s *sim) nodeAt(address fleet.Address) *simNode {
	for _, n := range s.nodes() {
		if n.node.Control == address || n.node.Data == address {
			return n
		}
	}
	return nil
}

func (s *sim) executeRouter(n *simNode, output router.Output) {
	switch c := output.(type) {
	case router.SendRun:
		s.sendRun(n, c)
	case router.SendResume:
		s.sendResume(n, c)
	case router.SendFence:
		s.sendFence(n, c)
	case router.SendCancel:
		s.send(message{step: fleet.StepSend, from: n, to: s.nodeAt(c.Agent), deliver: func(m *message) {
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
			call.results = append(call.results, c.Result)
			_, body := c.Request.Answer.Answer()
			call.body = string(body)
			if call.sink != nil {
				call.body = call.sink.body.String()
			}
		}
	}
}

// callAgent steps an agent with an input that it replies to, then or later.
func (s *sim) callAgent(n *simNode, build func(agent.Ticket) agent.Input, answered func(agent.Answer)) {
	n.ticket++
	n.pendingReplies[n.ticket] = answered
	s.stepAgent(n, build(n.ticket))
}

func (s *sim) connect(n *simNode, attempt router.AttemptID, request *router.Request, to *simNode, silence time.Duration) *simConn {
	c := &simConn{
		router: n, agent: to, routerEpoch: n.epoch, agentEpoch: to.epoch, attempt: attempt,
		receiver: request.Answer, id: request.Answer.ID(), silenceTimeout: silence, lastFrame: s.now,
	}
	s.conns = append(s.conns, c)
	s.watchSilence(c)
	return c
}

// watchSilence reports a connection as broken to its router once no frame has
// arrived for the connection's silence timeout.
func (s *sim) watchSilence(c *simConn) {
	s.schedule(c.lastFrame.Add(c.silenceTimeout), func() {
		s.whenAwake(c.router, func() {
			switch {
			case c.closed || c.router.epoch != c.routerEpoch:
			case s.now.Sub(c.lastFrame) >= c.silenceTimeout:
				s.breakConn(c, router.AnswerBroken{})
			default:
				s.watchSilence(c)
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
	to := s.nodeAt(c.Agent.Control)
	conn := s.connect(n, c.Attempt, c.Request, to, c.Silence)
	epoch := n.epoch
	to.dispatchTimes = append(to.dispatchTimes, s.now)
	s.send(message{step: fleet.StepSend, from: n, to: to, conn: conn, deliver: func(*message) {
		if conn.silent {
			return
		}
		conn.agentEpoch = to.epoch
		s.stepAgent(to, agent.Acknowledge{IDs: requestIDs(c.Acks)})
		s.callAgent(to, func(ticket agent.Ticket) agent.Input {
			return agent.Dispatch{
				Ticket: ticket, ID: c.Request.ID, Attempt: c.Attempt.Number, Account: c.Request.Account, Service: simService,
				Router: n.node.Control, RouterIncarnation: epoch, Grant: c.Grant, Deadline: c.Request.Deadline,
				Suspect: c.Suspect, Waiting: c.Waiting,
				Idempotent: c.Request.Idempotent, Key: c.Request.Key, Guards: c.Guards,
			}
		}, func(answer agent.Answer) { s.beginAnswer(to, conn, answer) })
	}})
}

// beginAnswer sends the first frame of an answer.
func (s *sim) beginAnswer(n *simNode, conn *simConn, answer agent.Answer) {
	switch a := answer.(type) {
	case agent.Refused:
		s.frame(conn, &rpc.AnswerFrame{Frame: &rpc.AnswerFrame_Refused{Refused: &rpc.Refused{Reason: a.Reason}}})
	case agent.Admitted:
		held := &simAnswer{}
		n.heldAnswers[conn.id] = held
		s.frame(conn, &rpc.AnswerFrame{Frame: &rpc.AnswerFrame_Accepted{Accepted: &rpc.Accepted{FreeSlots: a.FreeSlots}}})
		conn.canCarryGrants = true
		s.attach(conn, held)
	}
}

func (s *sim) sendResume(n *simNode, c router.SendResume) {
	to := s.nodeAt(c.Agent)
	conn := s.connect(n, c.Attempt, c.Request, to, c.Silence)
	conn.sent, conn.headSent = c.Request.Answer.Position()
	s.send(message{step: fleet.StepAnswer, from: n, to: to, conn: conn, deliver: func(*message) {
		if conn.silent {
			return
		}
		conn.agentEpoch = to.epoch
		s.callAgent(to, func(ticket agent.Ticket) agent.Input {
			return agent.Resume{Ticket: ticket, ID: conn.id}
		}, func(answer agent.Answer) {
			if refused, ok := answer.(agent.NotServed); ok {
				s.failedFrame(conn, refused.State)
				return
			}
			s.attach(conn, to.heldAnswers[conn.id])
		})
	}})
}

func (s *sim) failedFrame(conn *simConn, state rpc.RequestState) {
	s.frame(conn, &rpc.AnswerFrame{Frame: &rpc.AnswerFrame_Failed{Failed: &rpc.Failed{State: state}}})
}

// attach sends an answer on a connection while it is being made.
func (s *sim) attach(conn *simConn, held *simAnswer) {
	held.conns = append(held.conns, conn)
	s.sendPending(conn, held)
	s.sendHeartbeats(conn)
}

func (s *sim) sendHeartbeats(conn *simConn) {
	s.scheduleAfter(heartbeat, func() {
		if conn.ended || conn.closed || conn.agent.epoch != conn.agentEpoch {
			return
		}
		s.whenAwake(conn.agent, func() {
			s.frame(conn, &rpc.AnswerFrame{Frame: &rpc.AnswerFrame_Heartbeat{Heartbeat: &rpc.Heartbeat{}}})
			s.sendHeartbeats(conn)
		})
	})
}

// sendPending sends the part of an answer that a connection has not sent yet.
func (s *sim) sendPending(conn *simConn, held *simAnswer) {
	if conn.ended || conn.agent.epoch != conn.agentEpoch {
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
		if conn.closed || conn.silent || conn.router.epoch != conn.routerEpoch {
			return
		}
		if m.crossed || conn.crossed {
			conn.crossed = false
			frame = crossedFrame(frame, s.newID())
		}
		s.receiveFrame(conn, frame)
	}})
}

// crossedFrame returns the frame as if it belonged to another request's answer.
func crossedFrame(frame *rpc.AnswerFrame, other fleet.RequestID) *rpc.AnswerFrame {
	crossed := proto.Clone(frame).(*rpc.AnswerFrame)
	crossed.RequestId = other[:]
	if data := crossed.GetData(); data != nil {
		data.Data = []byte(expectedAnswer(other))[:len(data.Data)]
	}
	return crossed
}

func (s *sim) receiveFrame(conn *simConn, frame *rpc.AnswerFrame) {
	conn.lastFrame = s.now
	progress, err := conn.receiver.Take(frame)
	if err != nil {
		s.breakConn(conn, router.AnswerBroken{Bad: errors.Is(err, router.ErrChecksum)})
		return
	}
	conn.progress = true
	conn.closed = progress.Final()
	if granted := router.GrantsOf(conn.agent.node.Control, simService, frame, s.now); granted != nil {
		s.grantFrames++
		s.stepRouter(conn.router, granted)
	}
	if input := router.InputOf(conn.attempt, progress, frame); input != nil {
		s.stepRouter(conn.router, input)
	}
}

func (s *sim) sendFence(n *simNode, c router.SendFence) {
	to := s.nodeAt(c.Agent)
	s.rpc(fleet.StepSend, n, to, func(reply func(func())) {
		s.callAgent(to, func(ticket agent.Ticket) agent.Input {
			return agent.Fence{Ticket: ticket, ID: c.ID}
		}, func(answer agent.Answer) {
			state := answer.(agent.FenceState).State
			reply(func() { s.stepRouter(n, router.FenceReplied{Attempt: c.Attempt, State: state}) })
		})
	}, func() { s.stepRouter(n, router.FenceReplied{Attempt: c.Attempt, Unreachable: true}) })
}

func (s *sim) sendOffer(n *simNode, c router.SendOffer) {
	to, epoch := s.nodeAt(c.Agent), n.epoch
	step := fleet.StepOffer
	if len(c.Message.Acknowledged) > 0 {
		step = fleet.StepAcknowledge
	}
	replied := router.OfferReplied{Agent: c.Agent, Sequence: c.Message.Sequence}
	s.rpc(step, n, to, func(reply func(func())) {
		s.stepAgent(to, agent.Acknowledge{IDs: requestIDs(c.Message.Acknowledged)})
		s.callAgent(to, func(ticket agent.Ticket) agent.Input {
			return agent.Offered{
				Ticket: ticket, Router: n.node.Control, Incarnation: epoch, Sequence: c.Message.Sequence,
				Full: c.Message.Full, Offers: agentOffers(c.Message.Offers), Declined: c.Message.Declined,
			}
		}, func(answer agent.Answer) {
			noted := answer.(agent.OfferNoted)
			reply(func() {
				replied.FreeSlots, replied.Resend = noted.FreeSlots, noted.Resend
				s.stepRouter(n, s.agentState(to), replied)
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

// agentState returns the router's input for the state in an agent's envelope.
func (s *sim) agentState(n *simNode) router.Input {
	return router.AgentHeard{Agent: n.node.Control, Incarnation: n.epoch, Leaving: n.leaving}
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
	to, id, epoch := s.nodeAt(c.Guard), c.Request.ID, n.epoch
	s.rpc(fleet.StepAccept, n, to, func(reply func(func())) {
		s.callAgent(to, func(ticket agent.Ticket) agent.Input {
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

func (s *sim) executeAgent(n *simNode, command agent.Command) {
	switch c := command.(type) {
	case agent.Reply:
		if answered := n.pendingReplies[c.Ticket]; answered != nil {
			delete(n.pendingReplies, c.Ticket)
			answered(c.Answer)
		}
	case agent.StartRun:
		s.startRun(n, c.ID)
	case agent.CancelRun:
		epoch := n.epoch
		s.scheduleAfter(hop, func() {
			if n.epoch == epoch {
				s.stepAgent(n, agent.RunEnded{ID: c.ID, End: agent.RunFailed})
			}
		})
	case agent.Seal:
		if held := n.heldAnswers[c.ID]; held != nil && held.seal == nil {
			held.seal = &c
			s.sendPendingToAll(held)
		}
	case agent.ForgetAnswer:
		delete(n.heldAnswers, c.ID)
	case agent.SetFreeSlots:
		n.leaving = c.Leaving
	case agent.SendGrants:
		s.sendGrants(n, c)
	case agent.AskRouter:
		s.askRouter(n, c)
	case agent.ConfirmKey:
		s.confirmKey(n, c)
	}
}

func (s *sim) confirmKey(n *simNode, c agent.ConfirmKey) {
	to, epoch := s.nodeAt(c.Guard), n.epoch
	answered := agent.KeyConfirmed{ID: c.ID, Guard: c.Guard}
	s.rpc(fleet.StepSend, n, to, func(reply func(func())) {
		s.callAgent(to, func(ticket agent.Ticket) agent.Input {
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

func (s *sim) sendPendingToAll(held *simAnswer) {
	for _, conn := range held.conns {
		s.sendPending(conn, held)
	}
}

// startRun runs a request at the backend server. The answer grows in two parts;
// an agent that restarts meanwhile loses it.
func (s *sim) startRun(n *simNode, id fleet.RequestID) {
	s.runs[id]++
	epoch, held, body := n.epoch, n.heldAnswers[id], expectedAnswer(id)
	halfTime := time.Duration(10+s.random.IntN(300)) * time.Millisecond
	part := func(upTo int, then func()) func() {
		return func() {
			if n.epoch != epoch || held == nil || held.seal != nil {
				return
			}
			s.whenAwake(n, func() {
				if upTo <= len(held.body) || held.seal != nil {
					return // a pause may reorder the two parts
				}
				held.body = body[:upTo]
				s.sendPendingToAll(held)
				then()
			})
		}
	}
	s.scheduleAfter(halfTime, part(len(body)/2, func() {}))
	s.scheduleAfter(2*halfTime, part(len(body), func() {
		s.stepAgent(n, agent.RunEnded{ID: id, End: agent.RunComplete, Bytes: uint64(len(body))})
	}))
}

func (s *sim) sendGrants(n *simNode, c agent.SendGrants) {
	to := s.nodeAt(c.Router)
	if conn := s.grantCarrier(n, to, c); conn != nil {
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
		outputs, next := to.router.Step(s.now, []router.Input{s.agentState(n), router.Granted{
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
			s.executeRouter(to, output)
		}
		s.scheduleWake(to, next, func() { s.stepRouter(to) })
	}, func() {
		answered.Failed = true
		s.stepAgent(n, answered)
	})
}

// grantCarrier draws whether an answer frame carries the grants. If so it returns
// a connection that the agent believes to be open, otherwise nil.
func (s *sim) grantCarrier(n, to *simNode, c agent.SendGrants) *simConn {
	if c.ByCall || s.random.IntN(4) == 0 {
		return nil
	}
	for _, conn := range slices.Backward(s.conns) {
		matches := conn.agent == n && conn.agentEpoch == n.epoch && conn.router == to && conn.routerEpoch == c.Incarnation
		if matches && conn.canCarryGrants && !conn.ended {
			return conn
		}
	}
	return nil
}

func (s *sim) askRouter(n *simNode, c agent.AskRouter) {
	to := s.nodeAt(c.Router)
	s.rpc(fleet.StepOffer, n, to, func(reply func(func())) {
		if to.router == nil {
			// A restarted guard learns of a key from the agent that runs the
			// request, and calls that agent. Agents don't serve this call.
			reply(func() { s.stepAgent(n, agent.FreeAnswered{Router: c.Router, Failed: true}) })
			return
		}
		outputs, next := to.router.Step(s.now, []router.Input{s.agentState(n), router.FreeAsked{
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
			s.executeRouter(to, output)
		}
		s.scheduleWake(to, next, func() { s.stepRouter(to) })
	}, func() { s.stepAgent(n, agent.FreeAnswered{Router: c.Router, Failed: true}) })
}
