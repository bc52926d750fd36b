package spread

import (
	"time"

	"github.com/samber/lo"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/membership"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
)

// handleEnvelope processes an envelope: the sender's self-report and the
// revisions that it claims.
func (w *World) handleEnvelope(envelope *rpc.Envelope) {
	sender := fleet.Address(envelope.GetSender())
	if sender == "" || sender == w.config.Self.Control {
		return
	}
	w.lastEnvelopeAt = w.now
	w.tracker.Observe(sender, selfReportOf(envelope), w.now)
	known := w.ensurePeer(sender)
	known.digest = envelope.GetVerdictsDigest()
	for id, document := range w.documents {
		known.revisions[id] = claimedRevision(envelope, DocumentID(id))
		document.recordClaim(sender, known.revisions[id])
	}
}

func selfReportOf(envelope *rpc.Envelope) membership.SelfReport {
	return membership.SelfReport{
		Incarnation:    envelope.GetIncarnation(),
		LeavingChanges: envelope.GetLeavingChanges(),
		Leaving:        envelope.GetLeaving(),
	}
}

func (w *World) ensurePeer(peer fleet.Address) *peerState {
	return w.peers.GetOrCreate(peer, func() *peerState { return &peerState{} })
}

// handleSyncMessage processes a request or a reply. The deltas are applied
// first: they mostly satisfy the envelope's claims, and only the rest is
// pulled.
func (w *World) handleSyncMessage(message syncMessage) {
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
	w.handleEnvelope(message.GetEnvelope())
}

// replyTo returns what the sender of an envelope is missing.
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
	w.envelopes.setDigest(w.verdicts.digest)
	return w.envelopes.Envelope()
}

