package spread

import (
	"time"

	"github.com/samber/lo"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/membership"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
)

// hear takes in an envelope: what the sender says of itself, and which
// revisions it claims.
func (w *World) hear(envelope *rpc.Envelope) {
	sender := fleet.Address(envelope.GetSender())
	if sender == "" || sender == w.config.Self.Control {
		return
	}
	w.lastHeard = w.now
	w.tracker.Observe(sender, wordOf(envelope), w.now)
	known := w.link(sender)
	known.digest = envelope.GetVerdictsDigest()
	for id, document := range w.documents {
		known.revisions[id] = claimOf(envelope, DocumentID(id))
		document.claim(sender, known.revisions[id])
	}
}

func wordOf(envelope *rpc.Envelope) membership.SelfReport {
	return membership.SelfReport{
		Incarnation:    envelope.GetIncarnation(),
		LeavingChanges: envelope.GetLeavingChanges(),
		Leaving:        envelope.GetLeaving(),
	}
}

func (w *World) link(peer fleet.Address) *link {
	return w.links.GetOrCreate(peer, func() *link { return &link{} })
}

// takeSync takes in the news of a request or a reply. The deltas come first:
// the envelope's claims are then mostly met, and what is left is pulled.
func (w *World) takeSync(message syncMessage) {
	from := fleet.Address(message.GetEnvelope().GetSender())
	for _, document := range w.documents {
		delta := document.deltaOf(message)
		if len(delta) == 0 {
			continue
		}
		if _, err := document.replica.Apply(delta); err != nil {
			w.emit(DeltaRejected{Document: document.id, From: from, Err: err})
		}
	}
	w.verdicts.merge(message.GetVerdicts(), w.now)
	w.hear(message.GetEnvelope())
}

// replyTo returns what the sender of an envelope lacks.
func (w *World) replyTo(envelope *rpc.Envelope) *rpc.SyncReply {
	reply := &rpc.SyncReply{
		Envelope: w.envelope(),
		Settings: w.documents[DocumentSettings].replica.Delta(envelope.GetSettingsRevision()),
		Members:  w.documents[DocumentMembers].replica.Delta(envelope.GetMembersVersion()),
	}
	if envelope.GetVerdictsDigest() != w.verdicts.digest {
		reply.Verdicts = w.verdicts.sample(w.random)
	}
	return reply
}

func (w *World) envelope() *rpc.Envelope {
	w.stamp.setDigest(w.verdicts.digest)
	return w.stamp.Envelope()
}

// sync orders a request. withDeltas adds what the peer is believed to lack;
// otherwise the request only asks.
func (w *World) sync(to fleet.Address, reason SyncReason, withDeltas bool) {
	known := w.link(to)
	known.syncing = true
	request := &rpc.SyncRequest{Envelope: w.envelope()}
	if withDeltas {
		request.Settings = w.pushedDelta(DocumentSettings, known)
		request.Members = w.pushedDelta(DocumentMembers, known)
	}
	if known.digest != w.verdicts.digest {
		request.Verdicts = w.verdicts.sample(w.random)
	}
	w.emit(Sync{To: to, Reason: reason, Request: request})
}

// pushedDelta returns the delta for a peer, or nothing when it is so large
// that it should travel only to peers that ask.
func (w *World) pushedDelta(id DocumentID, known *link) []byte {
	document := w.documents[id]
	// What the peer last claimed may be long ago. It most likely has what was
	// in force here before the news; if not, it pulls.
	since := max(known.revisions[id], document.told)
	delta := document.replica.Delta(since)
	if len(delta) > w.config.MaxPushBytes {
		return nil
	}
	return delta
}

// takeSyncEnd takes in the reply to a request of this node.
func (w *World) takeSyncEnd(event SyncEnded) {
	w.link(event.To).syncing = false
	w.join.answered(event.To, event.Err == nil)
	if event.Err == nil {
		w.takeSync(event.Reply)
	} else {
		w.tracker.CallFailed(event.To, w.now)
		w.partnerUntil = w.now
	}
	for _, document := range w.documents {
		w.endPull(document, event)
	}
}

// endPull ends the pull from a peer. A peer that claims a revision and does not
// deliver it would else be asked again without a pause.
func (w *World) endPull(document *document, event SyncEnded) {
	if event.Err != nil {
		// The peer may claim again; until then another one is asked.
		document.ahead.Delete(event.To)
	}
	if document.pulling != event.To {
		return
	}
	document.pulling = ""
	if claimed := document.ahead.Get(event.To); claimed != nil && *claimed > document.replica.Revision() {
		document.pullAt = w.now.Add(pullRetry)
	}
}

