package backendconn

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellchute/bluebellchute/internal/answerhead"
	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

const (
	// maxSynchronousRequest is the size up to which a request is written before its answer
	// is read. A larger one may fill the connection's window while the backend server waits
	// for its early answer to be read.
	maxSynchronousRequest = 4096
	// maxStrayAnswers is how many answers to earlier requests are skipped on one
	// connection.
	maxStrayAnswers = 2
	// maxInterimAnswers is how many answers of status 1xx may precede one.
	maxInterimAnswers = 16
)

// Request is a request as it is sent.
type Request struct {
	Method string
	URI    string // path and query as sent by the caller
	Host   string
	Header http.Header // without Host and Content-Length
	Body   []byte
	// Match reports by its header whether an answer belongs to this request.
	Match func(header http.Header) Match
	// AtMostOnce says that the request must not run twice, so that an answer which may belong to
	// an earlier request must not be taken for its own.
	AtMostOnce bool
	// OwnAnswerWait is how long such a request waits for its own answer after one that names no
	// request.
	OwnAnswerWait time.Duration
	// MaxConnections bounds the connections to the backend server, 0 for no bound.
	MaxConnections int
	// Certain says that the request must go to the process that is listed; see Certainty.
	Certain bool
	// PreferCertain says that an idle connection which is certain to lead there is taken first.
	PreferCertain bool
	// BeforeSend is called once the connection is open, and again right before a long request
	// is written. If it returns an error, nothing is sent. It may be nil.
	BeforeSend func() error
	// OnSend is called right before the first byte is sent. It may be nil.
	OnSend func()
}

// Answer is the head of an answer with a reader for its body.
type Answer struct {
	Status int
	Header http.Header
	// Length is the length of the body, -1 if unknown.
	Length  int64
	Framing Framing
	// Unidentified means that the answer names no request and may belong to none.
	Unidentified bool

	response      *http.Response
	pool          *Pool
	address       fleet.Address
	conn          *conn
	sent          boottime.Instant // before the first byte of the request
	heard         boottime.Instant // when something of it last came, within maxUnheard/2
	identified    bool             // the answer names the request
	stop          func() bool
	sending       *sending
	keepAlive     bool
	statedTimeout time.Duration
	complete      bool
	discarded     bool // nobody needs to know whether the body is whole
	broken        bool // reading the body failed because of the peer
}

// ErrCallerDisconnected says that the caller disconnected before anything was sent.
var ErrCallerDisconnected = errors.New("the caller has disconnected")

// checkBeforeSend returns why the request must not be sent, or nil.
func (r *Request) checkBeforeSend() error {
	if r.BeforeSend == nil {
		return nil
	}
	return r.BeforeSend()
}

// Do sends the request to the address and returns the head of its answer, which the caller
// must Close. When the context ends, the connection is closed, which makes the backend
// server stop.
func (p *Pool) Do(ctx context.Context, address fleet.Address, request *Request) (*Answer, error) {
	c, err := p.get(ctx, address, request)
	if err != nil {
		return nil, newError(err, ProgressNone, fleet.StepSend, address)
	}
	if ctx.Err() != nil {
		p.discard(address, c, ReasonAbandoned)
		return nil, newError(ctx.Err(), ProgressNone, fleet.StepSend, address)
	}
	if err := request.checkBeforeSend(); err != nil {
		p.discard(address, c, ReasonAbandoned)
		return nil, newError(err, ProgressNone, fleet.StepSend, address)
	}
	if request.OnSend != nil {
		request.OnSend()
	}
	stopAbort := context.AfterFunc(ctx, c.abort) // ends reads and writes
	sent := boottime.Now()
	sending := &sending{watch: ackWatch{conn: c}}
	stop := func() bool {
		sending.watch.end()
		return stopAbort()
	}
	if err := write(c, request, sending); err != nil {
		stop()
		p.discard(address, c, c.failureReason())
		return nil, newError(c.explain(err), ProgressSent, fleet.StepSend, address)
	}
	response, err := readHead(c, request)
	if c.unidentified {
		p.noteUnidentified(address)
	}
	if reason := sending.cancelledBy(); reason != nil {
		stop()
		p.discard(address, c, ReasonAbandoned)
		return nil, newError(reason, ProgressNone, fleet.StepSend, address)
	}
	if err != nil {
		stop()
		p.discard(address, c, c.failureReason())
		if c.silent.Load() {
			// No request is to wait as long on another one that is no better.
			p.closeIdleAt(address, func(*conn) bool { return true }, ReasonBroken)
		}
		return nil, newError(c.explain(err), ProgressSent, fleet.StepAnswer, address)
	}
	sending.watch.answerBegun()
	p.markHeard(address, boottime.Now())
	return &Answer{
		Status:        response.StatusCode,
		Header:        response.Header,
		Length:        response.ContentLength,
		Framing:       framingOf(response),
		Unidentified:  c.unidentified && request.Match(response.Header) == MatchUnidentified,
		response:      response,
		pool:          p,
		address:       address,
		conn:          c,
		sent:          sent,
		identified:    request.Match(response.Header) == MatchOwn,
		stop:          stop,
		sending:       sending,
		keepAlive:     !response.Close,
		statedTimeout: parseKeepAliveTimeout(response.Header),
	}, nil
}

