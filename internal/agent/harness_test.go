package agent

import (
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/membership"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
	"github.com/bluebellchute/bluebellchute/internal/settings"
)

// testStart is when worlds under test begin.
var testStart = time.Unix(1_800_000_000, 0)

// Addresses in tests of the world.
const (
	testAgentAddress fleet.Address = "10.0.0.1:1"
	routerA          fleet.Address = "10.0.0.2:1"
	routerB          fleet.Address = "10.0.0.3:1"
)

// harness steps a world under a clock of its own and keeps its commands.
type harness struct {
	world       *World
	policy      settings.ServicePolicy
	limits      Limits
	now         time.Time
	incarnation uint64
	commands    []Command // of the last step
	tickets     Ticket
	ids         int
	offers      uint64                   // sequence of the last offer that granted made
	running     map[fleet.RequestID]bool // started and not ended
	starts      map[fleet.RequestID]int  // over all incarnations
	observe     func(Command)
}

func newHarness(policy settings.ServicePolicy) *harness {
	h := &harness{
		policy: policy,
		limits: DefaultLimits(),
		now:    testStart,
		starts: make(map[fleet.RequestID]int),
	}
	h.restart()
	return h
}

// restart replaces the agent by a fresh process. Its runs are lost.
func (h *harness) restart() {
	h.now = h.now.Add(time.Millisecond) // no two processes start at once
	h.incarnation = uint64(h.now.UnixNano())
	h.running = make(map[fleet.RequestID]bool)
	h.world = NewWorld(Identity{
		Control:     testAgentAddress,
		Data:        "10.0.0.1:2",
		Service:     testService,
		Incarnation: h.incarnation,
	}, h.limits, h.now)
	h.step(Settings{View: fakeView{policy: h.policy}}, Members{View: testMembers()}, Health{Up: true})
}

func testMembers() membership.View {
	return membership.View{Version: 1, Nodes: []fleet.Node{
		{Role: fleet.RoleAgent, Control: testAgentAddress, Service: testService, State: fleet.VMLive},
		{Role: fleet.RoleRouter, Control: routerA, State: fleet.VMLive},
		{Role: fleet.RoleRouter, Control: routerB, State: fleet.VMLive},
	}}
}

func (h *harness) step(inputs ...Input) []Command {
	h.commands, _ = h.world.Step(h.now, inputs)
	for _, command := range h.commands {
		if start, ok := command.(StartRun); ok {
			h.running[start.ID] = true
			h.starts[start.ID]++
		}
		if h.observe != nil {
			h.observe(command)
		}
	}
	return h.commands
}

func (h *harness) advance(d time.Duration) []Command {
	h.now = h.now.Add(d)
	return h.step()
}

func (h *harness) ticket() Ticket {
	h.tickets++
	return h.tickets
}

// id makes a request id whose time is that of the harness.
func (h *harness) id() fleet.RequestID {
	h.ids++
	id := uuid.NewSHA1(uuid.NameSpaceURL, fmt.Append(nil, h.ids))
	made := h.now.UnixMilli()
	for i := range 6 {
		id[i] = byte(made >> (8 * (5 - i)))
	}
	id[6] = 0x70 | id[6]&0x0f
	return id
}

// dispatch is a request of account a from a router, without a grant.
func (h *harness) dispatch(id fleet.RequestID, router fleet.Address) Dispatch {
	return Dispatch{
		Ticket:            h.ticket(),
		ID:                id,
		Account:           "a",
		Service:           testService,
		Router:            router,
		RouterIncarnation: 1,
		Deadline:          h.now.Add(time.Minute),
		EstimatedCost:     100,
		Fingerprint:       Fingerprint(id[:]),
		Attempt:           1,
	}
}

// offer says how many requests of account a wait at a router.
func (h *harness) offer(router fleet.Address, sequence uint64, count uint32) Offered {
	return Offered{
		Ticket:      h.ticket(),
		Router:      router,
		Incarnation: 1,
		Sequence:    sequence,
		Offers:      []AccountOffer{{Account: "a", Count: count, OldestDeadline: h.now.Add(time.Minute)}},
	}
}

// answerTo is the answer of the last step to a call.
func (h *harness) answerTo(ticket Ticket) Answer {
	for _, command := range h.commands {
		if reply, ok := command.(Reply); ok && reply.Ticket == ticket {
			return reply.Answer
		}
	}
	return nil
}

// ask steps the world with one call and returns its answer.
func (h *harness) ask(ticket Ticket, input Input) Answer {
	h.step(input)
	return h.answerTo(ticket)
}

func (h *harness) send(in Dispatch) Answer { return h.ask(in.Ticket, in) }

func (h *harness) fence(id fleet.RequestID) rpc.RequestState {
	ticket := h.ticket()
	return h.ask(ticket, Fence{Ticket: ticket, ID: id}).(FenceState).State
}

func (h *harness) resume(id fleet.RequestID) Answer {
	ticket := h.ticket()
	return h.ask(ticket, Resume{Ticket: ticket, ID: id})
}

// end ends a run at the backend server.
func (h *harness) end(id fleet.RequestID, end RunEnd) []Command {
	delete(h.running, id)
	return h.step(RunEnded{ID: id, End: end, Tokens: 10, KnownUsage: true})
}

// grants are the grants that the last step sent, by router.
func (h *harness) grants(router fleet.Address) []*rpc.Grant {
	var grants []*rpc.Grant
	for _, command := range h.commands {
		if sent, ok := command.(SendGrants); ok && sent.Router == router {
			grants = append(grants, sent.Grants...)
		}
	}
	return grants
}

// refusal is the reason of a refusal, or REFUSAL_REASON_UNSPECIFIED.
func refusal(answer Answer) rpc.RefusalReason {
	if refused, ok := answer.(Refused); ok {
		return refused.Reason
	}
	return rpc.RefusalReason_REFUSAL_REASON_UNSPECIFIED
}
