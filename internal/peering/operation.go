package peering

import (
	"context"

	"github.com/twitchtv/twirp"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/peering/peeringpb"
)

// operation serves calls from operators.
type operation struct{ manager *Manager }

// Status implements peeringpb.Operation.
func (o *operation) Status(context.Context, *peeringpb.StatusRequest) (*peeringpb.StatusReply, error) {
	view := o.manager.options.State.View()
	now := boottime.Now()
	status := o.manager.local.Status()
	reply := &peeringpb.StatusReply{
		Vm:        status.VM,
		Zone:      string(status.Zone),
		Version:   view.Version(),
		ConfigAge: ageAt(view.ConfigurationConfirmedAt, now),
		Backends:  uint32(len(view.Backends)),
		ListAge:   ageAt(view.ListConfirmedAt, now),
		NotReady:  status.NotReady,
		Running:   uint32(status.Running),
		Follows:   o.manager.WatchesStore(),
		Uses:      accountUsageReport(o.manager.local.Usages()),
		Evacuated: zoneNames(view.Evacuations.Zones),
		Engines:   enginePaceReport(status.Engines),
	}
	return reply, nil
}

// Drain implements peeringpb.Operation.
func (o *operation) Drain(_ context.Context, request *peeringpb.DrainRequest) (*peeringpb.DrainReply, error) {
	if request.Operator == "" {
		return nil, twirp.RequiredArgumentError("operator")
	}
	running := o.manager.local.SetDrained(!request.Undo, request.Operator, request.Reason)
	return &peeringpb.DrainReply{Running: uint32(running)}, nil
}
