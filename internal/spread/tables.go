package spread

import (
	"time"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/platform"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
	"github.com/bluebellchute/bluebellchute/internal/tick"
)

// link is what a node knows of one peer.
type link struct {
	revisions [documentCount]uint64 // as last heard
	digest    uint64                // of the peer's verdicts, as last heard
	syncing   bool                  // a request to it is under way
}

// document is one replicated document with the state of its spread.
type document struct {
	id       DocumentID
	replica  Replica
	noted    uint64                             // revision that has been reported
	told     uint64                             // revision that has been pushed on
	ahead    *tick.Table[fleet.Address, uint64] // peers that claim a higher revision
	pulling  fleet.Address                      // peer that is asked for it, empty for none
	pullAt   time.Time                          // earliest time of the next pull
	platform platformState
}

// platformState is how a node stands with the platform for one document.
type platformState struct {
	busy      bool             // a call is under way
	version   platform.Version // from which a watch goes on; 0 asks for a load
	tried     bool             // a load has ended since the start
	compacted bool             // the version was too old for a watch
	failures  int              // in a row
	retryAt   time.Time        // after a failure
	// fallbackAt is the earliest time of the next load for want of peers.
	fallbackAt time.Time
}

// claim notes a peer's revision and tells whether it is ahead.
func (d *document) claim(peer fleet.Address, revision uint64) {
	if revision <= d.replica.Revision() {
		d.ahead.Delete(peer)
		return
	}
	d.ahead.Put(peer, &revision)
}

// best returns the peer with the highest claim above the own revision. Ties go
// to the lower address, so that a run can be repeated.
func (d *document) best() (fleet.Address, bool) {
	own := d.replica.Revision()
	var chosen fleet.Address
	var highest uint64
	d.ahead.Each(func(peer fleet.Address, revision *uint64) {
		switch {
		case *revision <= own:
			d.ahead.Delete(peer)
		case *revision > highest, *revision == highest && peer < chosen:
			chosen, highest = peer, *revision
		}
	})
	return chosen, highest > 0
}

// deltaOf returns the field of a message that carries the document.
func (d *document) deltaOf(message syncMessage) []byte {
	if d.id == DocumentSettings {
		return message.GetSettings()
	}
	return message.GetMembers()
}

// syncMessage is what requests and replies have in common.
type syncMessage interface {
	GetEnvelope() *rpc.Envelope
	GetSettings() []byte
	GetMembers() []byte
	GetVerdicts() []*rpc.Verdict
}

// claimOf returns the revision of a document that an envelope claims.
func claimOf(envelope *rpc.Envelope, id DocumentID) uint64 {
	if id == DocumentSettings {
		return envelope.GetSettingsRevision()
	}
	return envelope.GetMembersVersion()
}
