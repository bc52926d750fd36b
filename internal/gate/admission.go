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

// placement is the backend server chosen for a request, and what the request counts for
// there.
type placement struct {
	backend *knowledge.Backend
	load    BackendLoad
	pending float64 // prompt tokens waiting there, including this request's
	model   bool
	tier    policy.Tier // decides which counters of the account the request is added to
	// fetchSource is the address of an engine that probably caches shared segments which
	// the chosen one lacks, "" for none.
	fetchSource fleet.Address
	// permit limits requests to a cold backend server; nil for a warm one.
	permit *slowstart.Permit
	// plain is set for a plain server under admission control, else nil.
	plain  *plainPlacement
	inputs Inputs
}

// admission decides whether and where a request is sent. Its methods may be called
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
	// certain reports whether a backend server is certain to be the listed process, so that a stream
	// may go on there.
	certain func(backend *knowledge.Backend) bool

	mu           sync.Mutex
	ledger       *shares.Ledger
	serverOffset int
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
		certain:     func(*knowledge.Backend) bool { return true },
		ledger:      shares.NewLedger(),
	}
}

// recordRequest counts the tokens of a request that has arrived.
func (a *admission) recordRequest(request *Request) {
	if !request.countsTowardShare() {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ledger.AddRequested(request.Account.Name, request.Prompt.Cost(), boottime.Now())
}

// withinShare reports whether the request's account has used less than its share, or less than
// the multiple of it up to which its streams go on before new requests, for one that its caller
// takes up: the account has been charged for it already, and is at its limit. Requests
// to plain services use no shared capacity, so it is always true for them.
func (a *admission) withinShare(request *Request, view *knowledge.View) bool {
	if request.Prompt.Tokens == 0 {
		return true
	}
	usage := a.accountUsage(request, view.Index.Configuration.Limits.TokensPerSecond, boottime.Now())
	if request.takenUp() && request.Resumes != "" {
		return usage.ShareUsed <= max(a.policy().ContinueMost, 1)
	}
	return usage.WithinShare()
}

// recordUnrelatedRefusal records that a request was refused for a reason other than the
// capacity of the engines. What accounts are granted meanwhile is no measure of that
// capacity.
func (a *admission) recordUnrelatedRefusal(request *Request) {
	if !request.countsTowardShare() {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ledger.PauseCapacityTest(boottime.Now())
}

// place chooses a backend server for the request and adds the request to its load, or
// returns a refusal. excluded holds the backend servers that have already failed the
// request.
func (a *admission) place(request *Request, view *knowledge.View, excluded map[string]bool) (*placement, *Refusal) {
	now := boottime.Now()
	cold := a.cold.bounds(view, request.Service, now)
	candidates := a.candidates(view, request, excluded, now)
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
		// Another request has just taken the last permit. The next attempt finds this
		// backend server unusable.
		a.release(request, placed, false)
		return a.place(request, view, excluded)
	}
	placed.permit = permit
	return placed, nil
}

// placeAmong chooses one of the usable backend servers for the request and adds the request
// to its load, or returns a refusal. retried reports whether a backend server has already
// failed the request.
func (a *admission) placeAmong(request *Request, view *knowledge.View, usable []*knowledge.Backend, retried bool) (*placement, *Refusal) {
	if request.Prompt.Tokens > 0 {
		return a.placeModel(request, view, usable, retried)
	}
	if a.settings.get().Plain.Admission && !request.Route.Stream {
		return a.placeBounded(request, view, usable)
	}
	return a.placePlain(a.certainFirst(request, view, usable)), nil
}

func (a *admission) refuse(request *Request, reason Reason) *Refusal {
	return &Refusal{Status: http.StatusServiceUnavailable, Reason: reason, RetryAfter: a.retryAfter(request)}
}

// retryAfter returns the Retry-After time for a request that has not run.
func (a *admission) retryAfter(request *Request) time.Duration {
	return a.policy().RetryAfter(request.Route.TargetLatency)
}

func (a *admission) policy() *policy.Settings { return &a.settings.get().Admission }

// placePlain sends a request to a plain service without admission control: it chooses a
// server and adds the request to its load.
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
	a.serverOffset++
	offset := a.serverOffset
	a.mu.Unlock()
	placed := &placement{backend: usable[selection.ChooseServer(servers, offset)], load: BackendLoad{Running: 1}}
	a.loads.begin(placed.backend.Incarnation, placed.load)
	return placed
}

// recordFirstEvent records the first event of a placed request, which came this long after
// the request was sent.
func (a *admission) recordFirstEvent(request *Request, placed *placement, took time.Duration) {
	if !placed.model || placed.load.Pending == 0 {
		return
	}
	if !request.scattered {
		a.segments.recordRead(request.Prompt.SharedSegment(), placed.backend)
	}
	a.loads.removePending(placed.backend.Incarnation, placed.load.Pending)
	if placed.permit == nil { // a cold engine's speed says nothing about the others
		a.loads.recordReading(request.Service, placed.pending, a.paces.recordReading(placed.backend, placed.pending, took))
	}
	placed.load.Pending = 0
}

// recordStreamEnd records the end of a complete stream. late reports whether its first
// event or a later one came later than the route promises. It is not called while the
// router's own CPU may have delayed the answer: such delays say nothing about the engines,
// and lower budgets would refuse requests for which engines have room. For the same reason
// cold engines do not count.
func (a *admission) recordStreamEnd(service fleet.Service, placed *placement, late bool) {
	if placed.permit == nil {
		a.loads.recordLateness(service, late)
		a.paces.recordStreamEnd(placed.backend, late)
	}
}

// release removes a placed request from the loads. ran reports whether it ran; if not, its
// account gets the tokens back.
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

// inputs returns the current state behind decisions on model requests, for the request log.
func (a *admission) inputs(view *knowledge.View) logrus.Fields {
	fields := logrus.Fields{"headroom": a.loads.headrooms()}
	if view.Index != nil {
		fields["capacity"] = view.Index.Configuration.Limits.TokensPerSecond
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	fields["shortage"] = a.ledger.Shortage()
	if share := a.ledger.MaxMinShare(); !math.IsInf(share, 1) {
		fields["share_level"] = share // "level" is the log level
	}
	return fields
}
