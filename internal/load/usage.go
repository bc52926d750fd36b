package load

import "slices"

// SlotUsage is the utilisation of the engines while requests were waiting.
type SlotUsage struct {
	// WaitingSeconds is the time during which at least one request was waiting.
	WaitingSeconds float64
	// Utilisation is the fraction of the engines' slot time that was in use
	// while at least one request was waiting.
	Utilisation float64
	// IdleWhileWaiting is the fraction of the engines' slot time in the window
	// that was idle while requests were waiting. At any time, at most as many
	// slots count as requests are waiting.
	IdleWhileWaiting float64
}

// usageChange is a change in the number of waiting or running requests.
type usageChange struct {
	change
	engine int // waitingEngine for waiting requests
}

const waitingEngine = -1

// NewSlotUsage computes the usage in the window. slots holds the number of slots
// of each engine. A request counts as waiting from when the client sends it until
// its run starts, so the time in the network and in the routers is included.
func NewSlotUsage(window Window, slots []int, requests []RequestRecord) SlotUsage {
	s := usageSweep{window: window, slots: slots, running: make([]int, len(slots)), at: window.From}
	for _, c := range usageChanges(requests) {
		s.advance(c.at)
		if c.engine == waitingEngine {
			s.waiting += c.delta
			continue
		}
		s.busy -= min(s.running[c.engine], slots[c.engine])
		s.running[c.engine] += c.delta
		s.busy += min(s.running[c.engine], slots[c.engine])
	}
	s.advance(window.To)
	return s.usage()
}

func usageChanges(requests []RequestRecord) []usageChange {
	var changes []usageChange
	add := func(from, to int64, engine int) {
		if to > from {
			changes = append(changes,
				usageChange{change{from, 1}, engine},
				usageChange{change{to, -1}, engine})
		}
	}
	for _, request := range requests {
		add(request.Sent, request.waitEnd(), waitingEngine)
		if request.ran() {
			add(request.Started, request.Ended, request.Engine)
		}
	}
	slices.SortFunc(changes, func(a, b usageChange) int { return compareChanges(a.change, b.change) })
	return changes
}

// usageSweep is the state of the computation at one time.
type usageSweep struct {
	window  Window
	slots   []int
	running []int
	waiting int
	busy    int // slots in use
	at      int64

	waitingTime, busyTime, idleTime float64 // nanoseconds; busyTime and idleTime multiplied by slots
}

// advance adds up the time until at.
func (s *usageSweep) advance(at int64) {
	at = min(max(at, s.window.From), s.window.To)
	span := float64(at - s.at)
	s.at = at
	if span <= 0 || s.waiting == 0 {
		return
	}
	s.waitingTime += span
	s.busyTime += span * float64(s.busy)
	s.idleTime += span * float64(min(s.waiting, s.total()-s.busy))
}

func (s *usageSweep) total() int {
	total := 0
	for _, slots := range s.slots {
		total += slots
	}
	return total
}

func (s *usageSweep) usage() SlotUsage {
	total := float64(s.total())
	length := float64(s.window.To - s.window.From)
	usage := SlotUsage{WaitingSeconds: s.waitingTime / 1e9}
	if s.waitingTime > 0 && total > 0 {
		usage.Utilisation = s.busyTime / (s.waitingTime * total)
		usage.IdleWhileWaiting = s.idleTime / (length * total)
	}
	return usage
}