// sync sends a request. With withDeltas it contains what the peer is believed
// to be missing; otherwise it only asks.
func (w *World) sync(to fleet.Address, reason SyncReason, withDeltas bool) {
	known := w.ensurePeer(to)
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

// pushedDelta returns the delta for a peer, or nil if it is too large to send
// unless the peer asks for it.
func (w *World) pushedDelta(id DocumentID, known *peerState) []byte {
	document := w.documents[id]
	// The peer's last claim may be old. It most likely has the revision that
	// was in force here before this update; if not, it pulls.
	since := max(known.revisions[id], document.pushedRevision)
	delta := document.replica.Delta(since)
	if len(delta) > w.config.MaxPushBytes {
		return nil
	}
	return delta
}

// handleSyncEnded processes the end of a request of this node.
func (w *World) handleSyncEnded(event SyncEnded) {
	w.ensurePeer(event.To).syncing = false
	w.join.recordAnswer(event.To, event.Err == nil)
	if event.Err == nil {
		w.handleSyncMessage(event.Reply)
	} else {
		w.tracker.CallFailed(event.To, w.now)
		w.partnerUntil = w.now
	}
	for _, document := range w.documents {
		w.endPull(document, event)
	}
}

// endPull ends the pull from a peer. Without the delay, a peer that claims a
// revision and does not deliver it would be asked again immediately, without
// end.
func (w *World) endPull(document *document, event SyncEnded) {
	if event.Err != nil {
		// Another peer is asked until this one claims a revision again.
		document.peersAhead.Delete(event.To)
	}
	if document.pulling != event.To {
		return
	}
	document.pulling = ""
	if claimed := document.peersAhead.Get(event.To); claimed != nil && *claimed > document.replica.Revision() {
		document.nextPullAt = w.now.Add(pullRetry)
	}
}

// pullRetry is the delay after a pull that did not deliver the claimed
// revision.
const pullRetry = 250 * time.Millisecond

// pushUpdates pushes a new revision to a few peers immediately. Each node does
// so once per revision, so an update costs each node FanOut requests and
// reaches nearly all nodes in a few steps; the exchanges cover the rest.
// Updates within the push interval are batched: otherwise, when a fleet starts,
// each node would push each registration.
func (w *World) pushUpdates(now time.Time) {
	if !w.reportRevisions() && !w.verdicts.unpushed {
		return
	}
	if due := w.pushDue(); w.join.done && now.Before(due) {
		w.wake(due)
		return
	}
	if w.join.done {
		w.pushedAt = now
		for _, peer := range w.peerSet.pick(w.random, w.config.FanOut, w.needsPush) {
			w.sync(peer, ReasonPush, true)
		}
	}
	w.verdicts.unpushed = false
	for _, document := range w.documents {
		document.pushedRevision = document.replica.Revision()
	}
}

// pushDue returns the earliest time of the next push. Nodes often start and
// stop many at a time, so updates of the list of nodes alone wait a little
// longer.
func (w *World) pushDue() time.Time {
	settings := w.documents[DocumentSettings]
	if settings.replica.Revision() > settings.pushedRevision || w.verdicts.unpushed {
		return w.pushedAt.Add(w.config.PushInterval)
	}
	return w.pushedAt.Add(w.config.MembersPushInterval)
}

// reportRevisions emits the revisions that have advanced, and reports whether
// any revision has not been pushed.
func (w *World) reportRevisions() bool {
	unpushed := false
	for _, document := range w.documents {
		revision := document.replica.Revision()
		unpushed = unpushed || revision > document.pushedRevision
		if revision > document.reportedRevision {
			document.reportedRevision = revision
			w.emit(RevisionAdvanced{Document: document.id, Revision: revision})
		}
	}
	return unpushed
}

// needsPush reports whether a peer can be called and has not claimed to have
// everything that this node has.
func (w *World) needsPush(peer fleet.Address) bool {
	known := w.peers.Get(peer)
	if known == nil {
		return true
	}
	behind := lo.SomeBy(w.documents[:], func(document *document) bool {
		return known.revisions[document.id] < document.replica.Revision()
	})
	return !known.syncing && (behind || known.digest != w.verdicts.digest)
}

// pullMissing requests a revision that a peer claims, from one peer at a time
// for each document.
func (w *World) pullMissing(now time.Time) {
	for _, document := range w.documents {
		peer, ok := document.bestPeer()
		if !ok || document.pulling != "" {
			continue
		}
		if now.Before(document.nextPullAt) {
			w.wake(document.nextPullAt)
			continue
		}
		document.pulling = peer
		if !w.ensurePeer(peer).syncing {
			w.sync(peer, ReasonPull, false)
		}
	}
}

// exchange compares revisions with one random peer each interval. It finds what
// pushes have missed because of a partition, a pause or lost messages.
func (w *World) exchange(now time.Time) {
	if now.Before(w.exchangeAt) {
		w.wake(w.exchangeAt)
		return
	}
	w.exchangeAt = now.Add(w.jittered(w.config.ExchangeInterval))
	w.wake(w.exchangeAt)
	if peer, ok := w.exchangePartner(now); ok {
		w.sync(peer, ReasonExchange, false)
	}
}

// exchangePartner returns the peer for the next exchange. It keeps the same
// peer for a while, to reuse the connection, and then selects another at
// random.
func (w *World) exchangePartner(now time.Time) (fleet.Address, bool) {
	known := w.peers.Get(w.exchangeWith)
	if now.Before(w.partnerUntil) && known != nil && !known.syncing {
		return w.exchangeWith, true
	}
	peer, ok := w.peerSet.pickOne(w.random, w.idle)
	if !ok {
		peer, ok = lo.First(sample(w.random, w.seeds(), 1, w.idle))
	}
	w.exchangeWith = peer
	w.partnerUntil = now.Add(w.config.PartnerTTL)
	return peer, ok
}

// idle reports whether no request to the peer is in progress.
func (w *World) idle(peer fleet.Address) bool {
	known := w.peers.Get(peer)
	return known == nil || !known.syncing
}

// seeds returns the peers named in the settings file, except this node.
func (w *World) seeds() []fleet.Address {
	return lo.Without(w.config.Seeds, w.config.Self.Control)
}
