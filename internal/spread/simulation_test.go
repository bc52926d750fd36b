package spread

import (
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/samber/lo"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/membership"
	"github.com/bluebellchute/bluebellchute/internal/platform"
)

// simulation runs worlds against one platform and over a network, on a
// simulated clock.
type simulation struct {
	now              time.Time
	order            int
	queue            eventQueue
	store            *platform.Store
	api              platform.API // the store, or an old snapshot of it
	beforeEdit       platform.API // the state before the last edit
	nodes            []*simNode
	random           *rand.Rand
	delivery         func(from, to *simNode) delivery
	platformSlowdown time.Duration // added to each platform call
	repliesToLose    int           // number of replies to lose after their request took effect
	regression       string        // describes a node whose revision went back; empty for none

	head        []byte // accepted settings
	headVersion platform.Version
}

// simNode is one node of a simulation.
type simNode struct {
	self            fleet.Node
	world           *World
	replica         *fakeReplica
	partition       int // nodes with different values cannot reach each other
	paused          bool
	joined          bool
	highestRevision uint64 // highest revision that was in force, across restarts
	wakeAt          time.Time
	sentDeltas      int // number of deltas of the settings sent
	sessions        uint64
}

const (
	// The platform answers before the peers do, so that the tests detect a node
	// that relies on the platform alone.
	platformDelay = time.Millisecond
	messageDelay  = 2 * time.Millisecond
	watchPoll     = 5 * time.Millisecond
	callTimeout   = 1500 * time.Millisecond
)

func newSimulation(seed uint64, count int) *simulation {
	s := &simulation{now: time.Unix(1_000_000, 0), random: rand.New(rand.NewPCG(seed, 1))}
	s.delivery = func(_, _ *simNode) delivery { return delivery{delay: messageDelay} }
	// The simulation polls a held watch, which must not exhaust the read limit.
	s.store = platform.NewStore(platform.StoreOptions{
		NodesMakeVMs: true, History: 32, ReadsPerSecond: 1 << 30, Now: func() time.Time { return s.now },
	})
	s.api = s.store
	for i := range count {
		node := &simNode{self: fleet.Node{
			VM:      fmt.Sprintf("vm-%d", i),
			Control: fleet.Address(fmt.Sprintf("10.0.0.%d:1", i)),
			Zone:    fleet.Zone(fmt.Sprintf("zone-%d", i%3)),
		}}
		s.nodes = append(s.nodes, node)
	}
	for _, node := range s.nodes {
		s.start(node)
	}
	return s
}

// start starts a node with empty state.
func (s *simulation) start(node *simNode) {
	node.sessions++
	node.self.Incarnation = uint64(s.now.UnixNano()) + node.sessions
	node.joined = false
	node.wakeAt = time.Time{}
	node.replica = &fakeReplica{}
	directory := membership.NewDirectory()
	node.world = NewWorld(Config{
		Self:  node.self,
		Seeds: []fleet.Address{s.nodes[0].self.Control, s.nodes[1].self.Control, s.nodes[2].self.Control},
		Seed:  s.random.Uint64(),
		// Most nodes must not watch, so that updates have to come from peers.
		WatchersPerZone: 1,
	}, Dependencies{
		Envelopes: NewEnvelopeSource(node.self, node.replica, directory),
		Tracker:   membership.NewTracker(directory),
		Directory: directory,
		Settings:  node.replica,
	})
	s.step(node)
}

func (s *simulation) schedule(delay time.Duration, entry *scheduledEvent) {
	s.order++
	entry.order = s.order
	entry.at = s.now.Add(delay)
	heap.Push(&s.queue, entry)
}

// step steps a world and executes its commands.
func (s *simulation) step(node *simNode, events ...Event) {
	commands, next := node.world.Step(s.now, events)
	s.check(node)
	for _, command := range commands {
		s.execute(node, command)
	}
	if next.IsZero() || next.Equal(node.wakeAt) {
		return
	}
	node.wakeAt = next
	session := node.sessions
	s.schedule(max(0, next.Sub(s.now)), &scheduledEvent{to: node, run: func() {
		if node.sessions == session && node.wakeAt.Equal(next) {
			node.wakeAt = time.Time{}
			s.step(node)
		}
	}})
}

// check records a node whose settings in force went back.
func (s *simulation) check(node *simNode) {
	if !node.joined {
		return
	}
	if revision := node.replica.Revision(); revision < node.highestRevision {
		s.regression = fmt.Sprintf("revision of %s went back from %d to %d", node.self.Control, node.highestRevision, revision)
	}
	node.highestRevision = max(node.highestRevision, node.replica.Revision())
}

