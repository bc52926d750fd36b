package agent

import (
	"sync"

	"github.com/pkg/errors"

	"github.com/bluebellchute/bluebellchute/internal/rpc"
)

// errStopped tells that the world has ended and answers no more calls.
var errStopped = errors.New("agent has stopped")

// call is one shell's wait for the world's answer.
type call struct {
	answer chan Answer
	run    *rpc.RunRequest // of a dispatch; kept here until it is admitted
}

// calls are the calls that wait, by ticket.
type calls struct {
	mu      sync.Mutex
	next    Ticket
	waiting map[Ticket]*call
}

func newCalls() *calls {
	return &calls{waiting: make(map[Ticket]*call)}
}

func (c *calls) open(run *rpc.RunRequest) (Ticket, *call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	opened := &call{answer: make(chan Answer, 1), run: run}
	c.waiting[c.next] = opened
	return c.next, opened
}

// take returns the waiting call and forgets it.
func (c *calls) take(ticket Ticket) *call {
	c.mu.Lock()
	defer c.mu.Unlock()
	taken := c.waiting[ticket]
	delete(c.waiting, ticket)
	return taken
}

// inputs takes what the shells tell the world. A tick.Loop implements it.
type inputs interface {
	Send(input Input) bool
	Done() <-chan struct{}
}

// ask sends the input that build makes and waits for the world's answer.
func (c *calls) ask(world inputs, run *rpc.RunRequest, build func(Ticket) Input) (Answer, error) {
	ticket, opened := c.open(run)
	if !world.Send(build(ticket)) {
		c.take(ticket)
		return nil, errStopped
	}
	select {
	case answer := <-opened.answer:
		return answer, nil
	case <-world.Done():
		c.take(ticket)
		return nil, errStopped
	}
}
