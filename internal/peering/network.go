package peering

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/bluebellchute/bluebellchute/internal/daemon"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/peering/peeringpb"
)

// Network carries what routers tell each other.
type Network interface {
	// Serve hands a router what others and operators send it, until the context ends.
	Serve(ctx context.Context, router Receiver) error
	// Send sends a beat to another router. It may get lost: a router that can't be
	// reached is noticed by its silence.
	Send(beat []byte, to fleet.Address)
	// Pull asks another router for what it knows.
	Pull(ctx context.Context, router fleet.Address, request *peeringpb.PullRequest) (*peeringpb.PullReply, error)
}

// Receiver takes what arrives at a router.
type Receiver struct {
	Heartbeat func(ctx context.Context, beat []byte)
	Knowledge peeringpb.Knowledge
	Operation peeringpb.Operation
}

// sockets is the Network of a VM: datagrams and calls at one address.
type sockets struct {
	address fleet.Address
	socket  *net.UDPConn
	client  *http.Client
}

// listen returns the network of the router at the address.
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
			Timeout:   pullTimeout,
			Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true},
		},
	}, nil
}

// Serve implements Network.
func (s *sockets) Serve(ctx context.Context, router Receiver) error {
	stop := context.AfterFunc(ctx, func() { _ = s.socket.Close() }) // ends receive
	defer stop()
	mux := http.NewServeMux()
	mux.Handle(peeringpb.KnowledgePathPrefix, peeringpb.NewKnowledgeServer(router.Knowledge))
	mux.Handle(peeringpb.OperationPathPrefix, peeringpb.NewOperationServer(router.Operation))
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.receive(ctx, router.Heartbeat) })
	group.Go(func() error { return daemon.Serve(ctx, s.address, fleet.StepSpread, mux) })
	return group.Wait()
}

// receive takes beats until the socket is closed.
func (s *sockets) receive(ctx context.Context, take func(ctx context.Context, beat []byte)) error {
	buffer := make([]byte, beatMost)
	for {
		n, _, err := s.socket.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			// A datagram that could not be delivered may show here. The next
			// read works; a pause keeps a lasting fault from spinning.
			time.Sleep(time.Millisecond)
			continue
		}
		take(ctx, buffer[:n])
	}
}

// Send implements Network.
func (s *sockets) Send(beat []byte, to fleet.Address) {
	address, err := netip.ParseAddrPort(string(to))
	if err != nil {
		return // a directory entry that is no address
	}
	_, _ = s.socket.WriteToUDPAddrPort(beat, address)
}

// Pull implements Network.
func (s *sockets) Pull(ctx context.Context, router fleet.Address, request *peeringpb.PullRequest) (*peeringpb.PullReply, error) {
	return peeringpb.NewKnowledgeProtobufClient("http://"+string(router), s.client).Pull(ctx, request)
}
