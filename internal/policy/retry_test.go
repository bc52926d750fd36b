package policy

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against waves: callers that are refused in one tenth of a second and come back in
// another.
func TestRefusedCallersDoNotComeBackTogether(t *testing.T) {
	const callers, interval = 1000, 100 * time.Millisecond
	random := rand.New(rand.NewPCG(1, 2))
	s := Defaults()
	most := func() int {
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
	together := most()
	s.RetrySpread = 0.5
	spread := most()
	t.Logf("most callers in a tenth of a second: %d, spread %d", together, spread)
	if spread > together/2 {
		t.Errorf("%d of %d callers come back in a tenth of a second, %d without the spread", spread, callers, together)
	}
}

// Guards against an order in which callers of accounts that had much come first.
func TestAccountsThatHadLeastComeBackFirst(t *testing.T) {
	s := Defaults()
	s.RetrySpread = 0.5
	for _, draw := range []float64{0, 0.5, 0.999} {
		if little, much := s.RetryAfterByUsage(time.Second, 0.2, draw), s.RetryAfterByUsage(time.Second, 3, draw); little >= much {
			t.Errorf("draw %v: %v for little, %v for much", draw, little, much)
		}
	}
	if latest, earliest := s.RetryAfterByUsage(time.Second, 0, 0.999), s.RetryAfterByUsage(time.Second, 3, 0); latest > earliest {
		t.Errorf("%v for nothing, %v for more than twice the share", latest, earliest)
	}
	if got := s.RetryAfterByUsage(0, 0, 0); got != leastRetry {
		t.Errorf("%v without a target", got)
	}
}

// Guards against a change where the spread is switched off.
func TestNoSpreadTellsAllTheSame(t *testing.T) {
	s := Defaults()
	for _, got := range []float64{0, 1, 5} {
		if after := s.RetryAfterByUsage(time.Second, got, rand.Float64()); after != s.RetryAfter(time.Second) {
			t.Errorf("%v after %v of the share", after, got)
		}
	}
}
