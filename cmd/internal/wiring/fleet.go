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

// fleetView is the node's view of the fleet: its members, settings and verdicts.
// It implements the Fleet interfaces of both roles.
type fleetView struct {
	*spread.Manager
	replica *settings.Replica
	load    *loadReporter
}

// loadReporter adds the role's load to the node's status. The role is created
// after the component that serves status calls, so that it is set later.
type loadReporter struct {
	fill atomic.Pointer[func(*rpc.StatusReply)]
}

func (l *loadReporter) set(fill func(*rpc.StatusReply)) { l.fill.Store(&fill) }

func (l *loadReporter) addTo(status *rpc.StatusReply) *rpc.StatusReply {
	if fill := l.fill.Load(); fill != nil {
		(*fill)(status)
	}
	return status
}

var (
	_ agent.Fleet  = fleetView{}
	_ router.Fleet = fleetView{}
)

// Settings returns the effective settings, or nil until the node has joined.
// A node that starts during an outage of the platform may hold an outdated
// revision, with which it would serve client accounts that have been disabled.
// Joining waits until a peer or the platform has confirmed the revision.
func (v fleetView) Settings() settings.View {
	select {
	case <-v.Joined():
		return v.replica.View()
	default:
		return nil
	}
}

// provideFleetView provides the node's view of the fleet and registers its Peer
// service.
func provideFleetView(injector do.Injector, role fleet.Role, service fleet.Service) {
	do.Provide(injector, func(injector do.Injector) (fleetView, error) {
		common := do.MustInvoke[*daemon.Common](injector)
		incarnation := uint64(do.MustInvoke[daemon.Incarnation](injector))
		self := common.Node.Self(role, service)
		self.Incarnation = incarnation
		replica := settings.NewReplica()
		load := new(loadReporter)
		manager := spread.NewManager(spread.Options{
			Config:     spread.Config{Self: self, Seeds: common.Peers.Control, Seed: incarnation},
			Settings:   replica,
			Platform:   platform.NewClient(common.Platform.Address, platform.ClientOptions{}),
			Peers:      do.MustInvoke[*control.Pool](injector),
			Status:     func() *rpc.StatusReply { return load.addTo(statusOf(self)) },
			Registerer: do.MustInvoke[prometheus.Registerer](injector),
			Logger:     do.MustInvoke[logrus.FieldLogger](injector),
		})
		do.MustInvoke[*control.Server](injector).Register(rpc.NewPeerServer(manager))
		return fleetView{Manager: manager, replica: replica, load: load}, nil
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
