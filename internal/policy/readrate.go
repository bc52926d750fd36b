package policy

import "time"

const (
	// rateDecay is the weight of past observations at each new one. The estimate covers
	// about a hundred observations, a second or two under load.
	rateDecay = 0.99
	// ratePriorSeconds is the weight of the assumed rate, in seconds of observation.
	ratePriorSeconds = 0.5
)

// ReadRate estimates how many prompt tokens an engine of a service reads per second while
// it generates tokens.
type ReadRate struct {
	tokens  float64 // decayed sum of prompt tokens read until first events
	seconds float64 // decayed sum of the times to first event
}

// Observe records the first event of a request. pending is the number of prompt tokens
// that were waiting when it was sent, including its own.
func (r *ReadRate) Observe(pending float64, elapsed time.Duration) {
	r.tokens = r.tokens*rateDecay + pending
	r.seconds = r.seconds*rateDecay + elapsed.Seconds()
}

// Estimate returns the estimated rate, which starts at the assumed one.
func (r *ReadRate) Estimate(assumed float64) float64 {
	return (r.tokens + assumed*ratePriorSeconds) / (r.seconds + ratePriorSeconds)
}

// Observed returns the observed rate without the assumed one, and the decayed sum of the
// observed seconds. The rate is 0 if nothing was observed.
func (r *ReadRate) Observed() (rate, seconds float64) {
	if r.seconds <= 0 {
		return 0, 0
	}
	return r.tokens / r.seconds, r.seconds
}
