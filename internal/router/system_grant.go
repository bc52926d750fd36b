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
			touched[row.accountOf(grant)] = struct{}{}
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
		w.decline(row, grant.Number, row.accountOf(grant))
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
	queue := row.service.queueOf(grant)
	if queue == nil {
		return nil
	}
	return queue.firstFor(row.node.Control)
}

// queueOf returns the queue that a grant is for, or nil. A grant that names no
// account is for whichever comes first here.
func (s *serviceRow) queueOf(grant *rpc.Grant) *accountQueue {
	switch {
	case grant.Account != "":
		return s.queues[fleet.Account(grant.Account)]
	case grant.AccountHash != 0:
		return s.hashed(grant.AccountHash)
	default:
		return s.nextQueue(anyHead)
	}
}

// hashed returns the queue of the account with a hash, or nil. Agents that know
// of two such accounts name them in full. One that has newer or older settings
// may not know; then it is taken to mean the one that has work here. If it did
// not, it refuses the request, which then waits on.
func (s *serviceRow) hashed(hash uint32) *accountQueue {
	var found *accountQueue
	for _, queue := range s.hashes[hash] {
		if found == nil || found.len() == 0 {
			found = queue
		}
	}
	return found
}

// accountOf returns the account that a grant of the agent names, or "" when it
// names none or one that is not known here.
func (a *agentRow) accountOf(grant *rpc.Grant) fleet.Account {
	if a == nil || grant.AccountHash == 0 {
		return fleet.Account(grant.Account)
	}
	if queue := a.service.hashed(grant.AccountHash); queue != nil {
		return queue.account
	}
	return ""
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

// decline gives a grant back that was taken and could not be used, and tells
// what waits of its account, which is "" when it is not known here. That nothing
// does goes without saying.
func (w *World) decline(row *agentRow, grant uint64, account fleet.Account) {
	if grant == 0 {
		return
	}
	row.offer.declined = append(row.offer.declined, grant)
	w.due(row, offerCoalesce)
	if account == "" {
		return
	}
	w.pend(row, account)
	if row.offer.implied == nil {
		row.offer.implied = make(map[fleet.Account]struct{})
	}
	row.offer.implied[account] = struct{}{}
}
