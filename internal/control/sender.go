package control

import (
	"context"

	"github.com/twitchtv/twirp"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
)

// enveloped is a message with an envelope.
type enveloped interface{ GetEnvelope() *rpc.Envelope }

// WithoutSender leaves the sender out of the envelopes of a service's replies.
// The caller knows whom it called, and the address would be a third of most
// replies; the Pool puts it back. Each reply must have an envelope of its own.
func WithoutSender() twirp.ServerOption {
	return twirp.WithServerInterceptors(leaveOutSender)
}

// leaveOutSender is a server's interceptor.
func leaveOutSender(next twirp.Method) twirp.Method {
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

// putBackSender names the peer in the envelope of its reply.
func putBackSender(response any, peer fleet.Address) {
	message, ok := response.(enveloped)
	if !ok {
		return
	}
	if envelope := message.GetEnvelope(); envelope != nil && envelope.Sender == "" {
		envelope.Sender = string(peer)
	}
}
