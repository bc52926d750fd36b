package engine

import (
	"fmt"
	"io"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// stream is one run of a model request with its answer. The answer is generated
// from the request id and the number of tokens when it is read, so the memory of
// a stream doesn't depend on its length.
type stream struct {
	id          string
	chunked     bool // server-sent events; else one JSON document
	fingerprint string
	prompt      string
	seed        uint64
	head, tail  string // of a chunk, before and after its word
	run         *Run

	mu         sync.Mutex
	changed    *sync.Cond
	prefill    int // steps until the first token
	promptSize int // tokens
	cached     int // tokens of the prompt found in the cache
	target     int // tokens of the complete answer
	produced   int
	ended      RunState // RunRunning until the run ends
}

func newStream(id, model, fingerprint string, chunked bool, target int) *stream {
	s := &stream{
		id: id, chunked: chunked, fingerprint: fingerprint,
		seed: xxhash.Sum64String(id), target: target, ended: RunRunning,
	}
	s.changed = sync.NewCond(&s.mu)
	s.head = fmt.Sprintf(`data: {"id":%q,"object":"chat.completion.chunk","model":%q,"system_fingerprint":%q,`+
		`"choices":[{"index":0,"delta":{"content":"`, id, model, fingerprint)
	s.tail = "\"}}]}\n\n"
	return s
}

// advance runs one step of the stream. It reports whether the step produced the
// first token and whether the run has ended.
func (s *stream) advance() (first, ended bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended != RunRunning {
		return false, true
	}
	if s.prefill > 0 {
		s.prefill--
		return false, false
	}
	s.produced++
	if s.produced >= s.target {
		s.ended = RunComplete
	}
	if s.chunked || s.ended != RunRunning {
		s.changed.Broadcast()
	}
	return s.produced == 1, s.ended != RunRunning
}

// stop ends the run early. Readers get an error instead of the rest of the answer.
func (s *stream) stop(state RunState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended == RunRunning {
		s.ended = state
	}
	s.changed.Broadcast()
}

// progress returns the number of generated tokens and the run's state.
func (s *stream) progress() (int, RunState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.produced, s.ended
}

// finalEvents returns the events after the last word of a streamed answer.
func (s *stream) finalEvents() string {
	return fmt.Sprintf("data: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"system_fingerprint\":%q,\"choices\":[],\"usage\":%s}\n\ndata: [DONE]\n\n",
		s.id, s.fingerprint, s.usage())
}

// document returns the answer as a single JSON document.
func (s *stream) document() string {
	return fmt.Sprintf(`{"id":%q,"object":"chat.completion","system_fingerprint":%q,"choices":[{"index":0,`+
		`"message":{"role":"assistant","content":%q},"text":%[3]q,"finish_reason":"stop"}],"usage":%s}`,
		s.id, s.fingerprint, Text(s.id, s.produced), s.usage())
}

func (s *stream) usage() string {
	return fmt.Sprintf(`{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d,"prompt_tokens_details":{"cached_tokens":%d}}`,
		s.promptSize, s.produced, s.promptSize+s.produced, s.cached)
}

// reader reads an answer from a byte offset and waits for bytes that are not
// generated yet.
type reader struct {
	stream *stream
	offset int
	ending string // built once the run has ended
}

// Read implements io.Reader.
func (r *reader) Read(p []byte) (int, error) {
	s := r.stream
	s.mu.Lock()
	defer s.mu.Unlock()
	chunk := len(s.head) + wordBytes + len(s.tail)
	for s.ended == RunRunning && (!s.chunked || r.offset >= s.produced*chunk) {
		s.changed.Wait()
	}
	if s.ended != RunRunning && s.ended != RunComplete {
		return 0, io.ErrUnexpectedEOF
	}
	copied := 0
	body := 0
	if s.chunked {
		body = s.produced * chunk
		copied = r.copyChunks(p, chunk)
	}
	if s.ended == RunComplete && copied < len(p) {
		copied += r.copyEnd(p[copied:], body)
	}
	if copied == 0 {
		return 0, io.EOF
	}
	return copied, nil
}

// copyChunks copies generated chunks into p.
func (r *reader) copyChunks(p []byte, chunk int) int {
	s := r.stream
	copied := 0
	for copied < len(p) && r.offset < s.produced*chunk {
		position, skip := r.offset/chunk, r.offset%chunk
		text := s.head + string(word(s.seed, position)) + s.tail
		n := copy(p[copied:], text[skip:])
		copied += n
		r.offset += n
	}
	return copied
}

// copyEnd copies the final events or the document, which starts at offset body.
func (r *reader) copyEnd(p []byte, body int) int {
	if r.ending == "" && r.stream.chunked {
		r.ending = r.stream.finalEvents()
	} else if r.ending == "" {
		r.ending = r.stream.document()
	}
	if r.offset-body >= len(r.ending) {
		return 0
	}
	n := copy(p, r.ending[r.offset-body:])
	r.offset += n
	return n
}
