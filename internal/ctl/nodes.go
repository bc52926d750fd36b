package ctl

import (
	"context"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"github.com/bluebellchute/bluebellchute/internal/control"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/membership"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
)

// maxStatusCalls is the maximum number of nodes queried concurrently.
const maxStatusCalls = 32

// controlNodes calls nodes over the control protocol.
type controlNodes struct{ pool *control.Pool }

func newControlNodes(token string) Nodes {
	return controlNodes{pool: control.NewPool(token, control.NewMetrics(prometheus.NewRegistry()))}
}

// Status implements Nodes. The request has no envelope, since bluebellctl isn't a
// member of the fleet.
func (n controlNodes) Status(ctx context.Context, address fleet.Address) (*rpc.StatusReply, error) {
	return n.pool.Peer(address).Status(ctx, &rpc.StatusRequest{})
}

// Drain implements Nodes.
func (n controlNodes) Drain(ctx context.Context, address fleet.Address, request *rpc.DrainRequest) (*rpc.DrainReply, error) {
	return n.pool.Agent(address).Drain(ctx, request)
}

// nodeReport is one node with the status that it reports.
type nodeReport struct {
	Control  fleet.Address `json:"control"`
	VM       string        `json:"vm,omitempty"`
	Role     fleet.Role    `json:"role,omitempty"`
	Zone     fleet.Zone    `json:"zone,omitempty"`
	Service  fleet.Service `json:"service,omitempty"`
	Revision uint64        `json:"revision"`
	Leaving  bool          `json:"leaving"`
	Slots    uint32        `json:"slots"`
	Running  uint32        `json:"running"`
	Waiting  uint32        `json:"waiting"`
	Error    string        `json:"error,omitempty"` // why the node doesn't reply
}

// listNodes returns the named nodes, or else those that have an object on the
// platform. Operators name the nodes during an outage of the platform.
func (s *session) listNodes(ctx context.Context, named []string) ([]nodeReport, error) {
	var reports []nodeReport
	for _, address := range named {
		reports = append(reports, nodeReport{Control: fleet.Address(address)})
	}
	if len(named) > 0 {
		return reports, nil
	}
	api, err := s.platform()
	if err != nil {
		return nil, err
	}
	directory := membership.NewDirectory()
	if _, err := directory.Load(ctx, api); err != nil {
		return nil, err
	}
	records, _ := directory.Records()
	for _, record := range records {
		if record.Deleted {
			continue
		}
		reports = append(reports, nodeReport{
			Control: record.Control, VM: record.VM, Role: record.Role, Zone: record.Zone, Service: record.Service,
			Leaving: record.Leaving(),
		})
	}
	return reports, nil
}

// queryNodes returns the reports completed with the status that each node returns.
func queryNodes(ctx context.Context, nodes Nodes, reports []nodeReport) []nodeReport {
	answered := make([]nodeReport, len(reports))
	var group errgroup.Group
	group.SetLimit(maxStatusCalls)
	var mu sync.Mutex
	for i, report := range reports {
		group.Go(func() error {
			reply, err := nodes.Status(ctx, report.Control)
			mu.Lock()
			defer mu.Unlock()
			answered[i] = withStatus(report, reply, err)
			return nil
		})
	}
	_ = group.Wait() // the functions return no error
	return answered
}

func withStatus(report nodeReport, reply *rpc.StatusReply, err error) nodeReport {
	if err != nil {
		report.Error = err.Error()
		return report
	}
	report.Error = ""
	report.VM = reply.GetVm()
	report.Role = fleet.Role(reply.GetRole())
	report.Zone = fleet.Zone(reply.GetAvailabilityZone())
	report.Service = fleet.Service(reply.GetService())
	report.Revision = reply.GetEnvelope().GetSettingsRevision()
	report.Leaving = report.Leaving || reply.GetEnvelope().GetLeaving()
	report.Slots = reply.GetSlots()
	report.Running = reply.GetRunning()
	report.Waiting = reply.GetWaiting()
	return report
}
