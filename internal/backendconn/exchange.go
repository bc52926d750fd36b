package backendconn

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

const (
	// smallRequest is the size up to which a request is written before its
	// answer is read. A larger one may fill the connection's window while the
	// backend server waits for its early answer to be read.
	smallRequest = 4096
	// strayAnswers is how many answers to earlier requests are passed over on
	// one connection.
	strayAnswers = 2
)

// Request is a request in the form in which it is sent.
type Request struct {
	Method string
	URI    string // path and query as the caller wrote them
	Host   string
	Header http.Header // without Host and Content-Length
	Body   []byte
	// MatchesRequest tells by its header whether an answer belongs to this request.
	MatchesRequest func(header http.Header) bool
	// MaxConnections bounds the connections to the backend server.
	MaxConnections int
	// BeforeSend is asked once the connection is open; an error means that nothing is sent.
	// nil for nothing to ask.
	BeforeSend func() error
	// OnSend is called right before the first byte is sent; nil for nothing.
	OnSend func()
}

// Answer is the head of an answer and the means to read its body.
type Answer struct {
	Status int
	Header http.Header
	// Length is the length of the body, -1 if unknown.
	Length int64

	body     io.ReadCloser
	pool     *Pool
	address  fleet.Address
	conn     *conn
	stop     func() bool
	written  *atomic.Bool
	keep     bool
	reusable time.Duration
	ended    bool
	broken   bool // reading the body failed, and not because of this router
}

// ErrCallerDisconnected tells that the caller left before anything was sent.
var ErrCallerDisconnected = errors.New("the caller has left")

// check returns why the request is not to be sent, or nil.
func (r *Request) check() error {
	if r.BeforeSend == nil {
		return nil
	}
	return r.BeforeSend()
}

// Do sends the request to the address and returns the head of its answer. The
// caller must Close the answer. Once the context ends, the connection is
// closed, which makes the backend server stop.
func (p *Pool) Do(ctx context.Context, address fleet.Address, request *Request) (*Answer, error) {
	c, err := p.get(ctx, address, request.MaxConnections)
	if err != nil {
		return nil, failed(err, ProgressNone, fleet.StepSend, address)
	}
	if ctx.Err() != nil {
		p.discard(address, c, ReasonAbandoned)
		return nil, failed(ctx.Err(), ProgressNone, fleet.StepSend, address)
	}
	if err := request.check(); err != nil {
		p.discard(address, c, ReasonAbandoned)
		return nil, failed(err, ProgressNone, fleet.StepSend, address)
	}
	if request.OnSend != nil {
		request.OnSend()
	}
	stop := context.AfterFunc(ctx, c.abort) // ends reads and writes
	written := new(atomic.Bool)
	if err := write(c, request, written); err != nil {
		stop()
		p.discard(address, c, c.failure())
		return nil, failed(err, ProgressSent, fleet.StepSend, address)
	}
	response, err := readHead(c, request)
	if err != nil {
		stop()
		p.discard(address, c, c.failure())
		return nil, failed(err, ProgressSent, fleet.StepAnswer, address)
	}
	return &Answer{
		Status:   response.StatusCode,
		Header:   response.Header,
		Length:   response.ContentLength,
		body:     response.Body,
		pool:     p,
		address:  address,
		conn:     c,
		stop:     stop,
		written:  written,
		keep:     !response.Close,
		reusable: statedTimeout(response.Header),
	}, nil
}

// write sends the request. written becomes true once all of it has been handed
// to the connection.
func write(c *conn, request *Request, written *atomic.Bool) error {
	data := encode(request)
	if len(data) <= smallRequest {
		if _, err := c.Write(data); err != nil {
			return err
		}
		written.Store(true)
		return nil
	}
	go func() {
		// A failure shows to the reader, as the connection is broken then.
		if _, err := c.Write(data); err == nil {
			written.Store(true)
		}
	}()
	return nil
}

func encode(request *Request) []byte {
	var out bytes.Buffer
	out.Grow(512 + len(request.Body))
	out.WriteString(request.Method)
	out.WriteByte(' ')
	out.WriteString(request.URI)
	out.WriteString(" HTTP/1.1\r\nHost: ")
	out.WriteString(request.Host)
	out.WriteString("\r\n")
	for name, values := range request.Header {
		for _, value := range values {
			out.WriteString(name)
			out.WriteString(": ")
			out.WriteString(value)
			out.WriteString("\r\n")
		}
	}
	if len(request.Body) > 0 || hasBody(request.Method) {
		out.WriteString("Content-Length: ")
		out.WriteString(strconv.Itoa(len(request.Body)))
		out.WriteString("\r\n")
	}
	out.WriteString("\r\n")
	out.Write(request.Body)
	return out.Bytes()
}

// hasBody tells whether requests of the method have a body by their nature.
func hasBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// readHead reads the head of the answer to the request. An answer to an
// earlier request that comes late on the same connection is passed over: it
// would else be taken for this one's.
func readHead(c *conn, request *Request) (*http.Response, error) {
	asked := &http.Request{Method: request.Method}
	for range strayAnswers + 1 {
		response, err := http.ReadResponse(c.reader, asked)
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusContinue && response.StatusCode < http.StatusOK {
			continue
		}
		if request.MatchesRequest(response.Header) {
			return response, nil
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, err
		}
		if response.Close {
			break
		}
	}
	return nil, errors.New("the answer belongs to another request")
}

// Read reads the body. It returns io.EOF only at the end of a whole body.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if err == io.EOF {
		a.ended = true
		return n, io.EOF
	}
	if err != nil {
		a.broken = a.broken || a.conn.failure() == ReasonBroken
		err = failed(err, ProgressAnswered, fleet.StepAnswer, a.address)
	}
	return n, err
}

// Close gives the connection back when the whole body has been read, and
// closes it otherwise, which makes the backend server stop.
func (a *Answer) Close() {
	stopped := a.stop()
	clean := a.ended && a.keep && stopped && a.written.Load() && a.conn.reader.Buffered() == 0
	if !clean {
		a.conn.idleSince, a.conn.stated = boottime.Now(), a.reusable
		a.pool.discard(a.address, a.conn, a.unclean(stopped))
		return
	}
	a.pool.put(a.address, a.conn, a.reusable)
}

// unclean returns why the connection is not kept. stopped tells that the context
// had not ended.
func (a *Answer) unclean(stopped bool) Reason {
	switch {
	case a.broken:
		return ReasonBroken
	case a.ended && stopped && a.written.Load():
		return ReasonClosed // announced by the peer, or bytes follow the answer
	}
	return ReasonAbandoned
}

// statedTimeout returns the idle timeout of a Keep-Alive header.
func statedTimeout(header http.Header) time.Duration {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, found := strings.Cut(strings.TrimSpace(part), "=")
		if !found || !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil {
			return 0
		}
		return time.Duration(seconds) * time.Second
	}
	return 0
}
