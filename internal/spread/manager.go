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
	// inputQueue is the number of events that can wait for the next step of
	// World.
	inputQueue = 1024
	// unregisterTimeout limits the removal of the node's own record at
	// shutdown.
	unregisterTimeout = time.Second
)

// Peers creates clients of peers. control.Pool implements it.
type Peers interface {
	Peer(address fleet.Address) rpc.Peer
}

// Options are the settings and dependencies of a Manager.
type Options struct {
	Config     Config
	Settings   Replica
	Platform   platform.API
	Peers      Peers
	Status     func() *rpc.StatusReply // describes the node; nil for an empty status
	Registerer prometheus.Registerer
	Logger     logrus.FieldLogger
}

// Manager distributes settings, the list of nodes and verdicts for one node. It
// translates between World, the platform and the peers.
type Manager struct {
	options   Options
	config    Config
	platform  platform.API
	envelopes *EnvelopeSource
	tracker   *membership.Tracker
	directory *membership.Directory
	replicas  [documentCount]Replica
	loop      *tick.Loop[Event, Command]
	replies   replies
	metrics   *metrics
	joined    chan struct{}

	runContext context.Context // of Run
	calls      sync.WaitGroup

	mu       sync.Mutex
	changed  chan struct{}
	verdicts []*rpc.Verdict
}

// NewManager returns a manager that is inactive until Run.
func NewManager(options Options) *Manager {
	config := options.Config.withDefaults()
	directory := membership.NewDirectory()
	m := &Manager{
		options:   options,
		config:    config,
		envelopes: NewEnvelopeSource(config.Self, options.Settings, directory),
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
		Envelopes: m.envelopes, Tracker: m.tracker, Directory: directory, Settings: options.Settings,
	})
	m.loop = tick.NewLoop[Event, Command](world, inputQueue, m.execute)
	return m
}

// Run exchanges updates until the context ends. It then waits for the calls in
// progress, tries to remove this node's record from the platform and returns
// nil.
func (m *Manager) Run(ctx context.Context) error {
	m.runContext = ctx
	m.calls.Go(func() { m.watchView(ctx) })
	err := m.loop.Run(ctx)
	m.calls.Wait()
	m.unregister()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// unregister removes the node's own record, so that peers stop relying on a
// node that has shut down in an orderly way.
func (m *Manager) unregister() {
	ctx, cancel := context.WithTimeout(context.Background(), unregisterTimeout)
	defer cancel()
	self := m.config.Self
	if err := membership.Unregister(ctx, m.platform, self.Control, self.Incarnation); err != nil {
		m.logPlatformError("unregister", err)
	}
}

// watchView notifies of changes of the view, which result from the directory as
// well as from envelopes and failed calls.
func (m *Manager) watchView(ctx context.Context) {
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

// notify wakes the goroutines that wait for a change.
func (m *Manager) notify() {
	m.mu.Lock()
	defer m.mu.Unlock()
	close(m.changed)
	m.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next change of the settings,
// the members or the verdicts. Call it before reading them.
func (m *Manager) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// Joined returns a channel that is closed once the node has enough information
// from its peers to act on its settings. Until then they may be older than
// those of the fleet.
func (m *Manager) Joined() <-chan struct{} { return m.joined }

// Members returns this node's view of the fleet.
func (m *Manager) Members() membership.View { return m.tracker.View() }

// Verdicts returns the unexpired verdicts. The caller must not modify them.
func (m *Manager) Verdicts() []*rpc.Verdict {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.verdicts
}

// AddVerdict distributes a verdict to the fleet.
func (m *Manager) AddVerdict(verdict *rpc.Verdict) {
	m.loop.Send(VerdictReached{Verdict: verdict})
}

// Envelope returns this node's envelope for a control message.
func (m *Manager) Envelope() *rpc.Envelope { return m.envelopes.Envelope() }

// ReceiveEnvelope processes the envelope of another node's control message.
func (m *Manager) ReceiveEnvelope(envelope *rpc.Envelope) {
	sender := fleet.Address(envelope.GetSender())
	if sender == "" || sender == m.config.Self.Control {
		return
	}
	if m.envelopes.matches(envelope) {
		m.tracker.Observe(sender, selfReportOf(envelope), time.Now())
		return
	}
	m.loop.Send(EnvelopeReceived{Envelope: envelope})
}

// CallFailed counts a control call to a peer that got no answer.
func (m *Manager) CallFailed(peer fleet.Address) { m.tracker.CallFailed(peer, time.Now()) }

// SetLeaving sets whether this node accepts no new work. The next envelopes
// state it immediately; the node's record follows.
func (m *Manager) SetLeaving(leaving bool) {
	m.envelopes.SetLeaving(leaving)
	m.loop.Send(LeavingSet{Leaving: leaving})
}
