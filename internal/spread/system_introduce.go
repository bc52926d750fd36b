package spread

import (
	"time"

	"github.com/samber/lo"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/membership"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
)

// introduceInterval is the time between two introductions. A node reaches 350
// routers in 35 s.
const introduceInterval = 100 * time.Millisecond

// introductionState is how far a node that cannot register has come in telling
// its peers that it exists.
type introductionState struct {
	waiting []fleet.Address
	at      time.Time
}

// introduce tells one peer after the other, routers first, while the platform
// does not take this node's record and the directory does not have it.
func (w *World) introduce(now time.Time) {
	if !w.stranded() {
		w.introduction.waiting = nil
		return
	}
	if now.Before(w.introduction.at) {
		w.wake(w.introduction.at)
		return
	}
	w.introduction.at = now.Add(introduceInterval)
	w.wake(w.introduction.at)
	peer, ok := w.nextIntroduction()
	if !ok || !w.idle(peer) {
		return
	}
	w.link(peer).syncing = true
	w.emit(Sync{To: peer, Reason: ReasonIntroduce, Request: &rpc.SyncRequest{
		Envelope:     w.envelope(),
		Introduction: membership.RecordToRPC(w.ownRecord()),
	}})
}

// stranded tells that this node cannot register and that its peers therefore
// don't know of it.
func (w *World) stranded() bool {
	if !w.join.done || w.registration.written || w.registration.failures == 0 {
		return false
	}
	_, known := w.directory.Record(w.config.Self.Control)
	return !known
}

// nextIntroduction returns the next peer of the round and begins a new round
// after the last.
func (w *World) nextIntroduction() (fleet.Address, bool) {
	if len(w.introduction.waiting) == 0 {
		nodes := lo.Reject(w.view.Nodes, func(node fleet.Node, _ int) bool {
			return node.Control == w.config.Self.Control
		})
		routers, others := lo.FilterReject(nodes, func(node fleet.Node, _ int) bool {
			return node.Role == fleet.RoleRouter
		})
		for _, node := range append(routers, others...) {
			w.introduction.waiting = append(w.introduction.waiting, node.Control)
		}
	}
	peer, ok := lo.First(w.introduction.waiting)
	w.introduction.waiting = lo.Drop(w.introduction.waiting, 1)
	return peer, ok
}

func (w *World) takeIntroduction(message *rpc.NodeRecord) {
	if message != nil && message.GetControl() != string(w.config.Self.Control) {
		w.tracker.Introduce(membership.RecordFromRPC(message), w.now)
	}
}
