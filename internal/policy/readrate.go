package policy

import "time"

const (
	// rateMemory is the weight of the past at each observation of an engine.
	// Some hundred observations, a second or two under load, are remembered.
	rateMemory = 0.99
	// ratePrior is the weight in seconds of the figure that is assumed before
	// anything was observed.
	ratePrior = 0.5
)

// ReadRate learns how many prompt tokens an engine of a service reads in a
// second beside the tokens that it generates.
type ReadRate struct {
	tokens  float64 // decayed sum of prompt tokens of requests that have begun
	seconds float64 // decayed sum of the time that they took to begin
}

// Observe takes the first event of a request: pending prompt tokens, its own
// included, were waiting when it was sent.
func (r *ReadRate) Observe(pending float64, took time.Duration) {
	r.tokens = r.tokens*rateMemory + pending
	r.seconds = r.seconds*rateMemory + took.Seconds()
}

// Estimate returns what was learned; assumed is the figure before any observation.
func (r *ReadRate) Estimate(assumed float64) float64 {
	return (r.tokens + assumed*ratePrior) / (r.seconds + ratePrior)
}

// Observed returns the rate that was seen, without any assumption, and the decayed sum
// of the seconds that it was seen for. The rate is 0 if nothing was seen.
func (r *ReadRate) Observed() (rate, seconds float64) {
	if r.seconds <= 0 {
		return 0, 0
	}
	return r.tokens / r.seconds, r.seconds
}