// sending is the state of a request that is being sent.
type sending struct {
	written   atomic.Bool           // all of it has been passed to the connection
	cancelled atomic.Pointer[error] // why nothing of it was sent, nil otherwise
	watch     ackWatch
	// ended is closed when a request that is written beside its answer is written or can't be, as
	// failure then says. It is nil for other requests.
	ended   chan struct{}
	failure error
}

// cancelledBy returns why nothing was sent, or nil.
func (s *sending) cancelledBy() error {
	if reason := s.cancelled.Load(); reason != nil {
		return *reason
	}
	return nil
}

// write sends the request.
func write(c *conn, request *Request, sending *sending) error {
	head := encodeHead(request)
	if len(head)+len(request.Body) <= maxSynchronousRequest {
		if _, err := c.Write(append(head, request.Body...)); err != nil {
			return err
		}
		sending.watch.start(false)
		sending.written.Store(true)
		return nil
	}
	sending.ended = make(chan struct{})
	go func() {
		defer close(sending.ended)
		// On a busy processor the caller may have disconnected before this runs.
		if err := request.checkBeforeSend(); err != nil {
			sending.cancelled.Store(&err)
			c.abort()
			return
		}
		// The body is not copied: many long ones would take the process over its memory.
		data := net.Buffers{head, request.Body}
		if _, err := data.WriteTo(c.Conn); err != nil {
			sending.failure = err
			return
		}
		sending.watch.start(true)
		sending.written.Store(true)
	}()
	return nil
}

// encodeHead returns what is sent of the request before its body.
func encodeHead(request *Request) []byte {
	const usualHeadBytes = 512
	var out bytes.Buffer
	out.Grow(usualHeadBytes + min(len(request.Body), maxSynchronousRequest))
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
	return out.Bytes()
}

// hasBody reports whether requests of the method normally have a body.
func hasBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// readHead reads the head of the answer to the request. It skips late answers to earlier
// requests on the same connection, which would otherwise be taken for the answer to this
// one.
func readHead(c *conn, request *Request) (*http.Response, error) {
	response, err := readOwnHead(c, request)
	if err != nil && c.unidentified && request.AtMostOnce {
		return nil, errors.Wrap(ErrUnidentified, err.Error())
	}
	return response, err
}

func readOwnHead(c *conn, request *Request) (*http.Response, error) {
	sent := request.sent()
	for range maxStrayAnswers + 1 {
		response, err := readFinalHead(c, sent)
		if err != nil {
			return nil, err
		}
		match := request.Match(response.Header)
		if match == MatchUnidentified && !c.kept {
			match = MatchOwn // nothing was sent before to which it could belong
		}
		if match == MatchUnidentified {
			c.unidentified = true
			if request.AtMostOnce {
				// Not reset if the connection fails, which is closed then.
				_ = c.SetReadDeadline(time.Now().Add(request.OwnAnswerWait))
			} else {
				match = MatchOwn
			}
		}
		if match == MatchOwn {
			if c.unidentified {
				_ = c.SetReadDeadline(time.Time{}) // the next read fails if this does
				response.Close = true              // more such answers may follow
			}
			return response, nil
		}
		if err := skipBody(response); err != nil {
			return nil, err
		}
		if response.Close {
			break
		}
	}
	return nil, errors.New("the answer belongs to another request")
}

// sent returns what the framing of an answer to the request depends on.
func (r *Request) sent() *http.Request { return &http.Request{Method: r.Method} }

// skipBody reads the body of an answer to an earlier request to its end.
func skipBody(response *http.Response) error {
	skipped, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStrayBytes))
	if err == nil && skipped == maxStrayBytes {
		return errors.Wrap(ErrAnswerTooLarge, "an answer to another request")
	}
	if err != nil {
		return err
	}
	return answerhead.CheckFields(response.Trailer)
}

// errSpliced ends an exchange whose answer follows a part of another one within a line.
var errSpliced = errors.New("the answer begins inside another one")

// protocolName is how each status line begins.
const protocolName = "HTTP/"

// statusLine matches what the parser takes for the beginning of an answer, up to its status. Fields
// such as Via and Server may name a protocol without one.
var statusLine = regexp.MustCompile(protocolName + `[0-9]\.[0-9] +[0-9]{3}( |$)`)

