package spread

import (
	"time"

	"github.com/samber/lo"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

const (
	// joinPeers is the number of peers that a starting node asks. A single one
	// may itself be behind.
	joinPeers = 3
	// joinRetry is the time after which further peers are asked.
	joinRetry = 300 * time.Millisecond
	// pauseThreshold is the time between two ticks above which the process
	// counts as paused; a joining node ticks every joinRetry.
	pauseThreshold = 4 * joinRetry
)

// joinState is the state of a node that is joining the fleet.
type joinState struct {
	done     bool
	lastTick time.Time
	deadline time.Time
	retryAt  time.Time
	asked    map[fleet.Address]bool // true once the peer has answered
}

func newJoinState() joinState {
	return joinState{asked: make(map[fleet.Address]bool)}
}

// recordAnswer records the end of a request.
func (j *joinState) recordAnswer(peer fleet.Address, ok bool) {
	if _, asked := j.asked[peer]; asked && ok {
		j.asked[peer] = true
	}
}

// answers returns the number of peers that have answered.
func (j *joinState) answers() int {
	return lo.CountBy(lo.Values(j.asked), func(answered bool) bool { return answered })
}

// joinFleet asks peers after the start and decides when the node may act.
func (w *World) joinFleet(now time.Time) {
	if w.join.done {
		return
	}
	// After a pause the deadline may have passed without any peer having had
	// time to answer. The node would then act without any data, or on stale
	// data from the platform.
	paused := now.Sub(w.join.lastTick) > pauseThreshold
	w.join.lastTick = now
	if paused {
		w.join.deadline = now.Add(w.config.JoinTimeout)
	}
	if w.canJoin(now) {
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
	for _, peer := range sample(w.random, w.joinCandidates(), wanted, w.canAsk) {
		w.join.asked[peer] = false
		w.sync(peer, ReasonJoin, false)
	}
}

// canAsk reports whether no request to the peer is in progress and it has not
// answered yet.
func (w *World) canAsk(peer fleet.Address) bool { return w.idle(peer) && !w.join.asked[peer] }

// canJoin reports whether the node has enough information to act. Enough peers
// must have answered, and the highest revisions that they claim must have
// arrived. A node that has read the list of nodes and knows no peers is the
// first of its fleet.
func (w *World) canJoin(now time.Time) bool {
	if !now.Before(w.join.deadline) {
		return true
	}
	for _, document := range w.documents {
		_, behind := document.bestPeer()
		if behind || !document.platform.loadAttempted {
			return false
		}
	}
	return w.join.answers() >= min(joinPeers, len(w.joinCandidates()))
}

// joinCandidates returns all known peers.
func (w *World) joinCandidates() []fleet.Address {
	return lo.Uniq(append(append(w.seeds(), w.peerSet.sameZone...), w.peerSet.otherZones...))
}
