package gate

import (
	"net/http"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/crash"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
	"github.com/bluebellchute/bluebellchute/internal/policy"
)

// Refusal is the answer to a request that was sent to no backend server, or that ended
// without a usable answer.
type Refusal struct {
	Status     int
	Reason     Reason
	RetryAfter time.Duration // 0 for none
	Inputs     Inputs        // zero if the request got no placement decision
	// Conviction is why the request's segment is refused, nil if another reason decided.
	Conviction *crash.Conviction
}

// Inputs are the values behind a placement decision, for the request log.
type Inputs struct {
	Tier      policy.Tier   // of the request
	Backend   string        // the best choice, "" if none was considered
	ShareUsed float64       // by the account, as a multiple of its share
	Ahead     time.Duration // until the engine has read the prompts ahead
	Budget    time.Duration // for Ahead, or for Wait at a plain server
	Shared    bool          // the engine is the preferred one of its shared segments
	Prefill   time.Duration // to read the prompts ahead and its own, at the engine's current speed
	Gap       time.Duration // maximum of Prefill beside streams in progress, 0 for none
	Disrupts  bool          // streams in progress would pause for longer than Gap
	Moved     bool          // another engine was chosen because of streams at the preferred ones
	Plain     bool          // the request is for a plain service
	Wait      time.Duration // expected at the plain server
}

// Reason is why a request was refused. Logs and metrics contain it.
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
	ReasonClosed             Reason = "closed"     // all remaining backend servers are temporarily unavailable
	ReasonEvacuated          Reason = "evacuated"  // all zones with backend servers of the service are evacuated
	ReasonWarming            Reason = "warming-up" // all remaining backend servers have just started and get few requests
	ReasonDeclined           Reason = "declined"
	ReasonBroken             Reason = "broken"
	ReasonBadAnswer          Reason = "bad-answer"
	ReasonTimeout            Reason = "timeout"
	ReasonCallerGone         Reason = "caller-gone"
	ReasonSuspect            Reason = "breaks-backends"
	ReasonSegment            Reason = "segment-breaks-backends"
	ReasonMemory             Reason = "memory"
	ReasonOverloaded         Reason = "router-overloaded"
	ReasonTooLate            Reason = "too-late"
	ReasonDraining           Reason = "draining"          // the process would stop before the request ends
	ReasonOtherVersion       Reason = "other-version"     // no usable backend server has the stream's software version
	ReasonUncertain          Reason = "uncertain-version" // no server of the stream's version is certain not to have been replaced
	ReasonUnknownStream      Reason = "unknown-version"   // no reachable router knows at which version the stream began
)

// Freshness bounds the age of the configuration for some decisions.
type Freshness struct {
	// KeyMaxAge is the maximum age of a configuration for accepting a request with a key.
	KeyMaxAge time.Duration
	// DenialMaxAge is the maximum age of a configuration for denying an unknown route or
	// key permanently.
	DenialMaxAge time.Duration
}

// startRetryAfter is the Retry-After time of a router that has not received enough state
// yet. It is somewhat longer than the first answer of the store takes.
const startRetryAfter = 300 * time.Millisecond

// identify finds the route, the account and the service of a request, or returns a refusal.
// draw is a number in [0, 1) that selects one of the services of a split route.
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
		// The key may have been withdrawn since. A router that is cut off from the store
		// can tell only by the age of its configuration.
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

// refuseUnknown refuses a request whose route or key is unknown. A router that may have
// missed a configuration does not deny it permanently.
func refuseUnknown(status int, reason Reason, age time.Duration, fresh Freshness) *Refusal {
	if age > fresh.DenialMaxAge {
		return &Refusal{Status: http.StatusServiceUnavailable, Reason: ReasonStaleConfiguration, RetryAfter: startRetryAfter}
	}
	return &Refusal{Status: status, Reason: reason}
}

// requestTimeout returns the time within which the request must get its final answer.
func requestTimeout(request *Request) time.Duration {
	timeout := request.Route.Timeout
	if request.Deadline > 0 && (timeout == 0 || request.Deadline < timeout) {
		return request.Deadline
	}
	return timeout
}
