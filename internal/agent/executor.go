package agent

import (
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
)

// peers carries out the commands that need other nodes. Its methods must not
// block; replies come back as inputs.
type peers interface {
	sendGrants(command SendGrants)
	askRouter(command AskRouter)
	sendReport(command SendReport)
	confirmKey(command ConfirmKey)
	spreadVerdict(command SpreadVerdict)
}

// executor carries out the world's commands. It runs in the world's goroutine
// and only hands things on.
type executor struct {
	calls    *calls
	answers  *answers
	carriers *carriers
	runner   *runner
	peers    peers
	leaving  func(bool)
	log      logrus.FieldLogger
	metrics  *metrics

	runs map[fleet.RequestID]*rpc.RunRequest // admitted and not started
	idle chan struct{}                       // closed when a stopping agent has nothing left to do
	once sync.Once
}

func newExecutor(calls *calls, answers *answers, log logrus.FieldLogger, metrics *metrics) *executor {
	return &executor{
		calls:   calls,
		answers: answers,
		log:     log,
		metrics: metrics,
		runs:    make(map[fleet.RequestID]*rpc.RunRequest),
		idle:    make(chan struct{}),
	}
}

// execute carries out one command.
func (e *executor) execute(command Command) {
	switch c := command.(type) {
	case Reply:
		e.reply(c)
	case StartRun:
		e.start(c)
	case CancelRun:
		e.runner.cancel(c.ID)
	case Seal:
		e.seal(c)
	case ForgetAnswer:
		e.answers.forget(c.ID)
	case SetFreeSlots:
		e.answers.freeSlots.Store(c.FreeSlots)
		e.leaving(c.Leaving)
	case SendGrants:
		e.sendGrants(c)
	case AskRouter:
		e.peers.askRouter(c)
	case SendReport:
		e.peers.sendReport(c)
	case ConfirmKey:
		e.peers.confirmKey(c)
	case SpreadVerdict:
		e.peers.spreadVerdict(c)
	case Idle:
		e.once.Do(func() { close(e.idle) })
	case Note:
		e.note(c)
	}
	e.metrics.count(command)
}

func (e *executor) reply(c Reply) {
	waiting := e.calls.take(c.Ticket)
	if waiting == nil {
		return
	}
	if _, admitted := c.Answer.(Admitted); admitted && waiting.run != nil {
		id := fleet.RequestID(waiting.run.RequestId)
		e.answers.open(id)
		e.runs[id] = waiting.run
	}
	waiting.answer <- c.Answer
}

// sendGrants lets a connection carry the grants that the router reads an answer
// from anyway, else makes a call.
func (e *executor) sendGrants(c SendGrants) {
	key := carrierKey{router: c.Router, incarnation: c.Incarnation}
	if c.ByCall || !e.carriers.carry(key, c.Grants) {
		e.peers.sendGrants(c)
	}
}

func (e *executor) start(c StartRun) {
	request, into := e.runs[c.ID], e.answers.get(c.ID)
	delete(e.runs, c.ID)
	e.runner.start(c.ID, request, into, c.Deadline)
}

func (e *executor) seal(c Seal) {
	delete(e.runs, c.ID)
	if sealed := e.answers.get(c.ID); sealed != nil {
		sealed.close(c)
	}
}

func (e *executor) note(c Note) {
	fields := logrus.Fields{}
	if c.Request != (fleet.RequestID{}) {
		fields["request"] = c.Request.String()
	}
	if c.Peer != "" {
		fields["peer"] = c.Peer
	}
	if c.Detail != "" {
		fields["detail"] = c.Detail
	}
	c.Event.Log(e.log, fields)
}
