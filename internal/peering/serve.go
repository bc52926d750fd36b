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

// server serves calls from other routers.
type server struct {
	state *knowledge.State

	mu       sync.Mutex
	position knowledge.Position // of the encoded list
	digest   uint64
	encoded  []byte // nil if there is none
}

// Pull implements peeringpb.Knowledge. It also serves a router that has only the
// configuration or only the list. When a whole fleet starts and the store rejects calls,
// some routers get the configuration first and others the list, and all would wait for a
// router that has both.
func (s *server) Pull(_ context.Context, request *peeringpb.PullRequest) (*peeringpb.PullReply, error) {
	view := s.state.View()
	if view.Index == nil && view.ListConfirmedAt == 0 {
		return nil, twirp.NewError(twirp.Unavailable, "nothing is known yet")
	}
	now := boottime.Now()
	reply := &peeringpb.PullReply{
		Version:   view.Version(),
		ConfigAge: configurationAge(view, now),
		Era:       view.Position.Era,
		Revision:  view.Position.Revision,
		ListAge:   ageAt(view.ListConfirmedAt, now),
	}
	var err error
	if view.Version() > request.Version {
		if reply.Configuration, err = json.Marshal(view.Index.Configuration); err != nil {
			return nil, twirp.InternalErrorWith(err)
		}
	}
	if err = s.addList(reply, request, view); err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return reply, nil
}

// addList adds the list of backend servers to a reply, as changes if they are known from
// the caller's position on. In full, each change would cost each router as much as the
// whole list.
func (s *server) addList(reply *peeringpb.PullReply, request *peeringpb.PullRequest, view *knowledge.View) (err error) {
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

// encode returns the encoded list of backend servers. Routers that start together request
// it at the same time, and encoding thousands of entries takes long on a small VM, so the
// result is cached.
func (s *server) encode(view *knowledge.View) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.encoded != nil && len(view.MissingSince) == 0 && s.position == view.Position && s.digest == view.Digest {
		return s.encoded, nil
	}
	encoded, err := json.Marshal(presentBackends(view))
	if err != nil {
		return nil, err
	}
	s.encoded = nil // the list without missing servers is valid only now
	if len(view.MissingSince) == 0 {
		s.position, s.digest, s.encoded = view.Position, view.Digest, encoded
	}
	return encoded, nil
}

// presentBackends returns the backend servers without the missing ones, which are only
// kept because they may come back.
func presentBackends(view *knowledge.View) []knowledge.Backend {
	backends := make([]knowledge.Backend, 0, len(view.Backends))
	for id, backend := range view.Backends {
		if _, missing := view.MissingSince[id]; !missing {
			backends = append(backends, *backend)
		}
	}
	return backends
}
