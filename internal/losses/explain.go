package losses

import (
	"slices"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/event"
)

// contextWindow is the largest distance in time between a request's records and
// the records of its router's state that are shown with them.
const contextWindow = 2 * time.Second

// stateEvents are the events that show a router's view of the fleet and what it
// can reach.
var stateEvents = []event.Event{
	event.GateConfigurationApplied, event.GateBackendsChanged, event.GateReadinessChanged, event.GateStoreUnreachable, event.GateStoreReachable,
	event.GatePeersReachable, event.GatePeersUnreachable, event.GateStatePulled, event.GateReloaded, event.GateDrainOrdered,
	event.GateBackendRestarted, event.GateEntryInvalid,
}

// RequestTrace collects the records of one request from a log, together with
// the state records of the same routers at about the same time.
type RequestTrace struct {
	request        string
	requestRecords []Record
	contextRecords []Record
}

// NewRequestTrace returns an empty trace of the request.
func NewRequestTrace(request string) *RequestTrace { return &RequestTrace{request: request} }

// Add keeps the record if it belongs to the request or shows a router's state.
func (t *RequestTrace) Add(record Record) error {
	switch {
	case record.Request == t.request:
		t.requestRecords = append(t.requestRecords, record)
	case slices.ContainsFunc(stateEvents, func(e event.Event) bool { return e.Number == record.Event }):
		t.contextRecords = append(t.contextRecords, record)
	}
	return nil
}

// Records returns the records ordered by time. There are none when the request
// is not in the log: under load, routers log only a sample of the requests.
func (t *RequestTrace) Records() []Record {
	records := slices.Clone(t.requestRecords)
	for _, other := range t.contextRecords {
		if slices.ContainsFunc(t.requestRecords, func(own Record) bool {
			return own.Node == other.Node && own.Time.Sub(other.Time).Abs() <= contextWindow
		}) {
			records = append(records, other)
		}
	}
	slices.SortStableFunc(records, func(a, b Record) int { return a.Time.Compare(b.Time) })
	return records
}
