package spread

import (
	"time"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/platform"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
	"github.com/bluebellchute/bluebellchute/internal/tick"
)

// peerState is what a node knows about one peer.
type peerState struct {
	revisions [documentCount]uint64 // as last received
	digest    uint64                // of the peer's verdicts, as last received
	syncing   bool                  // a request to the peer is in progress
}

// document is one replicated document with its synchronization state.
type document struct {
	id               DocumentID
	replica          Replica
	reportedRevision uint64                             // last revision emitted in RevisionAdvanced
	pushedRevision   uint64                             // highest revision that needs no further push
	peersAhead       *tick.Table[fleet.Address, uint64] // peers that claim a higher revision
	pulling          fleet.Address                      // peer that is being asked for it, empty for none
	nextPullAt       time.Time                          // earliest time of the next pull
	platform         platformState
}

// platformState is the state of a document's platform calls.
type platformState struct {
	busy          bool             // a call is in progress
	version       platform.Version // from which a watch continues; 0 requires a load
	loadAttempted bool             // a load has ended since the start, successfully or not
	compacted     bool             // the version was too old for a watch
	failures      int              // consecutive
	retryAt       time.Time        // earliest time of the next call after a failure
	// fallbackAt is the earliest time of the next load of a node without peers.
	fallbackAt time.Time
}

// recordClaim records whether a peer's revision is ahead of this node's.
func (d *document) recordClaim(peer fleet.Address, revision uint64) {
	if revision <= d.replica.Revision() {
		d.peersAhead.Delete(peer)
		return
	}
	d.peersAhead.Put(peer, &revision)
}

// bestPeer returns the peer with the highest claimed revision above this
// node's. The lower address wins a tie, so that runs are reproducible.
func (d *document) bestPeer() (fleet.Address, bool) {
	own := d.replica.Revision()
	var chosen fleet.Address
	var highest uint64
	d.peersAhead.Each(func(peer fleet.Address, revision *uint64) {
		switch {
		case *revision <= own:
			d.peersAhead.Delete(peer)
		case *revision > highest, *revision == highest && peer < chosen:
			chosen, highest = peer, *revision
		}
	})
	return chosen, highest > 0
}

// deltaOf returns the field of a message that contains the document's delta.
func (d *document) deltaOf(message syncMessage) []byte {
	if d.id == DocumentSettings {
		return message.GetSettings()
	}
	return message.GetMembers()
}

// syncMessage is the common interface of requests and replies.
type syncMessage interface {
	GetEnvelope() *rpc.Envelope
	GetSettings() []byte
	GetMembers() []byte
	GetVerdicts() []*rpc.Verdict
}

// claimedRevision returns the revision of a document that an envelope claims.
func claimedRevision(envelope *rpc.Envelope, id DocumentID) uint64 {
	if id == DocumentSettings {
		return envelope.GetSettingsRevision()
	}
	return envelope.GetMembersVersion()
}
