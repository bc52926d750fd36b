package spread

import (
	"math/rand/v2"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/membership"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
	"github.com/bluebellchute/bluebellchute/internal/tick"
)

// World decides what one node sends to and requests from its peers and the
// platform.
//
// A node has two states. While it is joining, it has asked the platform and
// some peers and must not act on its documents yet: after a cold restart the
// platform may return an old state, and the node would apply settings that the
// fleet has already replaced. It has joined once it has caught up with the
// peers that answered, or after the join timeout.
type World struct {
	config     Config
	random     *rand.Rand
	envelopes  *EnvelopeSource
	tracker    *membership.Tracker
	directory  *membership.Directory
	documents  [documentCount]*document
	peers      *tick.Table[fleet.Address, peerState]
	verdicts   *verdictTable
	reconciler *membership.Reconciler

	now      time.Time // of the current tick
	wakeAt   time.Time // latest time of the next tick, zero for none
	commands []Command // emitted in the current tick

	view           membership.View
	peerSet        peerSet
	refreshAt      time.Time     // of the next periodic refresh
	pushedAt       time.Time     // of the last push
	exchangeAt     time.Time     // of the next exchange
	exchangeWith   fleet.Address // partner of the last exchange
	partnerUntil   time.Time     // until when exchangeWith stays the partner
	lastEnvelopeAt time.Time     // when a peer's envelope last arrived, or of the first tick
	join           joinState
	reconciliation reconcileState
	registration   registrationState
	introduction   introductionState
}

var _ tick.World[Event, Command] = (*World)(nil)

// refreshInterval is the interval at which the view is refreshed while it contains
// entries that expire: suspicions and unregistered nodes.
const refreshInterval = time.Second

// Dependencies are the objects that World shares with Manager.
type Dependencies struct {
	Envelopes *EnvelopeSource
	Tracker   *membership.Tracker
	Directory *membership.Directory
	Settings  Replica
}

// NewWorld returns the World of a node that has just started.
func NewWorld(config Config, dependencies Dependencies) *World {
	config = config.withDefaults()
	w := &World{
		config:     config,
		random:     rand.New(rand.NewPCG(config.Seed, config.Self.Incarnation)),
		envelopes:  dependencies.Envelopes,
		tracker:    dependencies.Tracker,
		directory:  dependencies.Directory,
		peers:      tick.NewTable[fleet.Address, peerState](),
		verdicts:   newVerdictTable(),
		reconciler: membership.NewReconciler(),
		join:       newJoinState(),
		peerSet:    newPeerSet(config, membership.View{}),
	}
	for id, replica := range map[DocumentID]Replica{DocumentSettings: dependencies.Settings, DocumentMembers: dependencies.Directory} {
		w.documents[id] = &document{id: id, replica: replica, peersAhead: tick.NewTable[fleet.Address, uint64]()}
	}
	return w
}

// systems run in this order at each tick. refresh is first, so that the other
// systems use the current view.
var systems = []tick.System[*World]{
	{Name: "refresh", Run: (*World).refresh},
	{Name: "verdicts", Run: (*World).expireVerdicts},
	{Name: "news", Run: (*World).pushUpdates},
	{Name: "pull", Run: (*World).pullMissing},
	{Name: "join", Run: (*World).joinFleet},
	{Name: "exchange", Run: (*World).exchange},
	{Name: "platform", Run: (*World).schedulePlatformCalls},
	{Name: "keep", Run: (*World).reconcileRecords},
	{Name: "register", Run: (*World).register},
	{Name: "introduce", Run: (*World).introduce},
}

// Step implements tick.World.
func (w *World) Step(now time.Time, events []Event) ([]Command, time.Time) {
	w.now = now
	w.wakeAt = time.Time{}
	w.commands = nil
	if w.lastEnvelopeAt.IsZero() {
		w.lastEnvelopeAt = now
	}
	for _, event := range events {
		w.handle(event)
	}
	for _, system := range systems {
		system.Run(w, now)
	}
	return w.commands, w.wakeAt
}

func (w *World) handle(event Event) {
	switch event := event.(type) {
	case EnvelopeReceived:
		w.handleEnvelope(event.Envelope)
	case SyncReceived:
		w.handleIntroduction(event.Request.GetIntroduction())
		w.handleSyncMessage(event.Request)
		w.emit(Reply{Token: event.Token, Reply: w.replyTo(event.Request.GetEnvelope())})
	case SyncEnded:
		w.handleSyncEnded(event)
	case LoadEnded:
		w.handleLoadEnded(event)
	case WatchEnded:
		w.handleWatchEnded(event)
	case VMsRead:
		w.handleVMsRead(event)
	case RegisterEnded:
		w.handleRegisterEnded(event)
	case LeavingSet:
		w.envelopes.SetLeaving(event.Leaving)
	case VerdictReached:
		w.verdicts.merge([]*rpc.Verdict{event.Verdict}, w.now)
	}
}

func (w *World) emit(command Command) { w.commands = append(w.commands, command) }

// wake requests a tick no later than at.
func (w *World) wake(at time.Time) {
	if w.wakeAt.IsZero() || at.Before(w.wakeAt) {
		w.wakeAt = at
	}
}

// jittered returns the duration multiplied by a random factor from 0.75 to
// 1.25, so that nodes that started together do not call together.
func (w *World) jittered(duration time.Duration) time.Duration {
	return time.Duration(float64(duration) * (0.75 + w.random.Float64()/2))
}

// refresh updates the view. Merging the sources visits every node, so it is
// done only after a change of the directory and, periodically, while the view
// contains something that expires.
func (w *World) refresh(now time.Time) {
	version := w.view.Version
	needsRefresh := w.tracker.NeedsRefresh()
	switch {
	case w.tracker.Outdated():
		w.view = w.tracker.Refresh(now)
	case needsRefresh && !now.Before(w.refreshAt):
		w.refreshAt = now.Add(refreshInterval)
		w.view = w.tracker.Refresh(now)
	default:
		w.view = w.tracker.View()
	}
	if needsRefresh {
		w.wake(w.refreshAt)
	}
	if w.view.Version != version {
		w.peerSet = newPeerSet(w.config, w.view)
		w.prunePeers()
	}
}

// prunePeers removes the state of peers that no longer exist.
func (w *World) prunePeers() {
	w.peers.Each(func(control fleet.Address, peer *peerState) {
		if !peer.syncing && !membership.Contains(w.view.Nodes, control) {
			w.peers.Delete(control)
		}
	})
}
