package spread

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"github.com/bluebellchute/bluebellchute/internal/platform"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
)

// errLost is the error of a call whose request or reply was lost.
var errLost = errors.New("lost")

// scheduledEvent is an action at a time of the simulation.
type scheduledEvent struct {
	at    time.Time
	order int
	run   func()
	to    *simNode // a pause of this node delays the action
}

type eventQueue []*scheduledEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(*scheduledEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// delivery describes what happens to one message.
type delivery struct {
	delay          time.Duration
	duplicateDelay time.Duration // delay of a second copy; 0 for no copy
	lost           bool
}

// send delivers a request to a peer and the reply back. The sender learns of a
// loss after its timeout.
func (s *simulation) send(from *simNode, command Sync) {
	session := from.sessions
	if len(command.Request.GetSettings()) > 0 {
		from.sentDeltas++
	}
	to, _ := lo.Find(s.nodes, func(node *simNode) bool { return node.self.Control == command.To })
	ended := false
	end := func(event SyncEnded) {
		if !ended {
			ended = true
			s.deliver(from, session, event)
		}
	}
	s.schedule(callTimeout, &scheduledEvent{to: from, run: func() { end(SyncEnded{To: command.To, Err: errLost}) }})
	s.transmit(from, to, func() {
		reply := s.handleSync(to, command.Request)
		if s.loseReply() {
			return
		}
		s.transmit(to, from, func() { end(SyncEnded{To: command.To, Reply: reply}) })
	})
}

// transmit sends a message over the simulated network.
func (s *simulation) transmit(from, to *simNode, arrive func()) {
	fate := s.delivery(from, to)
	if fate.lost || from.partition != to.partition {
		return
	}
	s.schedule(fate.delay, &scheduledEvent{to: to, run: arrive})
	if fate.duplicateDelay > 0 {
		s.schedule(fate.duplicateDelay, &scheduledEvent{to: to, run: arrive})
	}
}

// handleSync passes a request to a world and returns its reply.
func (s *simulation) handleSync(to *simNode, request *rpc.SyncRequest) *rpc.SyncReply {
	commands, _ := to.world.Step(s.now, []Event{SyncReceived{Request: request}})
	s.check(to)
	var reply *rpc.SyncReply
	for _, command := range commands {
		if answer, ok := command.(Reply); ok {
			reply = answer.Reply
			continue
		}
		s.execute(to, command)
	}
	s.step(to)
	return reply
}

// staleAPI answers reads from a snapshot, like a lagging replica of the
// platform. Writes go through.
type staleAPI struct {
	platform.API
	objects []platform.Object
	at      platform.Version
}

// snapshot returns the current state of the platform for later stale reads.
func (s *simulation) snapshot() platform.API {
	objects, at, _ := s.store.List(context.Background(), "")
	return staleAPI{API: s.store, objects: objects, at: at}
}

func (r staleAPI) Get(_ context.Context, key string) (platform.Object, error) {
	object, ok := lo.Find(r.objects, func(object platform.Object) bool { return object.Key == key })
	if !ok {
		return platform.Object{}, platform.ErrNotFound
	}
	return object, nil
}

func (r staleAPI) List(_ context.Context, prefix string) ([]platform.Object, platform.Version, error) {
	return lo.Filter(r.objects, func(object platform.Object, _ int) bool {
		return strings.HasPrefix(object.Key, prefix)
	}), r.at, nil
}

func (r staleAPI) Watch(_ context.Context, _ string, from platform.Version, _ time.Duration) ([]platform.Change, platform.Version, error) {
	return nil, from, nil
}
