package policy

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against callers that are refused within a tenth of a second retrying within
// another.
func TestRefusedCallersDoNotRetryTogether(t *testing.T) {
	const callers, interval = 1000, 100 * time.Millisecond
	random := rand.New(rand.NewPCG(1, 2))
	s := Defaults()
	maxPerInterval := func() int {
		returns := make(map[time.Duration]int)
		highest := 0
		for range callers {
			refused := time.Duration(random.Float64() * float64(interval))
			after := refused + s.RetryAfterByUsage(1500*time.Millisecond, random.Float64()*2, random.Float64())
			slot := after / interval
			returns[slot]++
			highest = max(highest, returns[slot])
		}
		return highest
	}
	together := maxPerInterval()
	s.RetrySpread = 0.5
	spread := maxPerInterval()
	t.Logf("most callers in a tenth of a second: %d, spread %d", together, spread)
	if spread > together/2 {
		t.Errorf("%d of %d callers retry in a tenth of a second, %d without the spread", spread, callers, together)
	}
}

// Guards against callers of accounts that have used much retrying before others.
func TestAccountsWithLeastUsageRetryFirst(t *testing.T) {
	s := Defaults()
	s.RetrySpread = 0.5
	for _, draw := range []float64{0, 0.5, 0.999} {
		if low, high := s.RetryAfterByUsage(time.Second, 0.2, draw), s.RetryAfterByUsage(time.Second, 3, draw); low >= high {
			t.Errorf("jitter %v: %v for low usage, %v for high usage", draw, low, high)
		}
	}
	if latest, earliest := s.RetryAfterByUsage(time.Second, 0, 0.999), s.RetryAfterByUsage(time.Second, 3, 0); latest > earliest {
		t.Errorf("%v without usage, %v for more than twice the share", latest, earliest)
	}
	if got := s.RetryAfterByUsage(0, 0, 0); got != minRetryAfter {
		t.Errorf("retry after %v without a target", got)
	}
}

// Guards against different delays while the spread is disabled.
func TestWithoutSpreadAllDelaysAreEqual(t *testing.T) {
	s := Defaults()
	for _, got := range []float64{0, 1, 5} {
		if after := s.RetryAfterByUsage(time.Second, got, rand.Float64()); after != s.RetryAfter(time.Second) {
			t.Errorf("retry after %v with %v of the share used", after, got)
		}
	}
}
