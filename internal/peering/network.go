package peering

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/bluebellchute/bluebellchute/internal/answerhead"
	"github.com/bluebellchute/bluebellchute/internal/daemon"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/peering/peeringpb"
)

const (
	// maxCallHeaderBytes bounds the header of a reply. Routers send a few short fields.
	maxCallHeaderBytes = 16 << 10
	// maxReplyBytes bounds a reply. The largest has a configuration, which is an object of the
	// store of a megabyte at most, and a list of some 250 bytes for each backend server.
	maxReplyBytes = 8 << 20
	// maxDatagramBytes is the most that a datagram of UDP over IPv4 carries. In a smaller buffer it
	// would be cut, and a part of a heartbeat may be a valid one.
	maxDatagramBytes = 1<<16 - 1 - 20 - 8
	// maxRequestBytes bounds the body of a request. The largest has an operator's reason.
	maxRequestBytes = 64 << 10
)

// Network carries messages between routers.
type Network interface {
	// Serve passes incoming messages and calls to the receiver until the context ends.
	Serve(ctx context.Context, router Receiver) error
	// Send sends a heartbeat to another router. Delivery is not guaranteed; an
	// unreachable router is detected by its missing heartbeats.
	Send(heartbeat []byte, to fleet.Address)
	// Pull requests the fleet state that another router holds.
	Pull(ctx context.Context, router fleet.Address, request *peeringpb.PullRequest) (*peeringpb.PullReply, error)
}

// Receiver handles the messages and calls that arrive at a router.
type Receiver struct {
	Heartbeat func(ctx context.Context, heartbeat []byte)
	Knowledge peeringpb.Knowledge
	Operation peeringpb.Operation
}

// sockets implements Network with datagrams and calls at one address.
type sockets struct {
	address fleet.Address
	socket  *net.UDPConn
	client  *http.Client
}

// listen opens the sockets of the router at the address.
func listen(address fleet.Address) (*sockets, error) {
	parsed, err := netip.ParseAddrPort(string(address))
	if err != nil {
		return nil, fleet.Wrap(err, fleet.StepSpread, address)
	}
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(parsed))
	if err != nil {
		return nil, fleet.Wrap(err, fleet.StepSpread, address)
	}
	dialer := &net.Dialer{Timeout: pullTimeout}
	return &sockets{
		address: address,
		socket:  socket,
		client: &http.Client{
			Timeout: pullTimeout,
			Transport: BoundedTransport(&http.Transport{
				DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true,
			}),
		},
	}, nil
}

// BoundedTransport returns a transport for calls to routers: the heads of their replies must be valid
// and state the framing, and replies are bounded in size. It changes the given one.
func BoundedTransport(transport *http.Transport) http.RoundTripper {
	transport.MaxResponseHeaderBytes = maxCallHeaderBytes
	return fleet.LimitReplies(fleet.RequireFraming(answerhead.RequireValid(transport)), maxReplyBytes)
}

// Serve implements Network.
func (s *sockets) Serve(ctx context.Context, router Receiver) error {
	stop := context.AfterFunc(ctx, func() { _ = s.socket.Close() }) // unblocks receive
	defer stop()
	mux := http.NewServeMux()
	mux.Handle(peeringpb.KnowledgePathPrefix, peeringpb.NewKnowledgeServer(router.Knowledge))
	mux.Handle(peeringpb.OperationPathPrefix, peeringpb.NewOperationServer(router.Operation))
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.receive(ctx, router.Heartbeat) })
	group.Go(func() error {
		return daemon.Serve(ctx, s.address, fleet.StepSpread, http.MaxBytesHandler(mux, maxRequestBytes))
	})
	return group.Wait()
}

// receive handles heartbeats until the socket is closed.
func (s *sockets) receive(ctx context.Context, handle func(ctx context.Context, heartbeat []byte)) error {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, _, err := s.socket.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			// The error may be about an earlier datagram that could not be delivered, and
			// the next read succeeds. The pause avoids a busy loop on a persistent error.
			time.Sleep(time.Millisecond)
			continue
		}
		handle(ctx, buffer[:n])
	}
}

// Send implements Network.
func (s *sockets) Send(heartbeat []byte, to fleet.Address) {
	address, err := netip.ParseAddrPort(string(to))
	if err != nil {
		return // invalid address in the directory
	}
	_, _ = s.socket.WriteToUDPAddrPort(heartbeat, address)
}

// Pull implements Network.
func (s *sockets) Pull(ctx context.Context, router fleet.Address, request *peeringpb.PullRequest) (*peeringpb.PullReply, error) {
	return peeringpb.NewKnowledgeProtobufClient("http://"+string(router), s.client).Pull(ctx, request)
}
