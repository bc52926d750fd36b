package control

import (
	"context"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/bluebellchute/bluebellchute/internal/rpc"
)

// namedAgent replies with an envelope whose sender differs from the called address.
type namedAgent struct{ rpc.Agent }

func (namedAgent) Offer(context.Context, *rpc.OfferRequest) (*rpc.OfferReply, error) {
	return &rpc.OfferReply{Envelope: &rpc.Envelope{Sender: "10.0.0.1:1", Incarnation: 7}}, nil
}

// TestRepliesNameTheirSender checks that the sender of a reply is omitted in
// transit, and that the client sets it to the called address.
func TestRepliesNameTheirSender(t *testing.T) {
	n := startNode(t, rpc.NewAgentServer(namedAgent{}, WithoutSender()))
	pool := NewPool("secret", NewMetrics(prometheus.NewRegistry()))
	defer pool.Close()
	reply, err := pool.Agent(n.address).Offer(t.Context(), &rpc.OfferRequest{})
	if err != nil {
		t.Fatal(err)
	}
	if reply.Envelope.Sender != string(n.address) || reply.Envelope.Incarnation != 7 {
		t.Errorf("envelope %v, want the sender %s", reply.Envelope, n.address)
	}
}
