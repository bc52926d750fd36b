package gate

import (
	"math"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
	"github.com/bluebellchute/bluebellchute/internal/policy"
	"github.com/bluebellchute/bluebellchute/internal/selection"
	"github.com/bluebellchute/bluebellchute/internal/shares"
	"github.com/bluebellchute/bluebellchute/internal/slowstart"
)

// placement is a request's place at a backend server.
type placement struct {
	backend *knowledge.Backend
	load    BackendLoad
	pending float64 // prompt tokens waiting there, this request's included
	model   bool
	tier    policy.Tier // which of its account's sums the request counts in
	// fetchSource is the address of an engine that probably keeps shared parts
	// which the chosen one lacks, "" for none.
	fetchSource fleet.Address
	// permit is that of a cold backend server, nil for a warm one.
	permit *slowstart.Permit
	// plain is the place at a plain server under admission control, else nil.
	plain  *plainPlacement
	inputs Inputs
}

// admission decides which request is sent where. Its methods may be called
// concurrently.
type admission struct {
	settings    *currentSettings
	zone        fleet.Zone
	loads       *loads
	peers       Peers
	segments    *segmentIndex
	lists       *listCache
	cold        *coldServers
	unavailable *unavailableServers
	paces       *paces
	plain       *plainServers

	mu     sync.Mutex
	ledger *shares.Ledger
	turn   int
}

func newAdmission(settings *currentSettings, zone fleet.Zone, peers Peers) *admission {
	loads := newLoads()
	return &admission{
		settings:    settings,
		zone:        zone,
		loads:       loads,
		peers:       peers,
		segments:    newSegmentIndex(),
		lists:       newListCache(),
		cold:        newColdServers(settings, peers),
		unavailable: newUnavailableServers(),
		paces:       newPaces(settings, loads, peers),
		plain:       newPlainServers(),
		ledger:      shares.NewLedger(),
	}
}

