package gate

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/lo"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/crash"
	"github.com/bluebellchute/bluebellchute/internal/daemon"
	"github.com/bluebellchute/bluebellchute/internal/event"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
	"github.com/bluebellchute/bluebellchute/internal/streamorigin"
)

// Options configure a Manager.
type Options struct {
	Settings    Settings
	VM          string        // its name
	Callers     fleet.Address // the callers' interface
	Zone        fleet.Zone
	Connections int           // maximum number of callers' connections
	Grace       time.Duration // from the stop signal until the process is killed
	Dialect     Dialect
	State       *knowledge.State
	Peers       Peers
	Streams     StreamOrigins // nil for a router that knows no others
	Readiness   *daemon.Readiness
	Registerer  prometheus.Registerer
	Logger      logrus.FieldLogger
}

// Manager runs a gate. It is a daemon.Service.
type Manager struct {
	options         Options
	handler         *handler
	acceptor        *acceptor
	connectionStats *connectionStats
}

// NewManager returns a gate that does not accept requests yet.
func NewManager(options Options) *Manager {
	settings := newCurrentSettings(options.Settings)
	admission := newAdmission(settings, options.Zone, options.Peers)
	connectionStats := newConnectionStats(options.Logger, options.Registerer)
	drain := newDrainState()
	h := &handler{
		drain:         drain,
		settings:      settings,
		dialect:       options.Dialect,
		state:         options.State,
		startedAt:     boottime.Now(),
		pool:          newPool(connectionStats),
		admission:     admission,
		budget:        newRetryBudget(settings, options.Peers),
		suspects:      crash.NewSuspects(),
		streams:       options.Streams,
		continuations: newContinuations(),
		crashDetector: crash.NewDetector(),
		segments:      crash.NewSegmentTable(),
		requestLog:    newRequestLog(options.Logger, options.State, func() logrus.Fields { return admission.inputs(options.State.View()) }),
		metrics:       newMetrics(options.Registerer),
		lag:           newLagMeter(options.Logger, options.Registerer),
	}
	h.pool.SetCertainty(certaintyOf(options.State, options.Dialect, h.metrics))
	admission.certain = func(backend *knowledge.Backend) bool { return h.pool.Certain(backend.Address) }
	h.refusedSegments = newRefusedSegments(options.Logger, h.segments, options.Registerer)
	if h.streams == nil {
		h.streams = ownOrigins{table: streamorigin.NewTable()}
	}
	exportAnswerMemory(&h.answerMemory, options.Registerer)
	admission.paces.export(options.Logger, options.Registerer)
	admission.plain.observeWait = h.metrics.plainWait
	acceptor := newAcceptor(h, options.Connections, h.lag, drain)
	acceptor.record(newUnansweredLog(options.Logger, options.Registerer))
	acceptor.unread.refused = h.recordUnreadRefusal
	h.closeAfterAnswer = acceptor.closeAfterAnswer
	return &Manager{options: options, handler: h, acceptor: acceptor, connectionStats: connectionStats}
}

// ApplyConfig applies new settings. Addresses stay as they were at the start.
func (m *Manager) ApplyConfig(settings Settings) { m.handler.settings.set(settings) }

// Handler returns the handler of callers' requests.
func (m *Manager) Handler() http.Handler { return m.handler }

// Run serves callers until the context ends.
func (m *Manager) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return m.handler.pool.Run(ctx) })
	group.Go(func() error { return m.connectionStats.run(ctx) })
	group.Go(func() error { return m.handler.requestLog.Run(ctx) })
	group.Go(func() error { return every(ctx, confirmInterval, m.handler.confirmByProcess) })
	group.Go(func() error { return m.watchState(ctx) })
	group.Go(func() error { return m.watchReadiness(ctx) })
	group.Go(func() error { return m.handler.lag.run(ctx) })
	group.Go(func() error { return m.handler.judgeResets(ctx) })
	group.Go(func() error {
		if err := m.acceptor.run(ctx, m.options.Callers); err != nil {
			return err
		}
		<-ctx.Done()
		return nil
	})
	return group.Wait()
}

