package daemon

import "sync"

// reasonStarting is the reason of a node that has not said that it is ready.
const reasonStarting = "starting"

// Readiness tells whether the node should get work. It is safe for concurrent
// use.
type Readiness struct {
	mu       sync.Mutex
	reason   string
	draining bool
}

// NewReadiness returns the state of a node that starts.
func NewReadiness() *Readiness { return &Readiness{reason: reasonStarting} }

// SetReady makes the node ready. A node that drains stays not ready.
func (r *Readiness) SetReady() { r.set("") }

// SetNotReady makes the node not ready and keeps the reason for /readyz.
func (r *Readiness) SetNotReady(reason string) { r.set(reason) }

// SetDraining makes the node not ready for good.
func (r *Readiness) SetDraining() {
	r.set("draining")
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining = true
}

func (r *Readiness) set(reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.draining {
		r.reason = reason
	}
}

// NotReady returns why the node isn't ready, or "" when it is.
func (r *Readiness) NotReady() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reason
}
