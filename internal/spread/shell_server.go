package spread

import (
	"context"
	"sync"

	"github.com/twitchtv/twirp"

	"github.com/bluebellchute/bluebellchute/internal/rpc"
)

var _ rpc.Peer = (*Manager)(nil)

// replies matches requests of peers with the replies of World.
type replies struct {
	mu      sync.Mutex
	last    uint64
	waiting map[uint64]chan *rpc.SyncReply
}

func newReplies() replies { return replies{waiting: make(map[uint64]chan *rpc.SyncReply)} }

// open returns a token and the channel that will receive its reply.
func (r *replies) open() (uint64, <-chan *rpc.SyncReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last++
	reply := make(chan *rpc.SyncReply, 1)
	r.waiting[r.last] = reply
	return r.last, reply
}

// answer delivers a reply.
func (r *replies) answer(command Reply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if reply, ok := r.waiting[command.Token]; ok {
		reply <- command.Reply
		delete(r.waiting, command.Token)
	}
}

// close removes a token.
func (r *replies) close(token uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.waiting, token)
}

// Sync implements rpc.Peer.
func (m *Manager) Sync(ctx context.Context, request *rpc.SyncRequest) (*rpc.SyncReply, error) {
	if request.GetEnvelope().GetSender() == "" {
		return nil, twirp.RequiredArgumentError("envelope")
	}
	token, reply := m.replies.open()
	defer m.replies.close(token)
	if !m.loop.Send(SyncReceived{Token: token, Request: request}) {
		return nil, twirp.NewError(twirp.Unavailable, "this node is stopping")
	}
	select {
	case answer := <-reply:
		return answer, nil
	case <-m.loop.Done():
		return nil, twirp.NewError(twirp.Unavailable, "this node is stopping")
	case <-ctx.Done():
		return nil, twirp.NewError(twirp.DeadlineExceeded, "the caller has gone")
	}
}

// Status implements rpc.Peer.
func (m *Manager) Status(_ context.Context, request *rpc.StatusRequest) (*rpc.StatusReply, error) {
	if request.GetEnvelope() != nil {
		m.ReceiveEnvelope(request.GetEnvelope())
	}
	status := &rpc.StatusReply{}
	if m.options.Status != nil {
		status = m.options.Status()
	}
	status.Envelope = m.Envelope()
	return status, nil
}
