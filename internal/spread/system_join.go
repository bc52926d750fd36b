package spread

import (
	"time"

	"github.com/samber/lo"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

const (
	// joinPeers is the number of peers that a starting node asks. One alone
	// may itself be behind.
	joinPeers = 3
	// joinRetry is the time after which another round of peers is asked.
	joinRetry = 300 * time.Millisecond
	// joinPause is the time between two ticks that shows a pause; a joining
	// node ticks at each joinRetry.
	joinPause = 4 * joinRetry
)

// joinState is the state of a node's start.
type joinState struct {
	done     bool
	lastTick time.Time
	deadline time.Time
	retryAt  time.Time
	asked    map[fleet.Address]bool // true once it has answered
}

func newJoinState() joinState {
	return joinState{asked: make(map[fleet.Address]bool)}
}

// answered notes the end of a request.
func (j *joinState) answered(peer fleet.Address, ok bool) {
	if _, asked := j.asked[peer]; asked && ok {
		j.asked[peer] = true
	}
}

// answers is the number of peers that have answered.
func (j *joinState) answers() int {
	return lo.CountBy(lo.Values(j.asked), func(answered bool) bool { return answered })
}

// joinFleet asks peers at the start and decides when the node may act.
func (w *World) joinFleet(now time.Time) {
	if w.join.done {
		return
	}
	// A node that was paused finds its deadline passed although nobody could
	// answer it. It would act on nothing, or on what a stale platform gave it.
	paused := now.Sub(w.join.lastTick) > joinPause
	w.join.lastTick = now
	if paused {
		w.join.deadline = now.Add(w.config.JoinTimeout)
	}
	if w.mayAct(now) {
		w.join.done = true
		w.emit(Joined{})
		return
	}
	w.wake(w.join.deadline)
	if now.Before(w.join.retryAt) {
		w.wake(w.join.retryAt)
		return
	}
	w.join.retryAt = now.Add(joinRetry)
	w.wake(w.join.retryAt)
	wanted := joinPeers - w.join.answers()
	for _, peer := range sample(w.random, w.joinCandidates(), wanted, w.mayAsk) {
		w.join.asked[peer] = false
		w.sync(peer, ReasonJoin, false)
	}
}

// mayAsk tells whether a peer is free and has not answered yet.
func (w *World) mayAsk(peer fleet.Address) bool { return w.idle(peer) && !w.join.asked[peer] }

// mayAct tells whether the node has heard enough. The first answers also name
// the highest revisions, which must have arrived. A node that knows no peers
// after it has read the list of nodes is the first of its fleet.
func (w *World) mayAct(now time.Time) bool {
	if !now.Before(w.join.deadline) {
		return true
	}
	for _, document := range w.documents {
		_, behind := document.best()
		if behind || !document.platform.tried {
			return false
		}
	}
	return w.join.answers() >= min(joinPeers, len(w.joinCandidates()))
}

// joinCandidates returns all peers that the node knows of.
func (w *World) joinCandidates() []fleet.Address {
	return lo.Uniq(append(append(w.seeds(), w.circle.near...), w.circle.far...))
}
