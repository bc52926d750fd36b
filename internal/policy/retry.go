package policy

import "time"

// When demand jumps, hundreds of callers are refused within a tenth of a second. If they
// all got the same delay, they would retry together and be refused together again.

// minRetryAfter is the shortest retry delay. With a shorter one, callers would retry
// before the load has changed.
const minRetryAfter = 50 * time.Millisecond

// RetryAfter returns the retry delay for a request that was not executed.
func (s *Settings) RetryAfter(target time.Duration) time.Duration {
	return max(scale(target, s.RetryShare), minRetryAfter)
}

// RetryAfterByUsage returns the retry delay for a request whose account would have used
// this fraction of its share with it. Callers retry spread over a period, those of
// accounts that have used least in its first half. jitter is a random number in [0, 1).
func (s *Settings) RetryAfterByUsage(target time.Duration, shareUsed, jitter float64) time.Duration {
	const maxShareUsed = 2 // accounts beyond it are delayed no further
	position := (min(shareUsed, maxShareUsed)/maxShareUsed + jitter) / 2
	factor := 1 + s.RetrySpread*(2*position-1)
	return max(scale(target, s.RetryShare*factor), minRetryAfter)
}
