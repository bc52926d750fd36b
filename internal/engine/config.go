// Package engine is a stand-in for a backend server in tests and measurements.
// As a model engine it uses continuous batching: every step generates one token
// for each running request. As a plain service it works for the time that the
// call requests. It records every run in a ledger, from which tests find out
// whether a request ran twice.
package engine

import "time"

// Defaults of a Config.
const (
	DefaultSlots         = 8
	DefaultStep          = 3 * time.Millisecond
	DefaultPrefillTokens = 512
	DefaultCacheTokens   = 64 << 10
	DefaultMedianTokens  = 200
	DefaultWork          = 5 * time.Millisecond
	DefaultLoadInterval  = 200 * time.Millisecond
	DefaultRetention     = time.Minute
	DefaultDowntime      = time.Second
)

// Config sets the behaviour of an engine. Zero fields take the defaults.
type Config struct {
	Name          string        // service name in answers
	Plain         bool          // a plain service instead of a model engine
	Slots         int           // requests that run at full speed
	Step          time.Duration // time of a step with at most Slots requests
	PrefillTokens int           // prompt tokens of a request prefilled per step
	CacheTokens   int           // size of the prefix cache
	MedianTokens  int           // median of the log-normal answer length
	Work          time.Duration // work time of a plain call without X-Work-Ms
	LoadInterval  time.Duration // between two refreshes of the load report
	Retention     time.Duration // how long a finished stream can be resumed
	PermitCrash   bool          // whether a request with x_crash crashes the engine
	Downtime      time.Duration // after a simulated crash
	// OnCrash replaces the simulated crash; standin-engine exits in it.
	OnCrash func()
}

// withDefaults returns the configuration with defaults for zero fields.
func (c Config) withDefaults() Config {
	setDefault(&c.Name, "model")
	setDefault(&c.Slots, DefaultSlots)
	setDefault(&c.Step, DefaultStep)
	setDefault(&c.PrefillTokens, DefaultPrefillTokens)
	setDefault(&c.CacheTokens, DefaultCacheTokens)
	setDefault(&c.MedianTokens, DefaultMedianTokens)
	setDefault(&c.Work, DefaultWork)
	setDefault(&c.LoadInterval, DefaultLoadInterval)
	setDefault(&c.Retention, DefaultRetention)
	setDefault(&c.Downtime, DefaultDowntime)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
