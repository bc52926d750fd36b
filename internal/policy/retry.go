package policy

import "time"

// The load that this file answers: demand jumps, and hundreds of callers are refused in
// the same tenth of a second. Told the same time, they come back together and are refused
// together once more.

// leastRetry is the shortest time to come back: below it, callers would come
// back before anything has changed.
const leastRetry = 50 * time.Millisecond

// RetryAfter returns the time to come back for a request that has not run.
func (s *Settings) RetryAfter(target time.Duration) time.Duration {
	return max(share(target, s.RetryShare), leastRetry)
}

// RetryAfterByUsage returns the time to come back for a request whose account will have got so
// much of its share. Callers come back spread over a span of time, those of accounts that
// had least in its first half. draw is a random number in [0, 1).
func (s *Settings) RetryAfterByUsage(target time.Duration, got, draw float64) time.Duration {
	const most = 2 // of a share; who got more comes no later than that
	turn := (min(got, most)/most + draw) / 2
	part := 1 + s.RetrySpread*(2*turn-1)
	return max(share(target, s.RetryShare*part), leastRetry)
}
