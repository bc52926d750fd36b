package wiring

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/do/v2"
	"github.com/sirupsen/logrus"

	"github.com/bluebellchute/bluebellchute/internal/control"
	"github.com/bluebellchute/bluebellchute/internal/daemon"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/router"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
)

// Router provides the components of a router. The injector holds its
// *router.Config.
func Router(injector do.Injector) {
	provideFleetView(injector, fleet.RoleRouter, "")
	do.Provide(injector, newRouter)
}

func newRouter(injector do.Injector) (daemon.Service, error) {
	config := do.MustInvoke[*router.Config](injector)
	view := do.MustInvoke[fleetView](injector)
	manager := router.NewManager(router.Options{
		Self:        config.Node.Self(fleet.RoleRouter, ""),
		Incarnation: uint64(do.MustInvoke[daemon.Incarnation](injector)),
		Callers:     config.Callers,
		Token:       config.Control.Token,
		Fleet:       view,
		Agents:      do.MustInvoke[*control.Pool](injector),
		Readiness:   do.MustInvoke[*daemon.Readiness](injector),
		Registerer:  do.MustInvoke[prometheus.Registerer](injector),
		Logger:      do.MustInvoke[logrus.FieldLogger](injector),
		CountGrants: do.MustInvoke[*control.Metrics](injector).CountGrantsReceived,
	})
	view.load.set(manager.FillStatus)
	do.MustInvoke[*control.Server](injector).Register(rpc.NewRouterServer(manager.Server(), control.WithoutSender()))
	return service{role: manager, fleetView: view}, nil
}
