package spread

import (
	"time"

	"github.com/samber/lo"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/membership"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
)

// introduceInterval is the time between two introductions. At this rate a node
// reaches 350 routers in 35 s.
const introduceInterval = 100 * time.Millisecond

// introductionState is the progress of a node that cannot register in
// introducing itself to its peers.
type introductionState struct {
	pending []fleet.Address
	nextAt  time.Time
}

// introduce sends this node's record to one peer after another, routers first,
// while the platform does not accept the record and the directory does not
// contain it.
func (w *World) introduce(now time.Time) {
	if !w.needsIntroduction() {
		w.introduction.pending = nil
		return
	}
	if now.Before(w.introduction.nextAt) {
		w.wake(w.introduction.nextAt)
		return
	}
	w.introduction.nextAt = now.Add(introduceInterval)
	w.wake(w.introduction.nextAt)
	peer, ok := w.nextIntroduction()
	if !ok || !w.idle(peer) {
		return
	}
	w.ensurePeer(peer).syncing = true
	w.emit(Sync{To: peer, Reason: ReasonIntroduce, Request: &rpc.SyncRequest{
		Envelope:     w.envelope(),
		Introduction: membership.RecordToRPC(w.ownRecord()),
	}})
}

// needsIntroduction reports whether this node cannot register, so that its
// peers do not know of it.
func (w *World) needsIntroduction() bool {
	if !w.join.done || w.registration.written || w.registration.failures == 0 {
		return false
	}
	_, known := w.directory.Record(w.config.Self.Control)
	return !known
}

// nextIntroduction returns the next peer of the round and starts a new round
// after the last peer.
func (w *World) nextIntroduction() (fleet.Address, bool) {
	if len(w.introduction.pending) == 0 {
		nodes := lo.Reject(w.view.Nodes, func(node fleet.Node, _ int) bool {
			return node.Control == w.config.Self.Control
		})
		routers, others := lo.FilterReject(nodes, func(node fleet.Node, _ int) bool {
			return node.Role == fleet.RoleRouter
		})
		for _, node := range append(routers, others...) {
			w.introduction.pending = append(w.introduction.pending, node.Control)
		}
	}
	peer, ok := lo.First(w.introduction.pending)
	w.introduction.pending = lo.Drop(w.introduction.pending, 1)
	return peer, ok
}

func (w *World) handleIntroduction(message *rpc.NodeRecord) {
	if message != nil && message.GetControl() != string(w.config.Self.Control) {
		w.tracker.Introduce(membership.RecordFromRPC(message), w.now)
	}
}
