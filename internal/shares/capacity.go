package shares

import "github.com/bluebellchute/bluebellchute/internal/boottime"

// The engines may do less than the operator has stated, because they are slow, few or
// busy with long prompts, while accounts request more than there is. Shares of the stated
// capacity are then more than any account gets, every account counts as below its share,
// and the one that sends most requests gets most.

const (
	// capacityGrowth is the assumed capacity of the engines relative to the recently
	// granted tokens. It lets routers detect that capacity has come back: the sums cover
	// two seconds, in which granted tokens may grow by this factor.
	capacityGrowth = 1.2
	// servedGrowth is the same for all served tokens, including idle capacity. It is
	// smaller because the first account to send a request gets the whole difference.
	servedGrowth = 1.1
	// minCapacityShare is the fraction of the stated capacity that is always divided:
	// without it, no tokens granted would mean no shares.
	minCapacityShare = 0.25
	// fullShortageShare is the missing fraction of the stated capacity that counts as a
	// shortage of 1.
	fullShortageShare = 0.3
)

// minTestedShare is the fraction of the sums' period from which granted tokens count as
// evidence of what the engines can do.
const minTestedShare = 0.2

// capacityTest measures for which fraction of the sums' period callers were admitted and
// requested more than the stated capacity. In the rest of the time, few tokens are
// granted because nobody could be admitted or nobody requested more. Taken as the
// capacity of the engines, these tokens showed a full shortage for three seconds after
// each outage of the store: 344 to 594 requests were refused as busy while engines were
// idle.
type capacityTest struct {
	share  float64 // of the sums' period, as of at
	active bool    // whether the capacity has been tested since at
	at     boottime.Instant
}

// set records whether the capacity is being tested from now on.
func (t *capacityTest) set(active bool, now boottime.Instant) {
	if t.at != 0 {
		remaining := decayFactor(now.Sub(t.at))
		t.share *= remaining
		if t.active {
			t.share += 1 - remaining
		}
	}
	t.active, t.at = active, now
}

// observedCapacity returns the capacity to divide, and from 0 to 1 how far the engines
// fall short of the stated one. Both capacities and granted are sums over the same
// period, and testedShare is the fraction of it in which the capacity was tested.
//
// Without it, when engines work at 0.4 of the stated speed, one account got 63,255 of the
// 310,610 tokens that it requested in six seconds, while another got 274,878. With it, no
// waiting account gets less than half of what another gets.
func observedCapacity(stated, granted, testedShare float64) (capacity, shortage float64) {
	if testedShare < minTestedShare {
		return stated, 0
	}
	capacity = min(max(capacityGrowth*granted/testedShare, minCapacityShare*stated), stated)
	shortage = min((stated-capacity)/(fullShortageShare*stated), 1)
	return capacity, shortage
}
