package router

import (
	"time"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
)

// takeGrants uses each grant at once or declines it at once. A grant that is
// neither holds a slot idle until its lease ends, while others wait.
func (w *World) takeGrants(event Granted) {
	row := w.agents.Get(event.Agent)
	if event.Carried {
		w.takeCarried(row, event)
		return
	}
	reply := &rpc.GrantReply{}
	touched := make(map[fleet.Account]struct{})
	for _, grant := range event.Grants {
		e := w.requestFor(row, event, grant)
		if e == nil {
			reply.Declined = append(reply.Declined, grant.Number)
			touched[fleet.Account(grant.Account)] = struct{}{}
			continue
		}
		touched[e.queue.account] = struct{}{}
		w.dispatch(e, row, grant.Number, useBy(event.Received, grant))
	}
	if row != nil {
		for account := range touched {
			if account != "" {
				reply.Offers = append(reply.Offers, w.accountOffer(row, account))
			}
		}
	}
	w.emit(ReplyGrant{Call: event.Call, Message: reply})
}

// takeCarried does the same with grants that an answer's frame carried. The
// agent hears of the accepted ones by the dispatches, which tell what still
// waits, and of the others by an offer that goes out at once.
func (w *World) takeCarried(row *agentRow, event Granted) {
	if row == nil {
		return // not in the list any more; the leases lapse
	}
	for _, grant := range event.Grants {
		e := w.requestFor(row, event, grant)
		if e != nil {
			w.dispatch(e, row, grant.Number, useBy(event.Received, grant))
			continue
		}
		w.decline(row, grant.Number)
		if grant.Account != "" {
			w.pend(row, fleet.Account(grant.Account))
		}
	}
}

// useBy is until when a grant may be used. It ends before the agent's lease
// does. A process that is paused between taking a grant and sending on it
// would otherwise send on a slot that the agent has given to another.
func useBy(received time.Time, grant *rpc.Grant) time.Time {
	lease := time.Duration(grant.LeaseMs) * time.Millisecond
	return received.Add(lease - min(grantMargin, lease/4))
}

// requestFor picks the request that uses a grant, or nil when it must be
// declined.
func (w *World) requestFor(row *agentRow, event Granted, grant *rpc.Grant) *entry {
	if row == nil || !row.takesWork() || row.service.name != event.Service {
		return nil
	}
	if !w.now.Before(useBy(event.Received, grant)) {
		return nil
	}
	queue := row.service.queues[fleet.Account(grant.Account)]
	if grant.Account == "" {
		queue = row.service.nextQueue(anyHead)
	}
	if queue == nil {
		return nil
	}
	return queue.firstFor(row.node.Control)
}

// takeFree answers an idle agent's question with what waits here, and sends it
// what its free slots can take.
func (w *World) takeFree(event FreeAsked) {
	reply := &rpc.FreeReply{}
	row := w.agents.Get(event.Agent)
	if row != nil && row.takesWork() && row.service.name == event.Service {
		w.hear(row, int(event.FreeSlots))
		w.runDispatch(w.now)
		for queue := range row.service.backlog {
			reply.Offers = append(reply.Offers, w.accountOffer(row, queue.account))
		}
	}
	w.emit(ReplyFree{Call: event.Call, Message: reply})
}

// decline gives a grant back that was taken and could not be used.
func (w *World) decline(row *agentRow, grant uint64) {
	if grant == 0 {
		return
	}
	row.offer.declined = append(row.offer.declined, grant)
	w.due(row, offerCoalesce)
}
