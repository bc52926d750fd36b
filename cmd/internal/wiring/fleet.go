package wiring

import (
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/do/v2"
	"github.com/sirupsen/logrus"

	"github.com/bluebellchute/bluebellchute/internal/agent"
	"github.com/bluebellchute/bluebellchute/internal/control"
	"github.com/bluebellchute/bluebellchute/internal/daemon"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/platform"
	"github.com/bluebellchute/bluebellchute/internal/router"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
	"github.com/bluebellchute/bluebellchute/internal/settings"
	"github.com/bluebellchute/bluebellchute/internal/spread"
)

// knowledge is the shared knowledge of the fleet as the roles need it.
type knowledge struct {
	*spread.Manager
	replica *settings.Replica
	load    *loadSource
}

// loadSource adds the role's load to the node's status. The role begins after
// the node can be asked for its status.
type loadSource struct {
	fill atomic.Pointer[func(*rpc.StatusReply)]
}

func (l *loadSource) set(fill func(*rpc.StatusReply)) { l.fill.Store(&fill) }

func (l *loadSource) add(status *rpc.StatusReply) *rpc.StatusReply {
	if fill := l.fill.Load(); fill != nil {
		(*fill)(status)
	}
	return status
}

var (
	_ agent.Fleet  = knowledge{}
	_ router.Fleet = knowledge{}
)

// Settings returns the settings in force, or nil until the node has joined.
// A node that starts in an outage of the platform may hold a revision that the
// fleet has left behind: it would serve client accounts that are disabled.
// Joining waits until a peer or the platform has confirmed the revision.
func (k knowledge) Settings() settings.View {
	select {
	case <-k.Joined():
		return k.replica.View()
	default:
		return nil
	}
}

// provideKnowledge provides what the node knows of the fleet and registers its
// Peer service.
func provideKnowledge(injector do.Injector, role fleet.Role, service fleet.Service) {
	do.Provide(injector, func(injector do.Injector) (knowledge, error) {
		common := do.MustInvoke[*daemon.Common](injector)
		incarnation := uint64(do.MustInvoke[daemon.Incarnation](injector))
		self := common.Node.Self(role, service)
		self.Incarnation = incarnation
		replica := settings.NewReplica()
		load := new(loadSource)
		manager := spread.NewManager(spread.Options{
			Config:     spread.Config{Self: self, Seeds: common.Peers.Control, Seed: incarnation},
			Settings:   replica,
			Platform:   platform.NewClient(common.Platform.Address, platform.ClientOptions{}),
			Peers:      do.MustInvoke[*control.Pool](injector),
			Status:     func() *rpc.StatusReply { return load.add(statusOf(self)) },
			Registerer: do.MustInvoke[prometheus.Registerer](injector),
			Logger:     do.MustInvoke[logrus.FieldLogger](injector),
		})
		do.MustInvoke[*control.Server](injector).Register(rpc.NewPeerServer(manager))
		return knowledge{Manager: manager, replica: replica, load: load}, nil
	})
}

func statusOf(self fleet.Node) *rpc.StatusReply {
	return &rpc.StatusReply{
		Role:             string(self.Role),
		Vm:               self.VM,
		AvailabilityZone: string(self.Zone),
		Service:          string(self.Service),
		Version:          daemon.Version(),
	}
}