// pullRetry is the time after a pull that did not deliver.
const pullRetry = 250 * time.Millisecond

// pushNews tells a few peers at once of a revision that is new here. Each node
// does so once per revision, so news costs the fan-out per node and reaches
// nearly all nodes in a few steps; the exchanges find the rest. News that
// follows within the push interval waits and travels together: when a fleet
// starts, each node would else push each registration.
func (w *World) pushNews(now time.Time) {
	if !w.noteRevisions() && !w.verdicts.news {
		return
	}
	if due := w.pushDue(); w.join.done && now.Before(due) {
		w.wake(due)
		return
	}
	if w.join.done {
		w.pushedAt = now
		for _, peer := range w.circle.pick(w.random, w.config.FanOut, w.lacksNews) {
			w.sync(peer, ReasonPush, true)
		}
	}
	w.verdicts.news = false
	for _, document := range w.documents {
		document.told = document.replica.Revision()
	}
}

// pushDue is the earliest time of the next push. Nodes come and go in crowds,
// so news of them alone is held a little longer.
func (w *World) pushDue() time.Time {
	settings := w.documents[DocumentSettings]
	if settings.replica.Revision() > settings.told || w.verdicts.news {
		return w.pushedAt.Add(w.config.PushInterval)
	}
	return w.pushedAt.Add(w.config.MembersPushInterval)
}

// noteRevisions reports revisions that have risen, and tells whether there are
// any that have not been pushed.
func (w *World) noteRevisions() bool {
	news := false
	for _, document := range w.documents {
		revision := document.replica.Revision()
		news = news || revision > document.told
		if revision > document.noted {
			document.noted = revision
			w.emit(RevisionAdvanced{Document: document.id, Revision: revision})
		}
	}
	return news
}

// lacksNews tells whether a peer can be called and has not claimed to have all
// that this node has.
func (w *World) lacksNews(peer fleet.Address) bool {
	known := w.links.Get(peer)
	if known == nil {
		return true
	}
	behind := lo.SomeBy(w.documents[:], func(document *document) bool {
		return known.revisions[document.id] < document.replica.Revision()
	})
	return !known.syncing && (behind || known.digest != w.verdicts.digest)
}

// pullAhead asks for a revision that a peer claims, one peer at a time for
// each document.
func (w *World) pullAhead(now time.Time) {
	for _, document := range w.documents {
		peer, ok := document.best()
		if !ok || document.pulling != "" {
			continue
		}
		if now.Before(document.pullAt) {
			w.wake(document.pullAt)
			continue
		}
		document.pulling = peer
		if !w.link(peer).syncing {
			w.sync(peer, ReasonPull, false)
		}
	}
}

// exchange compares revisions with one random peer each interval. It finds
// what pushes have missed: after a partition, a pause, or lost messages.
func (w *World) exchange(now time.Time) {
	if now.Before(w.exchangeAt) {
		w.wake(w.exchangeAt)
		return
	}
	w.exchangeAt = now.Add(w.jittered(w.config.ExchangeInterval))
	w.wake(w.exchangeAt)
	if peer, ok := w.partner(now); ok {
		w.sync(peer, ReasonExchange, false)
	}
}

// partner returns the peer for the next exchange: the last one for a while, so
// that the connection to it is used again, and then another random one.
func (w *World) partner(now time.Time) (fleet.Address, bool) {
	known := w.links.Get(w.exchangeWith)
	if now.Before(w.partnerUntil) && known != nil && !known.syncing {
		return w.exchangeWith, true
	}
	peer, ok := w.circle.pickOne(w.random, w.idle)
	if !ok {
		peer, ok = lo.First(sample(w.random, w.seeds(), 1, w.idle))
	}
	w.exchangeWith = peer
	w.partnerUntil = now.Add(w.config.PartnerTTL)
	return peer, ok
}

// idle tells whether no request to the peer is under way.
func (w *World) idle(peer fleet.Address) bool {
	known := w.links.Get(peer)
	return known == nil || !known.syncing
}

// seeds returns the peers named in the settings file, without this node.
func (w *World) seeds() []fleet.Address {
	return lo.Without(w.config.Seeds, w.config.Self.Control)
}
