package shares

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// What is left of grants within a time is the difference of the sums at its ends, within what is
// granted in a step.
func TestHistoryHoldsRecentGrants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var history grantHistory
		length := time.Duration(rapid.IntRange(0, 1800).Draw(t, "length")) * time.Millisecond
		const interval, count = 10 * time.Millisecond, 300
		want, now := 0.0, start
		for i := range count {
			now = now.Add(interval)
			tokens := rapid.Float64Range(0, 100).Draw(t, "tokens")
			history.add(tokens, now)
			if age := (count - 1 - i) * int(interval); time.Duration(age) < length {
				want += tokens * decayFactor(time.Duration(age))
			}
		}
		if got := history.within(length, now); math.Abs(got-want) > 100*float64(historyStep/interval) {
			t.Fatalf("%v within %v, want %v", got, length, want)
		}
	})
}

func TestHistoryForgets(t *testing.T) {
	var history grantHistory
	history.add(100, start)
	history.add(-100, start.Add(historyStep))
	if got := history.within(time.Second, start.Add(historyStep)); got != 0 {
		t.Errorf("%v left after a refund", got)
	}
	history.add(100, start.Add(time.Second))
	if got := history.within(2*time.Second, start.Add(time.Minute)); got != 0 {
		t.Errorf("%v left after a minute", got)
	}
}
