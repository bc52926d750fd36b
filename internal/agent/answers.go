package agent

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
)

// answer is the reply of the backend server to one request, while it is made
// and until it is acknowledged. One run writes it; any number of connections
// read it, each from its own offset. Reading removes nothing.
type answer struct {
	mu      sync.Mutex
	changed chan struct{} // closed at the next change
	head    *rpc.AnswerHead
	body    []byte // only ever appended to, so readers may keep slices of it
	seal    *Seal
	digest  xxhash.Digest
}

func newAnswer() *answer {
	a := &answer{changed: make(chan struct{})}
	a.digest.Reset()
	return a
}

// setHead stores the head once; a resumed run may bring it again.
func (a *answer) setHead(head *rpc.AnswerHead) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.head == nil {
		a.head = head
		a.notify()
	}
}

// contentType returns the media type that the head states, "" if it states none.
func (a *answer) contentType() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, header := range a.head.GetHeaders() {
		if strings.EqualFold(header.Name, fasthttp.HeaderContentType) {
			mediaType, _, _ := strings.Cut(header.Value, ";")
			return strings.ToLower(strings.TrimSpace(mediaType))
		}
	}
	return ""
}

// write appends to the body.
func (a *answer) write(p []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.body = append(a.body, p...)
	_, _ = a.digest.Write(p)
	a.notify()
}

// size is the number of bytes of the body so far.
func (a *answer) size() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return uint64(len(a.body))
}

// tail returns at most the last n bytes of the body.
func (a *answer) tail(n int) []byte {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.body[max(0, len(a.body)-n):]
}

// close ends the answer. Only the first seal counts.
func (a *answer) close(seal Seal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.seal != nil {
		return
	}
	a.seal = &seal
	a.body = slices.Clip(a.trimmed())
	a.notify()
}

// trimmed is the body without much spare capacity, because a held answer stays
// for long while many are held.
func (a *answer) trimmed() []byte {
	if cap(a.body)-len(a.body) < len(a.body)/8 {
		return a.body
	}
	return slices.Clone(a.body)
}

func (a *answer) notify() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// view is what a reader sees of an answer at one moment.
type view struct {
	head     *rpc.AnswerHead
	data     []byte // from the reader's offset on
	total    uint64
	seal     *Seal
	checksum uint64
	changed  <-chan struct{}
}

// from returns the answer from an offset on.
func (a *answer) from(offset uint64) view {
	a.mu.Lock()
	defer a.mu.Unlock()
	v := view{head: a.head, total: uint64(len(a.body)), seal: a.seal, changed: a.changed}
	if offset < v.total {
		v.data = a.body[offset:v.total:v.total]
	}
	if a.seal != nil {
		v.checksum = a.digest.Sum64()
	}
	return v
}

// answers are the answers that this agent makes and holds, by request.
type answers struct {
	mu   sync.RWMutex
	rows map[fleet.RequestID]*answer

	freeSlots atomic.Uint32 // as last published by the world
}

func newAnswers() *answers {
	return &answers{rows: make(map[fleet.RequestID]*answer)}
}

func (s *answers) get(id fleet.RequestID) *answer {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.rows[id]
}

func (s *answers) open(id fleet.RequestID) *answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := newAnswer()
	s.rows[id] = a
	return a
}

func (s *answers) forget(id fleet.RequestID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.rows, id)
}
