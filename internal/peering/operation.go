package peering

import (
	"context"

	"github.com/samber/lo"
	"github.com/twitchtv/twirp"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/crash"
	"github.com/bluebellchute/bluebellchute/internal/gate"
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
	reply.RefusedSegments = lo.Map(status.RefusedSegments, func(refused gate.RefusedSegment, _ int) *peeringpb.RefusedSegment {
		return &peeringpb.RefusedSegment{
			Segment:    uint64(refused.Segment),
			Server:     refused.Servers,
			Ambiguous:  refused.Ambiguous,
			RefusedAge: ageAt(refused.Refused, now),
			Account:    string(refused.Account),
			Id:         refused.ID,
		}
	})
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

// ClearSegment implements peeringpb.Operation.
func (o *operation) ClearSegment(_ context.Context, request *peeringpb.ClearSegmentRequest) (*peeringpb.ClearSegmentReply, error) {
	if request.Operator == "" {
		return nil, twirp.RequiredArgumentError("operator")
	}
	known := o.manager.local.ClearSegment(crash.Segment(request.Segment), request.Operator, request.Reason)
	return &peeringpb.ClearSegmentReply{Known: known}, nil
}