// deliver passes an event to the node unless it has restarted since.
func (s *simulation) deliver(node *simNode, session uint64, event Event) {
	if node.sessions == session {
		s.step(node, event)
	}
}

func (s *simulation) execute(node *simNode, command Command) {
	session := node.sessions
	ctx := context.Background()
	switch command := command.(type) {
	case Sync:
		s.send(node, command)
	case Joined:
		node.joined = true
		s.check(node)
	case Load:
		s.platformCall(node, func() {
			replica := node.world.documents[command.Document].replica
			version, err := loadReplica(ctx, s.api, replica, command.Compacted)
			s.deliver(node, session, LoadEnded{Document: command.Document, Version: version, Err: err})
		})
	case Watch:
		s.watch(node, session, command, s.now.Add(node.world.config.WatchWait))
	case ReadVMs:
		s.platformCall(node, func() {
			vms, err := s.api.VMs(ctx)
			s.deliver(node, session, VMsRead{VMs: vms, Err: err})
		})
	case Register:
		s.platformCall(node, func() {
			version, err := membership.Register(ctx, s.api, command.Record)
			if s.loseReply() {
				err = platform.ErrOutcomeUnknown
			}
			s.deliver(node, session, RegisterEnded{Leaving: command.Record.Leaving(), Version: version, Err: err})
		})
	case WriteRecord:
		s.platformCall(node, func() { _ = command.Write.Apply(ctx, s.api) })
	}
}

// loseReply reports whether the current reply is lost.
func (s *simulation) loseReply() bool {
	if s.repliesToLose == 0 {
		return false
	}
	s.repliesToLose--
	return true
}

func (s *simulation) platformCall(node *simNode, run func()) {
	s.schedule(platformDelay+s.platformSlowdown, &scheduledEvent{to: node, run: run})
}

// watch holds a watch until there are changes to return.
func (s *simulation) watch(node *simNode, session uint64, command Watch, until time.Time) {
	s.schedule(watchPoll+s.platformSlowdown, &scheduledEvent{to: node, run: func() {
		if node.sessions != session {
			return
		}
		replica := node.world.documents[command.Document].replica
		changes, upTo, err := s.api.Watch(context.Background(), replica.WatchPrefix(), command.From, 0)
		if err == nil && len(changes) == 0 && s.now.Before(until) {
			s.watch(node, session, command, until)
			return
		}
		if len(changes) > 0 && s.loseReply() {
			err = platform.ErrUnavailable
		}
		if err == nil {
			err = replica.ApplyChanges(context.Background(), s.api, changes)
		}
		s.deliver(node, session, WatchEnded{Document: command.Document, Version: upTo, Err: err})
	}})
}

// run advances the time until done returns true or the limit is reached, and
// reports the last result of done.
func (s *simulation) run(limit time.Duration, done func() bool) bool {
	end := s.now.Add(limit)
	for !done() {
		if len(s.queue) == 0 || s.queue[0].at.After(end) {
			s.now = end
			return done()
		}
		next := heap.Pop(&s.queue).(*scheduledEvent)
		s.now = next.at
		if next.to != nil && next.to.paused {
			// A paused node receives its messages after the pause.
			s.schedule(watchPoll, next)
			continue
		}
		next.run()
	}
	return true
}

// sleep advances the time.
func (s *simulation) sleep(duration time.Duration) { s.run(duration, func() bool { return false }) }

// edit makes the platform accept the next revision, unless the platform is
// down.
func (s *simulation) edit() {
	s.beforeEdit = s.snapshot()
	next := append(slices.Clone(s.head), byte('a'+len(s.head)%26))
	version, err := s.store.Put(context.Background(), headKey, next, s.headVersion)
	if err == nil {
		s.head, s.headVersion = next, version
	}
}

// accepted returns the last accepted revision.
func (s *simulation) accepted() uint64 { return uint64(len(s.head)) }

// converged reports whether the nodes have exactly the accepted settings in
// force and know all nodes.
func (s *simulation) converged(nodes ...*simNode) bool {
	return lo.EveryBy(nodes, func(node *simNode) bool {
		return node.joined && slices.Equal(node.replica.content, s.head) &&
			len(node.world.view.Nodes) == len(s.nodes)
	})
}

// describe returns the revision and the number of known nodes of each node.
func (s *simulation) describe() string {
	var text strings.Builder
	fmt.Fprintf(&text, "accepted %d;", s.accepted())
	for _, node := range s.nodes {
		fmt.Fprintf(&text, " %s:%d/%d", node.self.Control, node.replica.Revision(), len(node.world.view.Nodes))
	}
	return text.String()
}
