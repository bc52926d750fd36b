package router

import (
	"io"
	"sync"

	"github.com/pkg/errors"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
)

// call is the caller's side of a request in the shell.
type call struct {
	done   chan Result // gets the one final result
	stream *callerStream

	mu    sync.Mutex
	ready bool   // there is something to write to the caller
	wake  func() // of a parked call; runs once it is ready
}

func newCall() *call { return &call{done: make(chan Result, 1)} }

// finish hands over the final result. It is called once.
func (c *call) finish(result Result) {
	if c.stream != nil {
		c.stream.finish(result)
	}
	c.done <- result
	c.signal()
}

// signal wakes a parked call.
func (c *call) signal() {
	c.mu.Lock()
	wake := c.wake
	c.wake = nil
	c.ready = true
	c.mu.Unlock()
	if wake != nil {
		go wake()
	}
}

// park lets wake run in a goroutine of its own once the call is ready. It
// reports false when the call is ready already.
func (c *call) park(wake func()) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ready {
		return false
	}
	c.wake = wake
	return true
}

// streams tells whether a part of the answer has been handed over as a stream.
func (c *call) streams() bool {
	if c.stream == nil {
		return false
	}
	select {
	case <-c.stream.headed:
		return true
	default:
		return false
	}
}

// callerStreamChunks is the number of chunks, of at most 32 KB each, that wait
// for a slow caller. Beyond it the agent holds the answer.
const callerStreamChunks = 16

// errAnswerBroke makes the HTTP server close the connection without a clean
// end, so that no caller takes a part of an answer for the whole.
var errAnswerBroke = errors.New("the answer broke off")

// errCallerGone tells that nobody reads the stream any more.
var errCallerGone = errors.New("the caller has gone")

// callerStream passes a streamed answer on to the caller as it comes. It is
// the Sink of the answer's Receiver and the body that the HTTP server reads.
type callerStream struct {
	status   int
	headers  []*rpc.Header
	headed   chan struct{} // closed once status and headers are set
	chunks   chan []byte
	finished chan struct{} // closed once result is set
	result   Result
	closed   chan struct{} // closed when the HTTP server has ended with it
	once     sync.Once
	gone     func() // tells the world that the caller has gone
	started  func() // tells the caller's side that there is a head
	rest     []byte
	ending   bool // the last bytes are in rest
}

func newCallerStream(gone, started func()) *callerStream {
	return &callerStream{
		headed:   make(chan struct{}),
		chunks:   make(chan []byte, callerStreamChunks),
		finished: make(chan struct{}),
		closed:   make(chan struct{}),
		gone:     gone,
		started:  started,
	}
}

// Head implements Sink.
func (s *callerStream) Head(status int, headers []*rpc.Header) {
	s.status = status
	s.headers = headers
	close(s.headed)
	s.started()
}

// Data implements Sink. It waits while the caller is slow.
func (s *callerStream) Data(data []byte) error {
	chunk := append([]byte(nil), data...)
	select {
	case s.chunks <- chunk:
		return nil
	case <-s.closed:
		return errCallerGone
	}
}

// finish sets the final result. All data has been handed over by then.
func (s *callerStream) finish(result Result) {
	s.result = result
	close(s.finished)
}

// Read implements io.Reader for the HTTP server.
func (s *callerStream) Read(p []byte) (int, error) {
	for len(s.rest) == 0 {
		if s.ending {
			return 0, s.end()
		}
		s.fill()
	}
	n := copy(p, s.rest)
	s.rest = s.rest[n:]
	return n, nil
}

// fill takes the next chunk, or the last bytes when there are no more.
func (s *callerStream) fill() {
	select {
	case s.rest = <-s.chunks:
		return
	default:
	}
	select {
	case s.rest = <-s.chunks:
	case <-s.finished:
		s.fillLast()
	}
}

func (s *callerStream) fillLast() {
	select {
	case s.rest = <-s.chunks:
	default:
		s.rest = streamEnd(s.result)
		s.ending = true
	}
}

// end is a clean end only for a whole answer.
func (s *callerStream) end() error {
	if s.result.Outcome == fleet.OutcomeCompleted {
		return io.EOF
	}
	return errAnswerBroke
}

// Close implements io.Closer. The HTTP server calls it when it has written
// everything or the caller's connection broke.
func (s *callerStream) Close() error {
	s.once.Do(func() {
		close(s.closed)
		select {
		case <-s.finished:
		default:
			s.gone()
		}
	})
	return nil
}
