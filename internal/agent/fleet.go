package agent

import (
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/membership"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
	"github.com/bluebellchute/bluebellchute/internal/settings"
)

// Fleet is what the agent needs of the shared knowledge of the fleet: the
// settings in force, the list of nodes, and the verdicts.
type Fleet interface {
	// Settings returns the revision in force, or nil before the first.
	Settings() settings.View
	// Members returns the nodes of the fleet.
	Members() membership.View
	// Verdicts returns the unexpired verdicts.
	Verdicts() []*rpc.Verdict
	// AddVerdict makes a verdict known to the fleet.
	AddVerdict(verdict *rpc.Verdict)
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
	// Envelope returns this node's envelope for a control message.
	Envelope() *rpc.Envelope
	// ReceiveEnvelope processes the envelope of another node's control message.
	ReceiveEnvelope(envelope *rpc.Envelope)
	// CallFailed counts a control call to a peer that got no answer.
	CallFailed(peer fleet.Address)
	// PlatformLeaving tells whether the platform's list says that this VM is
	// leaving.
	PlatformLeaving() bool
	// SetLeaving tells whether this node takes new work.
	SetLeaving(leaving bool)
}