// spliced reports whether a line of the head has the beginning of another answer in it: the one
// before broke off within that line, and what it says can't be told from what this one says.
// Where it broke off between lines, or in the name of a field, the parser refuses the status line.
func spliced(response *http.Response) bool {
	if holdsStatusLine(response.Status) {
		return true
	}
	for _, values := range response.Header {
		if slices.ContainsFunc(values, holdsStatusLine) {
			return true
		}
	}
	return false
}

// holdsStatusLine reports whether the text has a status line in it. It searches nearly all texts
// without the pattern, which costs more.
func holdsStatusLine(text string) bool {
	return strings.Contains(text, protocolName) && statusLine.MatchString(text)
}

// readFinalHead reads the head of the next answer that is not an interim one.
func readFinalHead(c *conn, sent *http.Request) (*http.Response, error) {
	readAhead, _ := c.reader.Peek(c.reader.Buffered()) // never more than there is
	if err := c.limiter.begin(readAhead); err != nil {
		return nil, err
	}
	defer c.limiter.end()
	for range maxInterimAnswers {
		response, err := http.ReadResponse(c.reader, sent)
		if err != nil {
			return nil, headError(c, err)
		}
		if spliced(response) {
			return nil, errSpliced
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
	return nil, errors.Wrap(ErrAnswerTooLarge, "interim answers")
}

// headError returns why a head could not be parsed: the rest could not be read, or what has come
// is malformed.
func headError(c *conn, err error) error {
	switch c.limiter.err {
	case nil:
		return quotingError{err}
	case io.EOF:
		return io.ErrUnexpectedEOF
	}
	return c.limiter.err
}

// Read reads the body. It returns io.EOF only at the end of a complete body. If that is the end of the
// connection, it waits until the backend server has received the request.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.response.Body.Read(p)
	if now := boottime.Now(); n > 0 && now.Sub(a.heard) > maxUnheard/2 {
		a.heard = now
		a.pool.markHeard(a.address, now)
	}
	if err == io.EOF && !a.complete && !a.discarded {
		err = a.checkEnd()
	}
	if err == io.EOF {
		a.complete = true
		return n, io.EOF
	}
	if err != nil {
		a.broken = a.broken || a.conn.failureReason() == ReasonBroken
		err = newError(a.conn.explain(err), ProgressAnswered, fleet.StepAnswer, a.address)
	}
	return n, err
}

// checkEnd returns io.EOF if the body, which has been read to its end, is complete, or why it is not.
func (a *Answer) checkEnd() error {
	switch a.Framing {
	case FramingClose:
		return a.checkOrderlyEnd()
	case FramingChunks:
		if err := answerhead.CheckFields(a.response.Trailer); err != nil {
			return err
		}
	}
	return io.EOF
}

// Discard reads the rest of the body, if that has no more than maxBytes and comes within
// maxTime. Otherwise Close closes the connection.
func (a *Answer) Discard(maxBytes int64, maxTime time.Duration) {
	a.discarded = true
	// Setting a deadline fails only on a closed connection, on which the read fails too.
	_ = a.conn.SetReadDeadline(time.Now().Add(maxTime))
	_, _ = io.Copy(io.Discard, io.LimitReader(a, maxBytes))
	_ = a.conn.SetReadDeadline(time.Time{})
}

// EndMarked reports whether the body was read to an end that its framing marks.
func (a *Answer) EndMarked() bool { return a.complete && a.Framing != FramingClose }

// MarkBroken states that a body which was read to its end is not whole, so that Close closes
// the connection.
func (a *Answer) MarkBroken() { a.broken = a.broken || a.complete }

// Close returns the connection to the pool if the complete body has been read. Otherwise it
// closes the connection, which makes the backend server stop.
func (a *Answer) Close() {
	stopped := a.stop()
	clean := a.complete && !a.broken && a.keepAlive && stopped && a.sending.written.Load() && a.conn.reader.Buffered() == 0
	if !clean {
		a.conn.idleSince, a.conn.statedTimeout = boottime.Now(), a.statedTimeout
		a.pool.discard(a.address, a.conn, a.closeReason(stopped))
		return
	}
	a.pool.put(a.address, a.conn, a.statedTimeout)
}

// closeReason returns why the connection is not reused. stopped says that the context had
// not ended.
func (a *Answer) closeReason(stopped bool) Reason {
	switch {
	case a.broken:
		return ReasonBroken
	case a.complete && stopped && a.sending.written.Load():
		return ReasonClosed // announced by the peer, or bytes follow the answer
	}
	return ReasonAbandoned
}

// parseKeepAliveTimeout returns the idle timeout in a Keep-Alive header, 0 for none.
func parseKeepAliveTimeout(header http.Header) time.Duration {
	for _, directive := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, found := strings.Cut(strings.TrimSpace(directive), "=")
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
