package spread

import (
	"sync"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
)

// EnvelopeSource creates this node's envelopes. It is safe for concurrent use,
// so that a control message can get its envelope without a step of World.
type EnvelopeSource struct {
	self      fleet.Node
	documents [documentCount]Document

	mu             sync.Mutex
	leaving        bool
	leavingChanges uint32
	digest         uint64
}

// NewEnvelopeSource returns the envelope source of a node with its documents.
func NewEnvelopeSource(self fleet.Node, settings, members Document) *EnvelopeSource {
	return &EnvelopeSource{self: self, documents: [documentCount]Document{settings, members}}
}

// Envelope returns an envelope for one message.
func (s *EnvelopeSource) Envelope() *rpc.Envelope {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &rpc.Envelope{
		Sender:           string(s.self.Control),
		Incarnation:      s.self.Incarnation,
		SettingsRevision: s.documents[DocumentSettings].Revision(),
		MembersVersion:   s.documents[DocumentMembers].Revision(),
		VerdictsDigest:   s.digest,
		Leaving:          s.leaving,
		LeavingChanges:   s.leavingChanges,
	}
}

// SetLeaving sets whether the node accepts no new work, and reports whether
// that is a change.
func (s *EnvelopeSource) SetLeaving(leaving bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving == leaving {
		return false
	}
	s.leaving = leaving
	s.leavingChanges++
	return true
}

// setDigest sets the digest of the verdicts.
func (s *EnvelopeSource) setDigest(digest uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.digest = digest
}

// matches reports whether an envelope has the same revisions and verdicts as
// this node, so that there is nothing to exchange.
func (s *EnvelopeSource) matches(envelope *rpc.Envelope) bool {
	own := s.Envelope()
	return envelope.GetSettingsRevision() == own.GetSettingsRevision() &&
		envelope.GetMembersVersion() == own.GetMembersVersion() &&
		envelope.GetVerdictsDigest() == own.GetVerdictsDigest()
}
