package daemon

import (
	"sync"
	"time"
)

// startingReason is the reason reported before the first call of SetReady.
const startingReason = "starting"

// drainingReason is the reason reported from SetDraining on.
const drainingReason = "draining"

// Readiness records whether the node should receive work. It is safe for
// concurrent use.
type Readiness struct {
	mu        sync.Mutex
	reason    string
	draining  bool
	lastCheck time.Time   // zero before the first
	refusals  []time.Time // the first checks that were answered while draining
}

const (
	// checksToNotice is the number of failed checks after which the load balancer sends no
	// more callers.
	checksToNotice = 2
	// maxCheckInterval is the time after a check in which another one is expected.
	maxCheckInterval = 5 * time.Second
)

// NewReadiness returns the state of a node that is starting.
func NewReadiness() *Readiness { return &Readiness{reason: startingReason} }

// SetReady marks the node ready, unless it is draining.
func (r *Readiness) SetReady() { r.set("") }

// SetNotReady marks the node not ready, with the reason that /readyz reports.
func (r *Readiness) SetNotReady(reason string) { r.set(reason) }

// SetDraining marks the node not ready permanently.
func (r *Readiness) SetDraining() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reason = drainingReason
	r.draining = true
}

func (r *Readiness) set(reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.draining {
		r.reason = reason
	}
}

// NotReady returns the reason why the node isn't ready, or "" if it is.
func (r *Readiness) NotReady() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reason
}

// Check is NotReady for the load balancer, whose checks it records.
func (r *Readiness) Check() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastCheck = time.Now()
	if r.draining && len(r.refusals) < checksToNotice {
		r.refusals = append(r.refusals, r.lastCheck)
	}
	return r.reason
}

// Noticed reports whether the load balancer knows that the node drains: it was told
// checksToNotice times, the last time at least settle ago. Without a load balancer that
// checks the node nobody has to notice.
func (r *Readiness) Noticed(settle time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lastCheck.IsZero() || time.Since(r.lastCheck) > maxCheckInterval {
		return true
	}
	return len(r.refusals) == checksToNotice && time.Since(r.refusals[checksToNotice-1]) >= settle
}
