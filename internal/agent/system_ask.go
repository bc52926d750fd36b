package agent

import (
	"cmp"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// asking is the state of an idle agent's questions to routers.
type asking struct {
	next     time.Time
	interval time.Duration
	turn     int             // rotates through all routers
	recent   []fleet.Address // routers that offered lately, newest last
}

// maxRecent bounds asking.recent.
const maxRecent = 16

// askRouters lets an agent with free slots and no offers find work. Routers
// offer to a subset of the agents only; without the question an agent outside
// of all subsets would stay idle while work waits. The question also corrects
// routers that believe this agent full. The interval doubles while nothing
// waits anywhere, so that an idle fleet is quiet.
func (w *World) askRouters(now time.Time) {
	if w.free() == 0 || w.offers > 0 {
		w.asking.interval = MinAskInterval
		w.asking.next = now.Add(MinAskInterval)
		return
	}
	if now.Before(w.asking.next) {
		return
	}
	for _, address := range w.routersToAsk() {
		w.emit(AskRouter{Router: address, FreeSlots: uint32(w.free())})
	}
	w.asking.next = now.Add(w.asking.interval)
	w.asking.interval = min(2*w.asking.interval, MaxAskInterval)
}

// recallOffers asks routers for the offers that were dropped because a grant to
// them failed. A router repeats what it believes to be known here only after
// seconds. If it were not asked, one call lost by a short stall would keep its
// accounts waiting for as long, while other routers' accounts get the slots.
func (w *World) recallOffers(now time.Time) {
	w.routers.Each(func(_ fleet.Address, row *router) {
		if row.recallAt.IsZero() || now.Before(row.recallAt) {
			return
		}
		w.emit(AskRouter{Router: row.address, FreeSlots: uint32(w.free())})
		row.recallAt = now.Add(row.recallWait)
		row.recallWait = min(2*row.recallWait, MaxAskInterval)
	})
}

// routersToAsk are one router that offered lately and the next in turn.
func (w *World) routersToAsk() []fleet.Address {
	routers := w.members.Usable(w.members.Routers())
	if len(routers) == 0 {
		return nil
	}
	slices.SortFunc(routers, func(a, b fleet.Node) int { return cmp.Compare(a.Control, b.Control) })
	w.asking.turn = (w.asking.turn + 1) % len(routers)
	chosen := []fleet.Address{routers[w.asking.turn].Control}
	if last, ok := lo.Last(w.asking.recent); ok {
		w.asking.recent = w.asking.recent[:len(w.asking.recent)-1]
		chosen = append(chosen, last)
	}
	return lo.Subset(lo.Uniq(chosen), 0, MaxAsked)
}

// noteRecent remembers a router that offered work.
func (w *World) noteRecent(address fleet.Address) {
	w.asking.recent = slices.DeleteFunc(w.asking.recent, func(a fleet.Address) bool { return a == address })
	w.asking.recent = append(w.asking.recent, address)
	if len(w.asking.recent) > maxRecent {
		w.asking.recent = w.asking.recent[1:]
	}
}

// takeFreeAnswered notes what waits at a router that was asked.
func (w *World) takeFreeAnswered(now time.Time, in FreeAnswered) {
	if in.Failed {
		if known := w.routers.Get(in.Router); known != nil {
			known.silent = true
		}
		return
	}
	row := w.noteRouter(now, in.Router, in.Incarnation)
	if row == nil || w.leaving() {
		return
	}
	row.recallAt = time.Time{} // the reply lists everything that waits there
	for _, item := range in.Offers {
		w.setOffer(now, row, item)
	}
	if len(in.Offers) > 0 {
		w.asking.interval = MinAskInterval
		w.asking.next = now
	}
}
