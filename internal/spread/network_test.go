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

// errLost is what a caller gets whose message or reply was lost.
var errLost = errors.New("lost")

// item is something that happens at one time of a simulation.
type item struct {
	at    time.Time
	order int
	run   func()
	to    *simNode // whose pause holds it back
}

type items []*item

func (q items) Len() int { return len(q) }
func (q items) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].order < q[j].order
}
func (q items) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *items) Push(x any)   { *q = append(*q, x.(*item)) }
func (q *items) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// fate is what happens to one message.
type fate struct {
	delay time.Duration
	twice time.Duration // delay of a second copy; 0 for none
	lost  bool
}

// send carries a request to a peer and the reply back. The sender hears of a
// loss after its time-out.
func (s *simulation) send(from *simNode, command Sync) {
	session := from.sessions
	if len(command.Request.GetSettings()) > 0 {
		from.deltas++
	}
	to, _ := lo.Find(s.nodes, func(node *simNode) bool { return node.self.Control == command.To })
	ended := false
	end := func(event SyncEnded) {
		if !ended {
			ended = true
			s.deliver(from, session, event)
		}
	}
	s.schedule(callTimeout, &item{to: from, run: func() { end(SyncEnded{To: command.To, Err: errLost}) }})
	s.carry(from, to, func() {
		reply := s.ask(to, command.Request)
		if s.loseReply() {
			return
		}
		s.carry(to, from, func() { end(SyncEnded{To: command.To, Reply: reply}) })
	})
}

// carry takes a message over the network.
func (s *simulation) carry(from, to *simNode, arrive func()) {
	fate := s.fate(from, to)
	if fate.lost || from.half != to.half {
		return
	}
	s.schedule(fate.delay, &item{to: to, run: arrive})
	if fate.twice > 0 {
		s.schedule(fate.twice, &item{to: to, run: arrive})
	}
}

// ask hands a request to a world and returns its reply.
func (s *simulation) ask(to *simNode, request *rpc.SyncRequest) *rpc.SyncReply {
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

// oldReplica answers reads from the state at one time, as a replica of the
// platform that lags. Writes go through.
type oldReplica struct {
	platform.API
	objects []platform.Object
	at      platform.Version
}

// freeze returns the platform as it is now for later stale reads.
func (s *simulation) freeze() platform.API {
	objects, at, _ := s.store.List(context.Background(), "")
	return oldReplica{API: s.store, objects: objects, at: at}
}

func (r oldReplica) Get(_ context.Context, key string) (platform.Object, error) {
	object, ok := lo.Find(r.objects, func(object platform.Object) bool { return object.Key == key })
	if !ok {
		return platform.Object{}, platform.ErrNotFound
	}
	return object, nil
}

func (r oldReplica) List(_ context.Context, prefix string) ([]platform.Object, platform.Version, error) {
	return lo.Filter(r.objects, func(object platform.Object, _ int) bool {
		return strings.HasPrefix(object.Key, prefix)
	}), r.at, nil
}

func (r oldReplica) Watch(_ context.Context, _ string, from platform.Version, _ time.Duration) ([]platform.Change, platform.Version, error) {
	return nil, from, nil
}
