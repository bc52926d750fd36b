package losses

import (
	"slices"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/event"
)

// around is how far from a request's own records those of what its router
// believed still help.
const around = 2 * time.Second

// beliefs are the records of what a router believes or can reach.
var beliefs = []event.Event{
	event.GateConfigurationApplied, event.GateBackendsChanged, event.GateReadinessChanged, event.GateStoreUnreachable, event.GateStoreReachable,
	event.GatePeersReachable, event.GatePeersUnreachable, event.GateStatePulled, event.GateReloaded, event.GateDrainOrdered,
	event.GateBackendRestarted, event.GateEntryInvalid,
}

// RequestTrace picks one request's records out of a log, with those around them that
// tell what its routers believed.
type RequestTrace struct {
	request string
	own     []Record
	others  []Record
}

// NewRequestTrace returns a path that has no records yet.
func NewRequestTrace(request string) *RequestTrace { return &RequestTrace{request: request} }

// Add keeps a record that may matter.
func (p *RequestTrace) Add(record Record) error {
	switch {
	case record.Request == p.request:
		p.own = append(p.own, record)
	case slices.ContainsFunc(beliefs, func(e event.Event) bool { return e.Number == record.Event }):
		p.others = append(p.others, record)
	}
	return nil
}

// Records returns the records in the order of their times. There are none when
// the request is not in the log: records of single requests are a sample when
// there are many.
func (p *RequestTrace) Records() []Record {
	records := slices.Clone(p.own)
	for _, other := range p.others {
		if slices.ContainsFunc(p.own, func(own Record) bool {
			return own.Node == other.Node && own.Time.Sub(other.Time).Abs() <= around
		}) {
			records = append(records, other)
		}
	}
	slices.SortStableFunc(records, func(a, b Record) int { return a.Time.Compare(b.Time) })
	return records
}
