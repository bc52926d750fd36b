package peering

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/twitchtv/twirp"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
	"github.com/bluebellchute/bluebellchute/internal/peering/peeringpb"
)

// server answers the calls of other routers.
type server struct {
	state *knowledge.State

	mu       sync.Mutex
	position knowledge.Position // of the encoded list
	digest   uint64
	encoded  []byte // nil for none
}

// Pull implements peeringpb.Knowledge. A router that knows one of the two tells it:
// when a whole fleet starts and the store turns calls away, some have the
// configuration first and others the list, and all wait for a router that has both.
func (s *server) Pull(_ context.Context, request *peeringpb.PullRequest) (*peeringpb.PullReply, error) {
	view := s.state.View()
	if view.Index == nil && view.ListConfirmedAt == 0 {
		return nil, twirp.NewError(twirp.Unavailable, "nothing is known yet")
	}
	now := boottime.Now()
	reply := &peeringpb.PullReply{
		Version:   view.Version(),
		ConfigAge: age(view.ConfigurationConfirmedAt, now),
		Era:       view.Position.Era,
		Revision:  view.Position.Revision,
		ListAge:   age(view.ListConfirmedAt, now),
	}
	var err error
	if view.Version() > request.Version {
		if reply.Configuration, err = json.Marshal(view.Index.Configuration); err != nil {
			return nil, twirp.InternalErrorWith(err)
		}
	}
	if err = s.tellList(reply, request, view); err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return reply, nil
}

// tellList tells a caller the list of backend servers, as changes if it knows one that
// these lead on from. Told whole, each change would cost as much as the list is long, at
// each router.
func (s *server) tellList(reply *peeringpb.PullReply, request *peeringpb.PullRequest, view *knowledge.View) (err error) {
	known := knowledge.Position{Era: request.Era, Revision: request.Revision}
	if view.ListConfirmedAt == 0 || known == view.Position {
		return nil
	}
	changes, traced := view.ChangesSince(known)
	if !traced || !request.AcceptsChanges {
		reply.Backends, err = s.encode(view)
		return err
	}
	reply.Changes, reply.Removed = true, changes.Removed
	if len(view.MissingSince) == 0 {
		reply.Digest = view.Digest
	}
	if len(changes.Changed) > 0 {
		reply.Changed, err = json.Marshal(changes.Changed)
	}
	return err
}

// encode returns the list of backend servers as it is told. All routers that start at
// once ask for it within a moment, and encoding a list of thousands takes a small VM long,
// so it is done once for all of them.
func (s *server) encode(view *knowledge.View) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.encoded != nil && len(view.MissingSince) == 0 && s.position == view.Position && s.digest == view.Digest {
		return s.encoded, nil
	}
	encoded, err := json.Marshal(listed(view))
	if err != nil {
		return nil, err
	}
	s.encoded = nil // what is left out for being absent holds for this moment only
	if len(view.MissingSince) == 0 {
		s.position, s.digest, s.encoded = view.Position, view.Digest, encoded
	}
	return encoded, nil
}

// listed returns the backend servers but for those that are only kept because
// they may come back.
func listed(view *knowledge.View) []knowledge.Backend {
	backends := make([]knowledge.Backend, 0, len(view.Backends))
	for id, backend := range view.Backends {
		if _, absent := view.MissingSince[id]; !absent {
			backends = append(backends, *backend)
		}
	}
	return backends
}
