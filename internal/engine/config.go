// Package engine is a stand-in for a backend server in tests and measurements.
// As a model engine it batches continuously: every step yields one token for
// each running request. As a plain service it works for a time that the call
// names. It keeps a ledger of every run, so that a test can tell whether a
// request ran twice.
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

// Config says how a stand-in behaves. Zero fields take the defaults.
type Config struct {
	Name          string        // service name in answers
	Plain         bool          // a plain service instead of a model engine
	Slots         int           // requests that run at full speed
	Step          time.Duration // time of a step with at most Slots requests
	PrefillTokens int           // prompt tokens that one step takes in for a request
	CacheTokens   int           // size of the prefix cache
	MedianTokens  int           // of the log-normal answer length
	Work          time.Duration // of a plain call that names none
	LoadInterval  time.Duration // between two refreshes of the load report
	Retention     time.Duration // how long a finished stream can be resumed
	PermitCrash   bool          // a request marked with x_crash brings the engine down
	Downtime      time.Duration // after a crash when OnCrash is nil
	// OnCrash is called in place of the simulated downtime; standin-engine
	// ends its process with it.
	OnCrash func()
}

// withDefaults fills the zero fields.
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
