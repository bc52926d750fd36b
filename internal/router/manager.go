package router

import (
	"context"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/bluebellchute/bluebellchute/internal/control"
	"github.com/bluebellchute/bluebellchute/internal/event"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
	"github.com/bluebellchute/bluebellchute/internal/settings"
	"github.com/bluebellchute/bluebellchute/internal/tick"
)

const (
	// inputQueue is the number of inputs that wait for the world.
	inputQueue = 4096
	// shutdownTimeout bounds the wait for callers' idle connections at the end.
	shutdownTimeout = time.Second
	// drainFlush is the time for the last messages of a drain.
	drainFlush = 200 * time.Millisecond
	// fleetPoll bounds how long a change of the fleet's knowledge may be missed.
	fleetPoll = 5 * time.Second
)

// Readiness tells the outside whether the router should get calls.
type Readiness interface {
	SetReady()
	SetNotReady(reason string)
}

// Options are what a Manager needs.
type Options struct {
	Self        fleet.Node
	Incarnation uint64
	Callers     CallersSection
	Token       string // of the fleet, for the agents' data ports
	Fleet       Fleet
	Agents      Agents
	Readiness   Readiness
	Registerer  prometheus.Registerer
	Logger      logrus.FieldLogger
	CountGrants func(bytes int) // counts grants on the data path as control traffic; may be nil
	Listener    net.Listener    // for tests; nil opens Self.Data
}

// Manager runs a router: its world and what connects it to the network.
type Manager struct {
	options  Options
	world    *observed
	loop     *tick.Loop[Input, Output]
	callers  *callers
	data     *dataPath
	agents   *agentCaller
	control  *controlServer
	settings atomic.Pointer[settings.View]
	draining atomic.Bool
}

// NewManager returns a Manager that does not run yet.
func NewManager(options Options) *Manager {
	m := &Manager{options: options}
	metrics := NewMetrics(options.Registerer)
	seed := rand.NewPCG(options.Incarnation, uint64(time.Now().UnixNano()))
	world := NewWorld(options.Self, Limits{WaitingBytes: options.Callers.WaitingBytes}, rand.New(seed))
	m.world = &observed{world: world, metrics: metrics}
	m.loop = tick.NewLoop[Input, Output](m.world, inputQueue, m.execute)
	m.agents = &agentCaller{agents: options.Agents, fleet: options.Fleet, report: m.loop.Send}
	m.control = &controlServer{caller: m.agents}
	m.data = &dataPath{
		hosts:       newHosts(),
		self:        options.Self,
		incarnation: options.Incarnation,
		token:       control.NewDataToken(options.Token),
		report:      m.loop.Send,
		countGrants: options.CountGrants,
	}
	m.callers = newCallers(options.Callers, m.view, m.loop.Send, metrics, &m.draining)
	return m
}

// Server returns the twirp service that agents call.
func (m *Manager) Server() rpc.Router { return m.control }

// FillStatus adds the load to a description of the node: what runs at agents
// for this router's callers, and what waits here. A router has no slots.
func (m *Manager) FillStatus(status *rpc.StatusReply) {
	if current := m.world.load.Load(); current != nil {
		status.Running = uint32(current.inFlight)
		status.Waiting = uint32(current.waiting)
	}
}

// view returns the settings in force, or nil before the first.
func (m *Manager) view() settings.View {
	if view := m.settings.Load(); view != nil {
		return *view
	}
	return nil
}

// Run works until the context ends.
func (m *Manager) Run(ctx context.Context) error {
	listener, err := m.listen()
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return untilDone(ctx, m.loop.Run(ctx)) })
	group.Go(func() error { return untilDone(ctx, m.followFleet(ctx)) })
	group.Go(func() error { return untilDone(ctx, m.callers.parked.watch(ctx)) })
	group.Go(func() error { return m.callers.serve(listener) })
	group.Go(func() error {
		<-ctx.Done()
		return m.callers.shutdown()
	})
	return group.Wait()
}

// untilDone drops the error that only tells that the context has ended.
func untilDone(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}

func (m *Manager) listen() (net.Listener, error) {
	if m.options.Listener != nil {
		return m.options.Listener, nil
	}
	address, err := net.ResolveTCPAddr("tcp", string(m.options.Self.Data))
	if err != nil {
		return nil, errors.Wrap(err, "data port")
	}
	listener, err := net.ListenTCP("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "data port")
	}
	return callerListener{TCPListener: listener, writeTimeout: m.options.Callers.WriteTimeout}, nil
}