// watchState applies changes of the fleet state until the context ends.
func (m *Manager) watchState(ctx context.Context) error {
	before := &knowledge.View{}
	for {
		changed := m.options.State.Changed()
		view := m.options.State.View()
		m.apply(before, view)
		before = view
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// apply applies and logs the changes between two views of the fleet state.
func (m *Manager) apply(before, view *knowledge.View) {
	if view.Version() != before.Version() {
		m.acceptor.applyLimits(view.Index.Configuration.Limits)
		event.GateConfigurationApplied.Log(m.options.Logger, logrus.Fields{"version": view.Version(), "before": before.Version()})
	}
	m.logStore(before, view)
	m.logEvacuations(before, view)
	m.logBackends(before, view)
	m.closeReplaced(before, view)
	m.handler.admission.loads.prune(view.Backends)
	m.handler.admission.paces.setBackends(view.Backends)
	m.handler.admission.plain.prune(view.Backends, boottime.Now())
	m.handler.admission.unavailable.prune(view.Backends, boottime.Now())
}

const (
	// readinessInterval is the interval at which the readiness is checked.
	readinessInterval = 100 * time.Millisecond
	// isolatedChecks is how many checks in a row must find the router isolated. After an
	// outage of the store some routers reach it sooner than others.
	isolatedChecks = 8
	// contactAgeShare is the fraction of Settings.Revoke by which another router's contact
	// with the store must be newer for this router to count as isolated.
	contactAgeShare = 0.5
)

// watchReadiness keeps the readiness that the load balancer asks for up to date until the
// context ends.
func (m *Manager) watchReadiness(ctx context.Context) error {
	reason := reasonUnknown
	isolatedFor := 0 // consecutive checks
	ticker := time.NewTicker(readinessInterval)
	defer ticker.Stop()
	for {
		view := m.options.State.View()
		isolatedFor++
		if !m.isolated(view) {
			isolatedFor = 0
		}
		isolated := isolatedFor >= isolatedChecks
		m.handler.isolated.Store(isolated)
		if now := m.notReady(view, isolated); now != reason && !m.handler.drain.draining() {
			reason = now
			m.setReady(reason)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// isolated reports whether the store answers other routers but not this one. Its fleet
// state then comes from those others, which serve callers better: they learn of a withdrawn
// key or a new route first.
//
// When the store answers nobody, the last contacts still differ by up to the interval of
// the routers' calls, so another router's contact must be newer by the whole limit.
func (m *Manager) isolated(view *knowledge.View) bool {
	if !m.options.Peers.WatchesStore() {
		return false // it gets the store's data from other routers
	}
	limit := time.Duration(float64(m.handler.settings.get().Revoke) * contactAgeShare)
	otherContact := m.options.Peers.StoreContact()
	return otherContact != 0 && otherContact.Sub(view.StoreContact) > limit
}

// The reasons why a router is not ready for connections.
const (
	reasonUnknown    = "no configuration or list of backend servers is known"
	reasonUnchecked  = "other routers may have a newer configuration"
	reasonIsolated   = "the store answers other routers only"
	reasonOverloaded = "requests wait too long for the processor"
	reasonDrained    = "drained by an operator"
)

// notReady returns why the load balancer should send no connections, or "".
func (m *Manager) notReady(view *knowledge.View, isolated bool) string {
	switch {
	case view.Index != nil && !view.KnowsNewest():
		return reasonUnchecked
	case !view.Ready():
		return reasonUnknown
	case m.handler.drainedByOperator.Load():
		return reasonDrained
	case isolated:
		return reasonIsolated
	case m.handler.lag.busy(boottime.Now()):
		return reasonOverloaded
	}
	return ""
}

func (m *Manager) setReady(reason string) {
	if reason == "" {
		m.options.Readiness.SetReady()
	} else {
		m.options.Readiness.SetNotReady(reason)
	}
	event.GateReadinessChanged.Log(m.options.Logger, logrus.Fields{"ready": reason == "", "reason": reason})
}

// closeReplaced closes the connections to backend servers that have restarted under the
// same ids.
func (m *Manager) closeReplaced(before, view *knowledge.View) {
	for id, backend := range view.Backends {
		previous := before.Backends[id]
		if previous == nil || previous.Incarnation == backend.Incarnation {
			continue
		}
		m.handler.pool.DropIdle(previous.Address)
		event.GateBackendRestarted.Log(m.options.Logger, logrus.Fields{"backend": id, "born": backend.StartedAt})
	}
}

// logStore logs that the store was restored from an older copy.
func (m *Manager) logStore(before, view *knowledge.View) {
	m.handler.metrics.storeEra(view.Position.Era)
	if view.RestoredAt == before.RestoredAt {
		return
	}
	event.GateStoreRestored.Log(m.options.Logger, logrus.Fields{
		"era": view.Position.Era, "revision": view.Position.Revision,
		"era_before": before.Position.Era, "revision_before": before.Position.Revision,
		"kept": view.RetainedFromOlderEra(),
	})
}

// logEvacuations logs changes of the evacuated zones. It names added zones without backend
// servers, as they are probably an operator's mistake.
func (m *Manager) logEvacuations(before, view *knowledge.View) {
	added, removed := lo.Difference(view.Evacuations.Zones, before.Evacuations.Zones)
	if len(added)+len(removed) == 0 {
		return
	}
	m.handler.metrics.evacuated(len(view.Evacuations.Zones))
	empty := lo.Filter(added, func(zone fleet.Zone, _ int) bool { return !hasBackends(view, zone) })
	event.GateEvacuationsChanged.Log(m.options.Logger, logrus.Fields{
		"added": added, "taken_back": removed, "without_backends": empty,
		"era": view.Evacuations.Position.Era, "revision": view.Evacuations.Position.Revision,
	})
}

func hasBackends(view *knowledge.View, zone fleet.Zone) bool {
	return lo.SomeBy(lo.Values(view.Backends), func(backend *knowledge.Backend) bool { return backend.Zone == zone })
}

func (m *Manager) logBackends(before, view *knowledge.View) {
	added, removed := lo.Difference(lo.Keys(view.Backends), lo.Keys(before.Backends))
	var draining []string
	for id, backend := range view.Backends {
		previous := before.Backends[id]
		if backend.Draining && (previous == nil || !previous.Draining) {
			draining = append(draining, id)
		}
	}
	if len(added)+len(removed)+len(draining) == 0 {
		return
	}
	slices.Sort(added)
	slices.Sort(removed)
	slices.Sort(draining)
	event.GateBackendsChanged.Log(m.options.Logger, logrus.Fields{
		"added": added, "removed": removed, "leaving": draining, "versions": versionsOf(view),
		"era": view.Position.Era, "revision": view.Position.Revision,
	})
}

// versionsOf returns how many backend servers of each service run which software version.
func versionsOf(view *knowledge.View) map[fleet.Service]map[string]int {
	versions := make(map[fleet.Service]map[string]int, len(view.ByService))
	for service, backends := range view.ByService {
		versions[service] = lo.CountValuesBy(backends, func(backend *knowledge.Backend) string { return backend.Version })
	}
	return versions
}

const (
	// drainNotice is how long connections are still accepted after the stop signal. The
	// load balancer checks readiness once a second and reacts after two failed checks.
	drainNotice = 2500 * time.Millisecond
	// maxDrainNotice replaces drainNotice if the load balancer has not noticed by then. From
	// then on requests are accepted only if they can end before the process does, also if
	// the signal was handled late.
	maxDrainNotice = 3 * time.Second
	// noticeShare and maxNoticeShare are the fractions of the grace that bound the two.
	noticeShare    = 0.5
	maxNoticeShare = 0.6
	// noticeSettle is the time that the load balancer has to act on the last failed check.
	noticeSettle = 300 * time.Millisecond
	// noticePollInterval is the interval at which draining checks whether it has noticed.
	noticePollInterval = 20 * time.Millisecond
	// shutdownMargin is the time reserved for shutting down before the process is killed.
	shutdownMargin = 500 * time.Millisecond
	// lastGraceShare is the last part of the grace, in which requests in progress may be
	// cut. Callers rely on the rest.
	lastGraceShare = 1.0 / 6
)

// signalTime returns when a stop signal that is handled now may have been sent. After a
// stall that is earlier, and the process is killed earlier too; requests in progress would
// then be cut without an answer. The signal may also have come at the end of the stall, so
// no more than the last part of the grace is given up.
func (m *Manager) signalTime(now boottime.Instant) boottime.Instant {
	lastPart := time.Duration(float64(m.options.Grace) * lastGraceShare)
	signalled := max(m.handler.lag.stalls.earliest(now), now.Add(-max(lastPart-shutdownMargin, 0)))
	if signalled < now {
		event.GateStopHandledLate.Log(m.options.Logger, logrus.Fields{"stalled_ms": now.Sub(signalled).Milliseconds()})
	}
	return signalled
}

// boundedNotice returns the notice, or the fraction of the grace if that is shorter.
func (m *Manager) boundedNotice(notice time.Duration, share float64) time.Duration {
	return min(notice, time.Duration(share*float64(m.options.Grace)))
}

// awaitNotice waits until the load balancer has noticed that the router drains, for
// drainNotice at least and until maxDrainNotice after the stop signal at most.
func (m *Manager) awaitNotice(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(m.boundedNotice(drainNotice, noticeShare)):
	}
	for !m.handler.drain.late(boottime.Now()) && !m.options.Readiness.Noticed(noticeSettle) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(noticePollInterval):
		}
	}
}

// Drain implements daemon.Service: it reports that the router is not ready, accepts
// connections until the load balancer has noticed, and lets the requests in progress end.
func (m *Manager) Drain(ctx context.Context) error {
	now := boottime.Now()
	signalled := m.signalTime(now)
	deadline := signalled.Add(m.options.Grace - shutdownMargin)
	ctx, cancel := context.WithTimeout(ctx, deadline.Sub(now))
	defer cancel()
	m.handler.drain.start(signalled, deadline)
	m.handler.drain.setNoticeEnd(signalled.Add(m.boundedNotice(maxDrainNotice, maxNoticeShare)))
	m.options.Readiness.SetDraining()
	event.GateReadinessChanged.Log(m.options.Logger, logrus.Fields{"ready": false})
	m.awaitNotice(ctx)
	m.acceptor.stopAccepting()
	count := m.acceptor.finish(ctx)
	if count == 0 {
		return nil
	}
	m.handler.metrics.endedDraining(count)
	m.handler.requestLog.endedDraining(count)
	return errors.Errorf("%d requests in progress were ended", count)
}
