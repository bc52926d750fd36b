package load

import "slices"

// Usage tells how well the engines were used while work waited.
type Usage struct {
	// WaitingSeconds is the time during which at least one request waited.
	WaitingSeconds float64
	// Utilisation is the slot time in use over the slot time of all engines,
	// while at least one request waited.
	Utilisation float64
	// IdleWhileWaiting is the slot time that was idle although a request
	// waited for it (at most as many slots as requests), over the slot time
	// of all engines in the whole window.
	IdleWhileWaiting float64
}

// usageChange is a step in the number of waiting or running requests.
type usageChange struct {
	change
	engine int // waitingEngine for the number that waits
}

const waitingEngine = -1

// NewUsage sweeps over the window. slots gives the slots of each engine. A
// request waits from the client's sending to the run's begin, its way through
// the network and the system included.
func NewUsage(window Window, slots []int, works []Work) Usage {
	s := usageSweep{window: window, slots: slots, running: make([]int, len(slots)), at: window.From}
	for _, c := range usageChanges(works) {
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

func usageChanges(works []Work) []usageChange {
	var changes []usageChange
	add := func(from, to int64, engine int) {
		if to > from {
			changes = append(changes,
				usageChange{change{from, 1}, engine},
				usageChange{change{to, -1}, engine})
		}
	}
	for _, work := range works {
		add(work.Sent, work.waitEnd(), waitingEngine)
		if work.ran() {
			add(work.Began, work.Ended, work.Engine)
		}
	}
	slices.SortFunc(changes, func(a, b usageChange) int { return compareChanges(a.change, b.change) })
	return changes
}

// usageSweep is the state of the sweep at one time.
type usageSweep struct {
	window  Window
	slots   []int
	running []int
	waiting int
	busy    int // slots in use
	at      int64

	waitingTime, busyTime, idleTime float64 // nanoseconds; the latter two times slots
}

// advance accounts for the time up to at.
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

func (s *usageSweep) usage() Usage {
	total := float64(s.total())
	length := float64(s.window.To - s.window.From)
	usage := Usage{WaitingSeconds: s.waitingTime / 1e9}
	if s.waitingTime > 0 && total > 0 {
		usage.Utilisation = s.busyTime / (s.waitingTime * total)
		usage.IdleWhileWaiting = s.idleTime / (length * total)
	}
	return usage
}
