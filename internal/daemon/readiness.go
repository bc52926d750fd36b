package daemon

import "sync"

// startingReason is the reason reported before the first call of SetReady.
const startingReason = "starting"

// drainingReason is the reason reported from SetDraining on.
const drainingReason = "draining"

// Readiness records whether the node should receive work. It is safe for
// concurrent use.
type Readiness struct {
	mu       sync.Mutex
	reason   string
	draining bool
}

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
