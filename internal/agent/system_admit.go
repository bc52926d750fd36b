package agent

import (
	"time"
)

// startQueued starts admitted requests while slots are free, in the order of
// their admission. A suspect waits until no other suspect runs, so that a
// crash tells which request caused it.
func (w *World) startQueued(now time.Time) {
	if !w.backendUp {
		return
	}
	waiting := w.queue[:0]
	for _, r := range w.queue {
		if w.running >= w.slots() || r.suspect && w.suspectsRun > 0 || len(r.unconfirmed) > 0 {
			waiting = append(waiting, r)
			continue
		}
		w.start(now, r)
	}
	clear(w.queue[len(waiting):])
	w.queue = waiting
}

func (w *World) start(now time.Time, r *request) {
	r.state = stateRunning
	r.startedAt = now
	w.running++
	if r.suspect {
		w.suspectsRun++
	}
	w.emit(StartRun{ID: r.id, Deadline: r.deadline})
}

// heldSuspects is the number of queued suspects that wait for another one.
func (w *World) heldSuspects() int {
	free := w.suspectsRun == 0
	held := 0
	for _, r := range w.queue {
		if !r.suspect {
			continue
		}
		if !free {
			held++
		}
		free = false
	}
	return held
}

// suspectInFlight tells whether a suspect runs or waits to run.
func (w *World) suspectInFlight() bool {
	if w.suspectsRun > 0 {
		return true
	}
	for _, r := range w.queue {
		if r.suspect {
			return true
		}
	}
	return false
}

// offersComeFirst tells whether an offer is served before a dispatch that came
// without a grant. It matters only within a step: between steps, a free slot
// means that no offers wait.
func (w *World) offersComeFirst(in Dispatch) bool {
	if w.offers == 0 {
		return false
	}
	name, ok := w.pickAccount()
	return ok && name != in.Account && w.clocks.Clock(name) < w.clocks.Clock(in.Account)
}

// heldRoom tells whether another answer may be made. When routers do not
// acknowledge and the held answers reach their bound, the agent takes no new
// work, which it notices by the metric of held bytes; otherwise it would have
// to drop answers that nobody has received.
func (w *World) heldRoom() bool {
	return w.heldBytes < w.limits.MaxHeldBytes && len(w.held) < w.limits.MaxHeldAnswers
}
