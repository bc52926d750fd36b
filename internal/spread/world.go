package spread

import (
	"math/rand/v2"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/membership"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
	"github.com/bluebellchute/bluebellchute/internal/tick"
)

// World decides for one node what to tell and ask its peers and the platform.
//
// A node goes through two states. While it joins it has asked the platform and
// some peers, and must not act on its documents yet: after a cold restart the
// platform may answer from an old state, and the node would bring back settings
// that the fleet has left behind. It has joined once it is level with the peers
// that answered, or once nobody answers for the join timeout.
type World struct {
	config    Config
	random    *rand.Rand
	stamp     *EnvelopeSource
	tracker   *membership.Tracker
	directory *membership.Directory
	documents [documentCount]*document
	links     *tick.Table[fleet.Address, link]
	verdicts  *verdictTable
	keeper    *membership.Reconciler

	now      time.Time
	wakeAt   time.Time
	commands []Command

	view         membership.View
	circle       circle
	refreshAt    time.Time
	pushedAt     time.Time // of the last push
	exchangeAt   time.Time
	exchangeWith fleet.Address
	partnerUntil time.Time
	lastHeard    time.Time
	join         joinState
	keep         keepState
	registration registrationState
	introduction introductionState
}

var _ tick.World[Event, Command] = (*World)(nil)

// refreshInterval is the time between two looks for suspicions that ended.
const refreshInterval = time.Second

// Dependencies are what a World works on. They are shared with the shell.
type Dependencies struct {
	Envelopes *EnvelopeSource
	Tracker   *membership.Tracker
	Directory *membership.Directory
	Settings  Replica
}

// NewWorld returns the world of a node that has just started.
func NewWorld(config Config, parts Dependencies) *World {
	config = config.withDefaults()
	w := &World{
		config:    config,
		random:    rand.New(rand.NewPCG(config.Seed, config.Self.Incarnation)),
		stamp:     parts.Envelopes,
		tracker:   parts.Tracker,
		directory: parts.Directory,
		links:     tick.NewTable[fleet.Address, link](),
		verdicts:  newVerdictTable(),
		keeper:    membership.NewReconciler(),
		join:      newJoinState(),
		circle:    newCircle(config, membership.View{}),
	}
	for id, replica := range map[DocumentID]Replica{DocumentSettings: parts.Settings, DocumentMembers: parts.Directory} {
		w.documents[id] = &document{id: id, replica: replica, ahead: tick.NewTable[fleet.Address, uint64]()}
	}
	return w
}

// systems run in this order at each tick. News is found first, so that the
// other systems see the view that belongs to it.
var systems = []tick.System[*World]{
	{Name: "refresh", Run: (*World).refresh},
	{Name: "verdicts", Run: (*World).expireVerdicts},
	{Name: "news", Run: (*World).pushNews},
	{Name: "pull", Run: (*World).pullAhead},
	{Name: "join", Run: (*World).joinFleet},
	{Name: "exchange", Run: (*World).exchange},
	{Name: "platform", Run: (*World).followPlatform},
	{Name: "keep", Run: (*World).keepRecords},
	{Name: "register", Run: (*World).register},
	{Name: "introduce", Run: (*World).introduce},
}

// Step implements tick.World.
func (w *World) Step(now time.Time, events []Event) ([]Command, time.Time) {
	w.now = now
	w.wakeAt = time.Time{}
	w.commands = nil
	if w.lastHeard.IsZero() {
		w.lastHeard = now
	}
	for _, event := range events {
		w.take(event)
	}
	for _, system := range systems {
		system.Run(w, now)
	}
	return w.commands, w.wakeAt
}

func (w *World) take(event Event) {
	switch event := event.(type) {
	case EnvelopeReceived:
		w.hear(event.Envelope)
	case SyncReceived:
		w.takeIntroduction(event.Request.GetIntroduction())
		w.takeSync(event.Request)
		w.emit(Reply{Token: event.Token, Reply: w.replyTo(event.Request.GetEnvelope())})
	case SyncEnded:
		w.takeSyncEnd(event)
	case LoadEnded:
		w.takeLoadEnd(event)
	case WatchEnded:
		w.takeWatchEnd(event)
	case VMsRead:
		w.takeVMs(event)
	case RegisterEnded:
		w.takeRegisterEnd(event)
	case LeavingSet:
		w.stamp.SetLeaving(event.Leaving)
	case VerdictReached:
		w.verdicts.merge([]*rpc.Verdict{event.Verdict}, w.now)
	}
}

func (w *World) emit(command Command) { w.commands = append(w.commands, command) }

// wake asks for a tick at the time at the latest.
func (w *World) wake(at time.Time) {
	if w.wakeAt.IsZero() || at.Before(w.wakeAt) {
		w.wakeAt = at
	}
}

// jittered returns the duration times 0.75 to 1.25, so that nodes that started
// together do not call together.
func (w *World) jittered(duration time.Duration) time.Duration {
	return time.Duration(float64(duration) * (0.75 + w.random.Float64()/2))
}

// refresh brings the view level with the directory and with time. Putting the
// sources together costs a look at every node, so it is done after a change of
// the directory and while the view holds something that ends by itself.
func (w *World) refresh(now time.Time) {
	members := w.documents[DocumentMembers]
	version := w.view.Version
	unsettled := w.tracker.NeedsRefresh()
	switch {
	case members.replica.Revision() > members.noted:
		w.view = w.tracker.Refresh(now)
	case unsettled && !now.Before(w.refreshAt):
		w.refreshAt = now.Add(refreshInterval)
		w.view = w.tracker.Refresh(now)
	default:
		w.view = w.tracker.View()
	}
	if unsettled {
		w.wake(w.refreshAt)
	}
	if w.view.Version != version {
		w.circle = newCircle(w.config, w.view)
		w.forgetLinks()
	}
}

// forgetLinks drops what is known of peers that are gone.
func (w *World) forgetLinks() {
	w.links.Each(func(control fleet.Address, link *link) {
		if !link.syncing && !membership.Contains(w.view.Nodes, control) {
			w.links.Delete(control)
		}
	})
}
