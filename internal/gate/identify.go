package gate

import (
	"net/http"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
	"github.com/bluebellchute/bluebellchute/internal/policy"
)

// Refusal is the answer to a request that was sent to no backend server, or
// that ended without a usable answer.
type Refusal struct {
	Status     int
	Reason     Reason
	RetryAfter time.Duration // 0 for none
	Inputs     Inputs        // zero where none decided
}

// Inputs are what decided on the place of a request, for the records.
type Inputs struct {
	Tier      policy.Tier   // by what right it took or was refused capacity
	Backend   string        // the best choice, "" if none was looked at
	ShareUsed float64       // of the account, in parts of its share
	Ahead     time.Duration // until the engine has read the prompts ahead
	Budget    time.Duration // for that, or for the wait at a plain server
	Shared    bool          // the engine is the one that its shared parts prefer
	Prefill   time.Duration // to read the prompts ahead and its own, at the speed of the moment
	Gap       time.Duration // for that beside streams in progress, 0 for no bound
	Disrupts  bool          // streams in progress would pause for longer
	Moved     bool          // another engine was chosen for the sake of streams at its homes
	Plain     bool          // the request is for a plain service
	Wait      time.Duration // expected at the plain server
}

// Reason names why a request was refused. Logs and metrics carry it.
type Reason string

// The reasons of refusals.
const (
	ReasonMalformed          Reason = "malformed"
	ReasonBodyTooLarge       Reason = "body-too-large"
	ReasonBodyTimeout        Reason = "body-timeout"
	ReasonNoKnowledge        Reason = "no-knowledge"
	ReasonStaleConfiguration Reason = "stale-configuration"
	ReasonNoRoute            Reason = "no-route"
	ReasonUnknownKey         Reason = "unknown-key"
	ReasonBusy               Reason = "busy"
	ReasonOverShare          Reason = "over-share"
	ReasonDisruptive         Reason = "disruptive" // streams in progress would pause for too long
	ReasonNoBackend          Reason = "no-backend"
	ReasonClosed             Reason = "closed"     // all that are left want nothing for a time
	ReasonEvacuated          Reason = "evacuated"  // all zones with backend servers of the service are
	ReasonWarming            Reason = "warming-up" // all that are left have just started and get little
	ReasonDeclined           Reason = "declined"
	ReasonBroken             Reason = "broken"
	ReasonBadAnswer          Reason = "bad-answer"
	ReasonTimeout            Reason = "timeout"
	ReasonCallerGone         Reason = "caller-gone"
	ReasonSuspect            Reason = "breaks-backends"
	ReasonMemory             Reason = "memory"
	ReasonOverloaded         Reason = "router-overloaded"
	ReasonTooLate            Reason = "too-late"
	ReasonDraining           Reason = "draining" // the process ends before the request might
)

// Freshness bounds how old knowledge may be.
type Freshness struct {
	// KeyMaxAge is the greatest age of a configuration by which a request with a
	// key is taken.
	KeyMaxAge time.Duration
	// DenialMaxAge is the greatest age of a configuration by which an unknown route
	// or key is told so for good.
	DenialMaxAge time.Duration
}

// startRetryAfter is the time to come back that a router tells while it does not
// know enough: as long as a first answer of the store takes, and some more.
const startRetryAfter = 300 * time.Millisecond

// identify finds the route, the account and the service of a request, or the
// refusal. point in [0, 1) chooses among the services of a split route.
func identify(request *Request, view *knowledge.View, fresh Freshness, draw float64) *Refusal {
	if !view.Ready() {
		return &Refusal{Status: http.StatusServiceUnavailable, Reason: ReasonNoKnowledge, RetryAfter: startRetryAfter}
	}
	age := boottime.Now().Sub(view.ConfigurationConfirmedAt)
	request.Route = view.Index.Route(request.Host, request.Path)
	if request.Route == nil {
		return refuseUnknown(http.StatusNotFound, ReasonNoRoute, age, fresh)
	}
	if view.Index.Configuration.KeysRequired && !request.Route.Public {
		request.Account = view.Index.Account(request.Key)
		if request.Account == nil {
			return refuseUnknown(http.StatusUnauthorized, ReasonUnknownKey, age, fresh)
		}
		// The key may have been withdrawn since. Nothing shows that to a
		// router that the store does not reach but the age of what it knows.
		if age > fresh.KeyMaxAge {
			return &Refusal{Status: http.StatusServiceUnavailable, Reason: ReasonStaleConfiguration, RetryAfter: startRetryAfter}
		}
	}
	service, ok := request.Route.Destination(draw)
	if !ok {
		return &Refusal{Status: http.StatusServiceUnavailable, Reason: ReasonNoBackend, RetryAfter: startRetryAfter}
	}
	request.Service = service
	request.Timeout = requestTimeout(request)
	return nil
}

// refuseUnknown returns the refusal of a request whose route or key is unknown. A
// router that may have missed a configuration does not deny for good.
func refuseUnknown(status int, reason Reason, age time.Duration, fresh Freshness) *Refusal {
	if age > fresh.DenialMaxAge {
		return &Refusal{Status: http.StatusServiceUnavailable, Reason: ReasonStaleConfiguration, RetryAfter: startRetryAfter}
	}
	return &Refusal{Status: status, Reason: reason}
}

// requestTimeout returns the time within which the request gets its final answer.
func requestTimeout(request *Request) time.Duration {
	timeout := request.Route.Timeout
	if request.Deadline > 0 && (timeout == 0 || request.Deadline < timeout) {
		return request.Deadline
	}
	return timeout
}
