package shares

import "time"

// The load that this file answers: the engines do less than the operator has
// stated, because they are slow, few, or busy with long prompts, while accounts
// ask for more than there is. Shares of the stated capacity are then more than
// anyone gets, every account counts as short of its share, and whoever asks most
// gets most.

const (
	// growth is how much more than what accounts got of late the engines may be
	// taken to do. Capacity that comes back is found again by it: sums remember
	// two seconds, in which what is given out may grow as much.
	growth = 1.2
	// idleGrowth is the same for all that was served, idle capacity included. It
	// is less, as the first who asks gets all of the difference.
	idleGrowth = 1.1
	// leastCapacity is the part of the stated capacity that is divided at
	// least. After an outage nobody has got anything, and the shares of nothing
	// would be nothing.
	leastCapacity = 0.25
	// wholeShortage is the part of the stated capacity whose lack counts as a
	// whole shortage.
	wholeShortage = 0.3
)

// leastFilled bounds what a sum is divided by that has hardly begun.
const leastFilled = 0.2

// filled returns the part of a decaying sum that has come together after the
// time. At a start the sums are small because they have just begun, not because
// engines take little: taken as they are, they made callers of the first second
// be refused as if engines were short by 0.69.
func filled(passed time.Duration) float64 {
	return max(1-decayFactor(passed), leastFilled)
}

// observed returns the capacity to divide, and how short the engines are of the
// stated one, from 0 to 1. Both capacities and got are sums of the same span.
//
// Engines at 0.4 of the stated speed: without it an account got 63,255 of the
// 310,610 tokens that it asked in six seconds while another got 274,878; with it
// no account that waited got less than half of another's on six days of three
// deployments.
func observed(stated, got float64) (capacity, shortage float64) {
	capacity = min(max(growth*got, leastCapacity*stated), stated)
	shortage = min((stated-capacity)/(wholeShortage*stated), 1)
	return capacity, shortage
}
