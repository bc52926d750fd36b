package control

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
)

const (
	// dialTimeout bounds the time to open a connection.
	dialTimeout = 700 * time.Millisecond
	// idleTimeout is the time after which an idle connection is closed, so that
	// hundreds of peers without calls to each other use no memory.
	idleTimeout = 10 * time.Second
)

// Pool calls the services of a node's peers. All calls to a peer share one
// connection. The pool never retries a call.
type Pool struct {
	token     token
	metrics   *Metrics
	transport *http.Transport
	fresh     *http.Transport
}

// NewPool returns a Pool that has no connections yet. secret is the token that
// all nodes of the fleet share.
func NewPool(secret string, metrics *Metrics) *Pool {
	p := &Pool{token: newToken(secret), metrics: metrics}
	p.transport = p.newTransport()
	p.fresh = p.newTransport()
	p.fresh.DisableKeepAlives = true
	return p
}

// Agent returns a client of the agent at a control address. Clients are cheap to
// create and safe to keep.
func (p *Pool) Agent(address fleet.Address) rpc.Agent {
	return rpc.NewAgentProtobufClient(baseURL(address), p.client(p.transport), interceptor(address))
}

// FreshAgent returns a client that opens a new connection for each call, for
// calls that can't wait until a dead shared connection is detected.
func (p *Pool) FreshAgent(address fleet.Address) rpc.Agent {
	return rpc.NewAgentProtobufClient(baseURL(address), p.client(p.fresh), interceptor(address))
}

// Router returns a client of the router at a control address.
func (p *Pool) Router(address fleet.Address) rpc.Router {
	return rpc.NewRouterProtobufClient(baseURL(address), p.client(p.transport), interceptor(address))
}

// Peer returns a client of the node at a control address, for either role.
func (p *Pool) Peer(address fleet.Address) rpc.Peer {
	return rpc.NewPeerProtobufClient(baseURL(address), p.client(p.transport), interceptor(address))
}

// Close closes the idle connections.
func (p *Pool) Close() {
	p.transport.CloseIdleConnections()
	p.fresh.CloseIdleConnections()
}

func baseURL(address fleet.Address) string { return "http://" + string(address) }

func (p *Pool) client(transport *http.Transport) *http.Client {
	return &http.Client{Transport: countingTransport{pool: p, next: transport}}
}

func (p *Pool) newTransport() *http.Transport {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{
		Protocols:       &protocols,
		IdleConnTimeout: idleTimeout,
		HTTP2:           &http.HTTP2Config{WriteByteTimeout: probeDelay + probeTimeout},
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return p.newConn(conn, transport, fleet.Address(address)), nil
	}
	return transport
}

// countingTransport adds the token to each request and counts the bytes of the
// bodies.
type countingTransport struct {
	pool *Pool
	next *http.Transport
}

// RoundTrip implements http.RoundTripper.
func (t countingTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	class := classOfPath(request.URL.Path)
	authorized := request.Clone(withReplyTracking(request.Context()))
	t.pool.token.addTo(authorized.Header)
	t.pool.metrics.addBody(class, directionOut, int(authorized.ContentLength))
	response, err := t.next.RoundTrip(authorized)
	if err != nil {
		return nil, err
	}
	response.Body = countingBody{ReadCloser: response.Body, metrics: t.pool.metrics, class: class}
	return response, nil
}

// interceptor limits the time of each call and adds the step and the peer to its
// error. errors.As still finds the wrapped twirp.Error.
func interceptor(peer fleet.Address) twirp.ClientOption {
	return twirp.WithClientInterceptors(func(next twirp.Method) twirp.Method {
		return func(ctx context.Context, request any) (any, error) {
			name, _ := twirp.MethodName(ctx)
			method := methodByName(name)
			bounded, cancel := context.WithTimeout(ctx, method.timeout)
			defer cancel()
			response, err := next(bounded, request)
			if err == nil {
				restoreSender(response, peer)
			}
			return response, fleet.Wrap(err, method.step, peer)
		}
	})
}
