package shares

import "github.com/bluebellchute/bluebellchute/internal/boottime"

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
	// least: the shares of nothing would be nothing.
	leastCapacity = 0.25
	// wholeShortage is the part of the stated capacity whose lack counts as a
	// whole shortage.
	wholeShortage = 0.3
)

// leastTested is the part of the sums' memory from which what accounts got says
// something of the engines.
const leastTested = 0.2

// exposure tells for which part of the sums' memory the engines were put to the test:
// callers were let in, and asked for more than the stated capacity. What accounts
// got in the rest of the time is little because nobody could be let in or nobody
// asked for more. Taken for what engines can do, it had them count as wholly
// short for three seconds after each outage of the store, with 594, 476 and 344
// requests refused as busy before empty engines.
type exposure struct {
	part float64 // decayed, as of at
	on   bool    // since at
	at   boottime.Instant
}

// note takes whether the engines are put to the test from now on.
func (e *exposure) note(on bool, now boottime.Instant) {
	if e.at != 0 {
		left := decayFactor(now.Sub(e.at))
		e.part *= left
		if e.on {
			e.part += 1 - left
		}
	}
	e.on, e.at = on, now
}

// observed returns the capacity to divide, and how short the engines are of the
// stated one, from 0 to 1. Both capacities and got are sums of the same span;
// tested is the part of it in which the engines were put to the test.
//
// Engines at 0.4 of the stated speed: without it an account got 63,255 of the
// 310,610 tokens that it asked in six seconds while another got 274,878; with it
// no account that waited got less than half of another's on six days of three
// deployments.
func observed(stated, got, tested float64) (capacity, shortage float64) {
	if tested < leastTested {
		return stated, 0
	}
	capacity = min(max(growth*got/tested, leastCapacity*stated), stated)
	shortage = min((stated-capacity)/(wholeShortage*stated), 1)
	return capacity, shortage
}