// recordRequest counts a request that has arrived.
func (a *admission) recordRequest(request *Request) {
	if !request.countsTowardShare() {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ledger.AddRequested(request.Account.Name, request.Prompt.Cost(), boottime.Now())
}

// withinShare tells whether the request's account has had less than its share. Requests
// to plain services are, as they take none of what is shared.
func (a *admission) withinShare(request *Request, view *knowledge.View) bool {
	if request.Prompt.Tokens == 0 {
		return true
	}
	return a.standing(request, view.Index.Configuration.Limits.TokensPerSecond, boottime.Now()).WithinShare()
}

// recordUnrelatedRefusal notes that a request was turned away for another reason than what its
// engines can do: what accounts get meanwhile says nothing of the engines.
func (a *admission) recordUnrelatedRefusal(request *Request) {
	if !request.countsTowardShare() {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ledger.PauseCapacityTest(boottime.Now())
}

// place chooses a backend server for the request and counts the request in
// there, or refuses it. excluded are backend servers that failed it before.
func (a *admission) place(request *Request, view *knowledge.View, excluded map[string]bool) (*placement, *Refusal) {
	now := boottime.Now()
	cold := a.cold.bounds(view, request.Service, now)
	candidates := a.candidates(view, request.Service, excluded, now)
	usable := a.cold.usable(cold, candidates, now)
	if len(usable) == 0 {
		a.recordUnrelatedRefusal(request)
		return nil, a.refuseAll(request, view, len(candidates), now)
	}
	placed, refusal := a.placeAmong(request, view, usable, len(excluded) > 0)
	if refusal != nil {
		return nil, refusal
	}
	permit, ok := a.cold.acquire(cold, placed.backend, now)
	if !ok {
		// Another request has just taken the last permit, so that the next look
		// finds this backend server closed.
		a.release(request, placed, false)
		return a.place(request, view, excluded)
	}
	placed.permit = permit
	return placed, nil
}

// placeAmong chooses one of the usable backend servers for the request and counts
// the request in there, or refuses it. again tells that one has failed it before.
func (a *admission) placeAmong(request *Request, view *knowledge.View, usable []*knowledge.Backend, retried bool) (*placement, *Refusal) {
	if request.Prompt.Tokens > 0 {
		return a.placeModel(request, view, usable, retried)
	}
	if a.settings.get().Plain.Admission && !request.Route.Stream {
		return a.placeBounded(request, view, usable)
	}
	return a.placePlain(usable), nil
}

func (a *admission) refuse(request *Request, reason Reason) *Refusal {
	return &Refusal{Status: http.StatusServiceUnavailable, Reason: reason, RetryAfter: a.retryAfter(request)}
}

// retryAfter returns the time to come back for a request that has not run.
func (a *admission) retryAfter(request *Request) time.Duration {
	return a.policy().RetryAfter(request.Route.TargetLatency)
}

func (a *admission) policy() *policy.Settings { return &a.settings.get().Admission }

func (a *admission) placePlain(usable []*knowledge.Backend) *placement {
	servers := make([]selection.Server, len(usable))
	for i, backend := range usable {
		load, latency := a.loads.get(backend.Incarnation)
		servers[i] = selection.Server{
			Running:  load.Running + a.peers.Load(backend.IncarnationHash).Running,
			Slots:    backend.Slots,
			SameZone: backend.Zone == a.zone,
			Latency:  latency,
		}
	}
	a.mu.Lock()
	a.turn++
	turn := a.turn
	a.mu.Unlock()
	placed := &placement{backend: usable[selection.ChooseServer(servers, turn)], load: BackendLoad{Running: 1}}
	a.loads.begin(placed.backend.Incarnation, placed.load)
	return placed
}

// recordFirstEvent notes the first event of a placed request after the time since it was
// sent.
func (a *admission) recordFirstEvent(request *Request, placed *placement, took time.Duration) {
	if !placed.model || placed.load.Pending == 0 {
		return
	}
	a.segments.recordRead(request.Prompt.SharedSegment(), placed.backend)
	a.loads.removePending(placed.backend.Incarnation, placed.load.Pending)
	if placed.permit == nil { // a cold engine does not tell what engines can do
		a.loads.recordReading(request.Service, placed.pending, a.paces.recordReading(placed.backend, placed.pending, took))
	}
	placed.load.Pending = 0
}

// recordStreamEnd notes the end of a stream that came whole. late tells that its first
// event or a later one missed what the route promises. It is not called while the
// router's own processor may have made the answer late: that says nothing of the
// engines, and lower budgets would refuse requests whose engines have room. For the
// same reason an engine that is still cold does not count.
func (a *admission) recordStreamEnd(service fleet.Service, placed *placement, late bool) {
	if placed.permit == nil {
		a.loads.recordLateness(service, late)
		a.paces.recordStreamEnd(placed.backend, late)
	}
}

// release counts a placed request out. ran is false when it did not run.
func (a *admission) release(request *Request, placed *placement, ran bool) {
	if placed.plain != nil {
		a.releasePlain(placed, ran)
	} else {
		a.loads.end(placed.backend.Incarnation, placed.load)
	}
	placed.permit.Release()
	if ran || !placed.model || request.Account == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if placed.tier == policy.TierIdle {
		a.ledger.RefundIdle(request.Account.Name, request.Prompt.Cost(), boottime.Now())
		return
	}
	a.ledger.RefundGranted(request.Account.Name, request.Prompt.Cost(), boottime.Now())
}

// inputs returns what decisions on requests for models rest on at the moment,
// for the records.
func (a *admission) inputs(view *knowledge.View) logrus.Fields {
	fields := logrus.Fields{"headroom": a.loads.headrooms()}
	if view.Index != nil {
		fields["capacity"] = view.Index.Configuration.Limits.TokensPerSecond
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	fields["shortage"] = a.ledger.Shortage()
	if level := a.ledger.MaxMinShare(); !math.IsInf(level, 1) {
		fields["share_level"] = level // "level" is the record's own
	}
	return fields
}
