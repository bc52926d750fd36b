package agent

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/bluebellchute/bluebellchute/internal/event"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
	"github.com/bluebellchute/bluebellchute/internal/settings"
	"github.com/bluebellchute/bluebellchute/internal/tick"
)

// inputQueue is the number of inputs that wait for the world before a shell
// blocks.
const inputQueue = 4096

// defaultHeartbeat is used until the settings arrive.
const defaultHeartbeat = 400 * time.Millisecond

// Readiness takes the state that /readyz shows.
type Readiness interface {
	SetReady()
	SetNotReady(reason string)
}

// Options are what a Manager needs from outside.
type Options struct {
	Config      *Config
	Incarnation uint64
	Fleet       Fleet
	Clients     clients
	Readiness   Readiness
	Registerer  prometheus.Registerer
	Logger      logrus.FieldLogger
	CountGrants func(bytes int) // counts grants on the data path as control traffic; may be nil
	Listener    net.Listener    // of the data port, for tests; nil opens the configured one
}

// Manager runs an agent: its world and the shells around it.
type Manager struct {
	options  Options
	loop     *tick.Loop[Input, Command]
	calls    *calls
	answers  *answers
	executor *executor
	runner   *runner
	backend  *backend
	data     *dataServer
	control  *controlServer
	peers    *peerCaller
	metrics  *metrics
	policy   atomic.Pointer[settings.ServicePolicy]
	load     *atomic.Pointer[Load] // of this agent, as of the last step

	backendUp atomic.Bool
	stopCall  context.CancelFunc
}

// NewManager returns an agent that has not begun to work.
func NewManager(options Options) *Manager {
	config := options.Config
	m := &Manager{
		options: options,
		calls:   newCalls(),
		answers: newAnswers(),
		backend: newBackend(config.Backend.Address),
		metrics: newMetrics(options.Registerer),
		load:    new(atomic.Pointer[Load]),
	}
	world := NewWorld(Identity{
		Control:     config.Node.Control,
		Data:        config.Node.Data,
		Service:     config.Backend.Service,
		Incarnation: options.Incarnation,
	}, config.Limits.limits(), time.Now())
	carriers := newCarriers(options.CountGrants)
	m.executor = newExecutor(m.calls, m.answers, options.Logger, m.metrics)
	m.executor.carriers = carriers
	m.loop = tick.NewLoop[Input, Command](measured{world: world, metrics: m.metrics, load: m.load}, inputQueue, m.executor.execute)
	m.runner = newRunner(m.backend, m.loop, m.servicePolicy)
	m.data = newDataServer(m.loop, m.calls, m.answers, carriers, m.heartbeat, config.Control.Token, config.Limits.RequestBytes)
	m.control = &controlServer{world: m.loop, calls: m.calls, fleet: options.Fleet}
	ctx, cancel := context.WithCancel(context.Background())
	m.stopCall = cancel
	m.peers = newPeerCaller(ctx, options, m.loop)
	m.executor.runner = m.runner
	m.executor.peers = m.peers
	m.executor.leaving = options.Fleet.SetLeaving
	return m
}

// Control returns the twirp service of the agent.
func (m *Manager) Control() rpc.Agent { return m.control }

// Run works until the context ends. It implements daemon.Service.
func (m *Manager) Run(ctx context.Context) error {
	listener, err := m.listen()
	if err != nil {
		return err
	}
	watch := &health{backend: m.backend, world: m.loop, changed: m.backendChanged}
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error { return ignoreEnd(m.loop.Run(groupCtx)) })
	group.Go(func() error { return watch.run(groupCtx) })
	group.Go(func() error { return m.follow(groupCtx) })
	group.Go(func() error { return m.data.serve(listener) })
	group.Go(func() error {
		<-groupCtx.Done()
		m.stopCall()
		return errors.Wrap(listener.Close(), "data port")
	})
	err = group.Wait()
	m.runner.stop()
	m.peers.wait()
	return err
}

func (m *Manager) listen() (net.Listener, error) {
	if m.options.Listener != nil {
		return m.options.Listener, nil
	}
	listener, err := net.Listen("tcp", string(m.options.Config.Node.Data))
	return listener, errors.Wrap(err, "data port")
}

// Drain takes no new work and returns when every answer has been fetched, or
// the context ends. It implements daemon.Service.
func (m *Manager) Drain(ctx context.Context) error {
	m.loop.Send(Stopping{})
	select {
	case <-m.executor.idle:
		return nil
	case <-m.loop.Done():
		return errStopped
	case <-ctx.Done():
		return errors.WithStack(ctx.Err())
	}
}

// servicePolicy is the policy in force, for runs.
func (m *Manager) servicePolicy() settings.ServicePolicy {
	if policy := m.policy.Load(); policy != nil {
		return *policy
	}
	return settings.ServicePolicy{}
}

func (m *Manager) heartbeat() time.Duration {
	if interval := m.servicePolicy().HeartbeatInterval; interval > 0 {
		return interval
	}
	return defaultHeartbeat
}

// backendChanged takes the result of the health checks.
func (m *Manager) backendChanged(up bool) {
	address := logrus.Fields{"peer": m.backend.address}
	if up {
		event.BackendUp.Log(m.options.Logger, address)
	} else {
		event.BackendDown.Log(m.options.Logger, address)
	}
	m.backendUp.Store(up)
	m.showReadiness()
}

// showReadiness sets what /readyz tells: an agent is of use once it has the
// settings of its service and while its backend server answers.
func (m *Manager) showReadiness() {
	switch {
	case m.policy.Load() == nil:
		m.options.Readiness.SetNotReady("the settings of the service are not known")
	case !m.backendUp.Load():
		m.options.Readiness.SetNotReady("the backend server does not answer")
	default:
		m.options.Readiness.SetReady()
	}
}

// FillStatus adds the load to a description of the node. A request that waits
// here was sent on a grant ahead of a free slot.
func (m *Manager) FillStatus(status *rpc.StatusReply) {
	load := m.load.Load()
	if load == nil {
		return
	}
	status.Slots = uint32(load.Slots)
	status.Running = uint32(load.Running)
	status.Waiting = uint32(load.Waiting)
}

// ignoreEnd drops the error of a context that ended.
func ignoreEnd(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// measured observes the world as it is stepped.
type measured struct {
	world   *World
	metrics *metrics
	load    *atomic.Pointer[Load]
}

// Step implements tick.World.
func (m measured) Step(now time.Time, inputs []Input) ([]Command, time.Time) {
	began := time.Now()
	commands, next := m.world.Step(now, inputs)
	m.metrics.stepTime.Observe(time.Since(began).Seconds())
	m.metrics.observe(m.world)
	current := Load{Slots: m.world.slots(), Running: m.world.running, Waiting: len(m.world.queue)}
	if last := m.load.Load(); last == nil || *last != current {
		m.load.Store(&current)
	}
	return commands, next
}
