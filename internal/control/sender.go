package control

import (
	"context"

	"github.com/twitchtv/twirp"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
)

// enveloped is a message with an envelope.
type enveloped interface{ GetEnvelope() *rpc.Envelope }

// WithoutSender omits the sender from the envelopes of a service's replies. The
// address would be a third of most replies, and the client knows it: Pool restores
// it. Each reply must have an envelope of its own.
func WithoutSender() twirp.ServerOption {
	return twirp.WithServerInterceptors(omitSender)
}

// omitSender is the server interceptor of WithoutSender.
func omitSender(next twirp.Method) twirp.Method {
	return func(ctx context.Context, request any) (any, error) {
		response, err := next(ctx, request)
		if message, ok := response.(enveloped); ok && err == nil {
			if envelope := message.GetEnvelope(); envelope != nil {
				envelope.Sender = ""
			}
		}
		return response, err
	}
}

// restoreSender sets the sender in the envelope of a peer's reply.
func restoreSender(response any, peer fleet.Address) {
	message, ok := response.(enveloped)
	if !ok {
		return
	}
	if envelope := message.GetEnvelope(); envelope != nil && envelope.Sender == "" {
		envelope.Sender = string(peer)
	}
}
