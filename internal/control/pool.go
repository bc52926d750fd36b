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
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 700 * time.Millisecond
	// idleTimeout closes connections without calls, so that hundreds of peers
	// that have nothing to say to each other cost no memory.
	idleTimeout = 10 * time.Second
)

// Pool calls the services of a node's peers. All calls to one peer share a
// connection. A call is never repeated by the pool.
type Pool struct {
	token     token
	metrics   *Metrics
	transport *http.Transport
	fresh     *http.Transport
}

// NewPool returns a pool without connections. secret is the token that all
// nodes of the fleet share.
func NewPool(secret string, metrics *Metrics) *Pool {
	p := &Pool{token: newToken(secret), metrics: metrics}
	p.transport = p.newTransport()
	p.fresh = p.newTransport()
	p.fresh.DisableKeepAlives = true
	return p
}

// Agent returns a client of the agent at a control address. Clients are cheap
// and may be kept or thrown away.
func (p *Pool) Agent(address fleet.Address) rpc.Agent {
	return rpc.NewAgentProtobufClient(baseURL(address), p.client(p.transport), interceptor(address))
}

// FreshAgent returns a client that opens a new connection for each call. It is
// for calls that must not wait until a silent connection has been found.
func (p *Pool) FreshAgent(address fleet.Address) rpc.Agent {
	return rpc.NewAgentProtobufClient(baseURL(address), p.client(p.fresh), interceptor(address))
}

// Router returns a client of the router at a control address.
func (p *Pool) Router(address fleet.Address) rpc.Router {
	return rpc.NewRouterProtobufClient(baseURL(address), p.client(p.transport), interceptor(address))
}

// Peer returns a client of the node at a control address, whatever its role.
func (p *Pool) Peer(address fleet.Address) rpc.Peer {
	return rpc.NewPeerProtobufClient(baseURL(address), p.client(p.transport), interceptor(address))
}

// Close closes the connections that carry no call.
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
		HTTP2:           &http.HTTP2Config{WriteByteTimeout: probeAfter + probeTimeout},
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

// countingTransport adds the token to each request and counts the bodies.
type countingTransport struct {
	pool *Pool
	next *http.Transport
}

// RoundTrip implements http.RoundTripper.
func (t countingTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	class := classOfPath(request.URL.Path)
	signed := request.Clone(watchCalls(request.Context()))
	t.pool.token.sign(signed.Header)
	t.pool.metrics.addBody(class, directionOut, int(signed.ContentLength))
	response, err := t.next.RoundTrip(signed)
	if err != nil {
		return nil, err
	}
	response.Body = countingBody{ReadCloser: response.Body, metrics: t.pool.metrics, class: class}
	return response, nil
}

// interceptor bounds the time of each call and gives its error the step and
// the peer. errors.As still finds the twirp.Error inside.
func interceptor(peer fleet.Address) twirp.ClientOption {
	return twirp.WithClientInterceptors(func(next twirp.Method) twirp.Method {
		return func(ctx context.Context, request any) (any, error) {
			name, _ := twirp.MethodName(ctx)
			method := methodNamed(name)
			bounded, cancel := context.WithTimeout(ctx, method.timeout)
			defer cancel()
			response, err := next(bounded, request)
			if err == nil {
				putBackSender(response, peer)
			}
			return response, fleet.Wrap(err, method.step, peer)
		}
	})
}
