package spread

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/membership"
	"github.com/bluebellchute/bluebellchute/internal/platform"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
	"github.com/bluebellchute/bluebellchute/internal/tick"
)

const (
	// inputQueue holds events while the world steps.
	inputQueue = 1024
	// unregisterTimeout bounds the removal of the own record at the end.
	unregisterTimeout = time.Second
)

// Peers makes clients of peers. control.Pool implements it.
type Peers interface {
	Peer(address fleet.Address) rpc.Peer
}

// Options are the parts that a Manager works with.
type Options struct {
	Config     Config
	Settings   Replica
	Platform   platform.API
	Peers      Peers
	Status     func() *rpc.StatusReply // describes the node; nil for an empty status
	Registerer prometheus.Registerer
	Logger     logrus.FieldLogger
}

// Manager runs the spread of settings, the list of nodes and verdicts for one
// node. It translates between World, the platform and the peers.
type Manager struct {
	options   Options
	config    Config
	platform  platform.API
	stamp     *EnvelopeSource
	tracker   *membership.Tracker
	directory *membership.Directory
	replicas  [documentCount]Replica
	loop      *tick.Loop[Event, Command]
	replies   replies
	metrics   *metrics
	joined    chan struct{}

	running context.Context // of Run
	calls   sync.WaitGroup

	mu       sync.Mutex
	changed  chan struct{}
	verdicts []*rpc.Verdict
}

// NewManager returns a manager that does nothing until Run.
func NewManager(options Options) *Manager {
	config := options.Config.withDefaults()
	directory := membership.NewDirectory()
	m := &Manager{
		options:   options,
		config:    config,
		stamp:     NewEnvelopeSource(config.Self, options.Settings, directory),
		tracker:   membership.NewTracker(directory),
		directory: directory,
		replicas:  [documentCount]Replica{options.Settings, directory},
		replies:   newReplies(),
		joined:    make(chan struct{}),
		changed:   make(chan struct{}),
	}
	m.metrics = newMetrics(options.Registerer, m)
	m.platform = countingAPI{API: options.Platform, metrics: m.metrics}
	world := NewWorld(config, Dependencies{
		Envelopes: m.stamp, Tracker: m.tracker, Directory: directory, Settings: options.Settings,
	})
	m.loop = tick.NewLoop[Event, Command](world, inputQueue, m.execute)
	return m
}

// Run spreads until the context ends. It returns nil then, after the calls in
// progress have ended and this node's record has been removed as far as the
// platform lets it.
func (m *Manager) Run(ctx context.Context) error {
	m.running = ctx
	m.calls.Go(func() { m.followView(ctx) })
	err := m.loop.Run(ctx)
	m.calls.Wait()
	m.unregister()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// unregister removes the own record, so that peers stop at once to count on a
// node that has ended in good order.
func (m *Manager) unregister() {
	ctx, cancel := context.WithTimeout(context.Background(), unregisterTimeout)
	defer cancel()
	self := m.config.Self
	if err := membership.Unregister(ctx, m.platform, self.Control, self.Incarnation); err != nil {
		m.logPlatform("unregister", err)
	}
}

// followView passes changes of the view on, which come from the directory as
// well as from envelopes and failed calls.
func (m *Manager) followView(ctx context.Context) {
	for {
		changed := m.tracker.Changed()
		select {
		case <-changed:
			m.notify()
		case <-ctx.Done():
			return
		}
	}
}

// notify wakes those who wait for a change.
func (m *Manager) notify() {
	m.mu.Lock()
	defer m.mu.Unlock()
	close(m.changed)
	m.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next change of the settings,
// the members or the verdicts. Take it before reading them.
func (m *Manager) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// Joined returns a channel that is closed once the node has heard enough to
// act on its settings. Until then they may be older than what the fleet had.
func (m *Manager) Joined() <-chan struct{} { return m.joined }

// Members returns the nodes of the fleet as this node knows them.
func (m *Manager) Members() membership.View { return m.tracker.View() }

// Verdicts returns the unexpired verdicts. They are not to be changed.
func (m *Manager) Verdicts() []*rpc.Verdict {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.verdicts
}

// AddVerdict makes a verdict known to the fleet.
func (m *Manager) AddVerdict(verdict *rpc.Verdict) {
	m.loop.Send(VerdictReached{Verdict: verdict})
}

// Envelope returns this node's envelope for a control message.
func (m *Manager) Envelope() *rpc.Envelope { return m.stamp.Envelope() }

// ReceiveEnvelope takes in the envelope of another node's control message.
func (m *Manager) ReceiveEnvelope(envelope *rpc.Envelope) {
	sender := fleet.Address(envelope.GetSender())
	if sender == "" || sender == m.config.Self.Control {
		return
	}
	if m.stamp.level(envelope) {
		m.tracker.Observe(sender, wordOf(envelope), time.Now())
		return
	}
	m.loop.Send(EnvelopeReceived{Envelope: envelope})
}

// CallFailed counts a control call to a peer that got no answer.
func (m *Manager) CallFailed(peer fleet.Address) { m.tracker.CallFailed(peer, time.Now()) }

// SetLeaving tells whether this node takes new work. The next envelopes say so
// at once; the node's record follows.
func (m *Manager) SetLeaving(leaving bool) {
	m.stamp.SetLeaving(leaving)
	m.loop.Send(LeavingSet{Leaving: leaving})
}
