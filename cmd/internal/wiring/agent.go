package wiring

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/do/v2"
	"github.com/sirupsen/logrus"

	"github.com/bluebellchute/bluebellchute/internal/agent"
	"github.com/bluebellchute/bluebellchute/internal/control"
	"github.com/bluebellchute/bluebellchute/internal/daemon"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
)

// Agent provides the components of an agent. The injector holds its *agent.Config.
func Agent(injector do.Injector) {
	provideFleetView(injector, fleet.RoleAgent, do.MustInvoke[*agent.Config](injector).Backend.Service)
	do.Provide(injector, newAgent)
}

func newAgent(injector do.Injector) (daemon.Service, error) {
	view := do.MustInvoke[fleetView](injector)
	manager := agent.NewManager(agent.Options{
		Config:      do.MustInvoke[*agent.Config](injector),
		Incarnation: uint64(do.MustInvoke[daemon.Incarnation](injector)),
		Fleet:       view,
		Clients:     do.MustInvoke[*control.Pool](injector),
		Readiness:   do.MustInvoke[*daemon.Readiness](injector),
		Registerer:  do.MustInvoke[prometheus.Registerer](injector),
		Logger:      do.MustInvoke[logrus.FieldLogger](injector),
		CountGrants: do.MustInvoke[*control.Metrics](injector).CountGrantsSent,
	})
	view.load.set(manager.FillStatus)
	do.MustInvoke[*control.Server](injector).Register(rpc.NewAgentServer(manager.Control(), control.WithoutSender()))
	return service{role: manager, fleetView: view}, nil
}