// Drain refuses new calls and returns when those in progress have been
// answered, or the context ends.
func (m *Manager) Drain(ctx context.Context) error {
	m.draining.Store(true)
	m.options.Fleet.SetLeaving(true)
	m.loop.Send(DrainBegan{})
	select {
	case <-m.callers.active.none():
		// Leave the last acknowledgements time to go out.
		return sleep(ctx, drainFlush)
	case <-ctx.Done():
		return ctx.Err()
	}
}

func sleep(ctx context.Context, duration time.Duration) error {
	select {
	case <-time.After(duration):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// followFleet hands each change of the fleet's knowledge to the world.
func (m *Manager) followFleet(ctx context.Context) error {
	known := m.options.Fleet
	var follower fleetFollower
	for {
		changed := known.Changed()
		for _, input := range follower.news(known) {
			m.apply(input)
		}
		select {
		case <-changed:
		case <-time.After(fleetPoll):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (m *Manager) apply(input Input) {
	switch news := input.(type) {
	case SettingsChanged:
		m.settings.Store(&news.View)
		m.options.Readiness.SetReady()
		event.RouterSettings.Log(m.options.Logger, logrus.Fields{"revision": news.View.Revision()})
	case MembersChanged:
		listed := make(map[fleet.Address]bool, len(news.View.Nodes))
		for _, node := range news.View.Nodes {
			listed[node.Data] = true
		}
		m.data.hosts.keep(listed)
	}
	m.loop.Send(input)
}

// fleetFollower remembers what of the fleet's knowledge the world has.
type fleetFollower struct {
	revision uint64
	members  uint64
	settled  bool
	verdicts map[Fingerprint]uint32
}

// news returns what has changed since the last call.
func (f *fleetFollower) news(known Fleet) []Input {
	var inputs []Input
	if view := known.Settings(); view != nil && (!f.settled || view.Revision() > f.revision) {
		f.settled = true
		f.revision = view.Revision()
		inputs = append(inputs, SettingsChanged{View: view})
	}
	if members := known.Members(); members.Version != f.members {
		f.members = members.Version
		inputs = append(inputs, MembersChanged{View: members})
	}
	return append(inputs, f.newVerdicts(known.Verdicts())...)
}

func (f *fleetFollower) newVerdicts(verdicts []*rpc.Verdict) []Input {
	var inputs []Input
	current := make(map[Fingerprint]uint32, len(verdicts))
	for _, verdict := range verdicts {
		if len(verdict.Fingerprint) != len(Fingerprint{}) {
			continue
		}
		fingerprint := Fingerprint(verdict.Fingerprint)
		current[fingerprint] = verdict.Crashes
		if f.verdicts[fingerprint] < verdict.Crashes {
			inputs = append(inputs, VerdictHeard{
				Fingerprint: fingerprint,
				Crashes:     verdict.Crashes,
				Expires:     time.UnixMilli(verdict.ExpiresMs),
			})
		}
	}
	f.verdicts = current
	return inputs
}

// execute carries out a command. It must not block, so whatever waits for the
// network runs in a goroutine of its own.
func (m *Manager) execute(output Output) {
	switch command := output.(type) {
	case SendRun:
		go m.data.send(command)
	case SendResume:
		event.RouterAnswerResumed.Log(m.options.Logger, logrus.Fields{"request": command.Request.ID, "peer": command.Agent, "step": fleet.StepAnswer})
		go m.data.resume(command)
	case SendFence:
		event.RouterRequestFenced.Log(m.options.Logger, logrus.Fields{"request": command.Attempt.Request, "peer": command.Agent, "step": fleet.StepSend})
		go m.agents.fence(command)
	case SendCancel:
		go m.agents.cancel(command)
	case SendClaim:
		go m.agents.claim(command)
	case SendOffer:
		go m.agents.offer(command)
	case ReplyGrant:
		m.control.reply(command.Call, command)
	case ReplyFree:
		m.control.reply(command.Call, command)
	case Finish:
		m.finish(command)
	}
}

// finish hands the final result to the caller's side.
func (m *Manager) finish(command Finish) {
	if command.Result.Outcome == fleet.OutcomeUnknown {
		event.RouterOutcomeUnknown.Log(m.options.Logger, logrus.Fields{
			"request": command.Request.ID,
			"account": command.Request.Account,
			"service": command.Request.Service,
			"code":    command.Result.Code,
		})
	}
	command.Request.call.finish(command.Result)
}

// newRequestID returns an id that also tells when the request was made.
func newRequestID() fleet.RequestID { return uuid.Must(uuid.NewV7()) }
