package wiring

import (
	"context"

	"golang.org/x/sync/errgroup"

	"github.com/bluebellchute/bluebellchute/internal/daemon"
)

// service runs a role together with the node's view of the fleet.
type service struct {
	role      daemon.Service
	fleetView fleetView
}

// Run implements daemon.Service. The view of the fleet ends after the role: until
// its last request is done, the node has to receive updates from its peers and
// stay in their lists.
func (s service) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	spreadCtx, stopSpread := context.WithCancel(context.WithoutCancel(ctx))
	defer stopSpread()
	group.Go(func() error { return s.fleetView.Run(spreadCtx) })
	group.Go(func() error {
		defer stopSpread()
		return s.role.Run(ctx)
	})
	return group.Wait()
}

// Drain implements daemon.Service.
func (s service) Drain(ctx context.Context) error { return s.role.Drain(ctx) }
