package spread

import (
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/platform"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
)

// DocumentID identifies one of the replicated documents.
type DocumentID int

// The replicated documents.
const (
	DocumentSettings DocumentID = iota
	DocumentMembers
	documentCount
)

// String returns the name used in logs and metrics.
func (d DocumentID) String() string {
	return [documentCount]string{"settings", "members"}[d]
}

// Event is an input of World.
type Event interface{ isEvent() }

// EnvelopeReceived carries the envelope of any control message of a peer.
type EnvelopeReceived struct{ Envelope *rpc.Envelope }

// SyncReceived carries a peer's request; the reply must carry the token.
type SyncReceived struct {
	Token   uint64
	Request *rpc.SyncRequest
}

// SyncEnded carries the reply to a request of this node, or its error.
type SyncEnded struct {
	To    fleet.Address
	Reply *rpc.SyncReply
	Err   error
}

// LoadEnded reports that a document was read from the platform, or the error.
type LoadEnded struct {
	Document DocumentID
	Version  platform.Version
	Err      error
}

// WatchEnded reports that a watch returned and its changes, if any, were
// applied, or the error.
type WatchEnded struct {
	Document DocumentID
	Version  platform.Version
	Err      error
}

// VMsRead carries a reading of the platform's list of VMs, or its error.
type VMsRead struct {
	VMs []platform.VM
	Err error
}

// RegisterEnded carries the result of writing this node's own record.
type RegisterEnded struct {
	Leaving bool // as written
	Version platform.Version
	Err     error
}

// LeavingSet states whether this node accepts no new work.
type LeavingSet struct{ Leaving bool }

// VerdictReached carries a verdict that this node reached.
type VerdictReached struct{ Verdict *rpc.Verdict }

func (EnvelopeReceived) isEvent() {}
func (SyncReceived) isEvent()     {}
func (SyncEnded) isEvent()        {}
func (LoadEnded) isEvent()        {}
func (WatchEnded) isEvent()       {}
func (VMsRead) isEvent()          {}
func (RegisterEnded) isEvent()    {}
func (LeavingSet) isEvent()       {}
func (VerdictReached) isEvent()   {}
