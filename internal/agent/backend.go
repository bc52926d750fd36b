package agent

import (
	"context"
	"encoding/json"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/lo"
	"github.com/valyala/fasthttp"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
)

// Times of the connections to the backend server.
const (
	dialTimeout      = time.Second
	keepAlive        = time.Second
	plainIdle        = 500 * time.Millisecond // below the idle timeouts of usual servers
	minEngineSilence = time.Second
	maxEngineSilence = 8 * time.Second
	copyBuffer       = 16 << 10
)

// Headers and paths of the backend server's interface.
const (
	headerRequestID = "X-Request-Id"
	streamsPath     = "/v1/streams/"
	healthPath      = "/healthz"
	loadPath        = "/load"
)

// backend reaches the backend server beside this agent.
type backend struct {
	address fleet.Address
	plain   *fasthttp.HostClient // calls, whose connections are kept for a short time
	probes  *fasthttp.HostClient // health checks and cancels
}

func newBackend(address fleet.Address) *backend {
	b := &backend{address: address}
	b.plain = b.newClient(maxPlainConns)
	b.plain.StreamResponseBody = true
	b.probes = b.newClient(maxProbeConns)
	return b
}

// newClient returns a client that never repeats a call by itself: it can't
// know whether a call whose connection broke has run.
func (b *backend) newClient(connections int) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                      string(b.address),
		Dial:                      b.dialKept,
		MaxConns:                  connections,
		MaxIdleConnDuration:       plainIdle,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		DisablePathNormalizing:    true,
		NoDefaultUserAgentHeader:  true,
	}
}

// Bounds of the connections to the backend server.
const (
	maxPlainConns = 4096
	maxProbeConns = 64
)

// dialError tells that no connection came about, so nothing was sent.
type dialError struct{ error }

func isDialError(err error) bool {
	var dial dialError
	return errors.As(err, &dial)
}

func (b *backend) dial(ctx context.Context, silence time.Duration) (*backendConn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}
	conn, err := dialer.DialContext(ctx, "tcp", string(b.address))
	if err != nil {
		return nil, dialError{errors.WithStack(err)}
	}
	return newBackendConn(&progressConn{Conn: conn, read: silence, write: writeTimeout}), nil
}

func (b *backend) dialKept(string) (net.Conn, error) {
	conn, err := b.dial(context.Background(), 0)
	if err != nil {
		return nil, err
	}
	return &keptConn{backendConn: conn}, nil
}

// fillRequest makes the request for the backend server.
func (b *backend) fillRequest(request *fasthttp.Request, id fleet.RequestID, run *rpc.RunRequest) {
	request.Header.SetMethod(lo.CoalesceOrEmpty(run.Method, fasthttp.MethodPost))
	request.SetRequestURI(run.Path)
	request.Header.SetHost(string(b.address))
	for _, header := range run.Headers {
		if !keepsBack(header.Name) {
			request.Header.Add(header.Name, header.Value)
		}
	}
	request.Header.Set(headerRequestID, id.String())
	request.SetBodyRaw(run.Body)
}

// fillResume makes the request that continues a model engine's stream.
func (b *backend) fillResume(request *fasthttp.Request, id fleet.RequestID, offset uint64) {
	request.Header.SetMethod(fasthttp.MethodGet)
	request.SetRequestURI(streamsPath + id.String() + "?offset=" + strconv.FormatUint(offset, 10))
	request.Header.SetHost(string(b.address))
	request.Header.Set(headerRequestID, id.String())
}

// healthy makes one health check.
func (b *backend) healthy() bool { return b.get(healthPath, nil) == nil }

// get reads one of the backend server's own pages; into may be nil.
func (b *backend) get(path string, into any) error {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + string(b.address) + path)
	err := onQuietConn(func() error { return b.probes.DoTimeout(request, response, healthTimeout) })
	if err != nil {
		return fleet.Wrap(err, fleet.StepRun, b.address)
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return fleet.Errorf(fleet.StepRun, b.address, "%s: status %d", path, response.StatusCode())
	}
	if into == nil {
		return nil
	}
	return fleet.Wrap(json.Unmarshal(response.Body(), into), fleet.StepRun, b.address)
}

// cancelStream tells a model engine that nobody wants the answer.
func (b *backend) cancelStream(id fleet.RequestID) error {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodDelete)
	request.SetRequestURI("http://" + string(b.address) + streamsPath + id.String())
	err := onQuietConn(func() error { return b.probes.DoTimeout(request, response, dialTimeout) })
	return fleet.Wrap(err, fleet.StepRun, b.address)
}

// keepsBack tells whether a header belongs to one connection, or is one that
// each server writes by itself.
func keepsBack(name string) bool {
	name = strings.ToLower(name)
	if fleet.IsHopByHop(name) {
		return true
	}
	switch name {
	case "date", "server":
		return true
	}
	return false
}

// headOf takes the head of a backend server's response.
func headOf(response *fasthttp.Response) *rpc.AnswerHead {
	head := &rpc.AnswerHead{Status: uint32(response.StatusCode())}
	for name, value := range response.Header.All() {
		if !keepsBack(string(name)) {
			head.Headers = append(head.Headers, &rpc.Header{Name: string(name), Value: string(value)})
		}
	}
	return head
}
