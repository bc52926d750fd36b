package load

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/engine"
)

// Verdict is the outcome of a request as its caller sees it.
type Verdict string

// The verdicts. Answers count as lost from VerdictNoReply on.
const (
	VerdictWhole   Verdict = "whole"    // complete, and the answer to this request
	VerdictRefused Verdict = "refused"  // reported as not run
	VerdictUnknown Verdict = "unknown"  // reported as possibly run
	VerdictError   Verdict = "error"    // another error status
	VerdictFailed  Verdict = "failed"   // a stream that ended with an error event
	VerdictNoReply Verdict = "no-reply" // the connection ended without an answer
	VerdictCut     Verdict = "cut"      // the answer was truncated
	VerdictDamaged Verdict = "damaged"  // missing, repeated or other content
	VerdictForeign Verdict = "foreign"  // the answer to another request
)

// Lost reports whether the caller received neither a complete answer nor an
// error that says what happened to its request.
func (v Verdict) Lost() bool {
	switch v {
	case VerdictNoReply, VerdictCut, VerdictDamaged, VerdictForeign:
		return true
	default:
		return false
	}
}

// Prefixes and data of lines in a stream of server-sent events.
var (
	dataPrefix  = []byte("data: ")
	errorPrefix = []byte("event: error")
	doneData    = []byte("[DONE]")
)

// chunk holds the fields of a streamed chunk or a complete answer that are checked.
type chunk struct {
	ID          string       `json:"id"`
	Fingerprint string       `json:"system_fingerprint"`
	Choices     []choice     `json:"choices"`
	Error       *chunkError  `json:"error"`
	Usage       *answerUsage `json:"usage"`
}

type choice struct {
	Delta   delta `json:"delta"`
	Message delta `json:"message"`
}

type delta struct {
	Content string `json:"content"`
}

type chunkError struct {
	Message string `json:"message"`
}

type answerUsage struct {
	CompletionTokens int `json:"completion_tokens"`
}

// text joins the content of the chunk.
func (c chunk) text() string {
	if len(c.Choices) == 0 {
		return ""
	}
	return c.Choices[0].Delta.Content + c.Choices[0].Message.Content
}

// answerReader checks an answer while reading it.
type answerReader struct {
	request call
	onToken func(time.Time)
	id      string
	text    bytes.Buffer
	failed  bool
	foreign bool
	done    bool
}

// readStream reads server-sent events to their end.
func (r *answerReader) readStream(body io.Reader) Verdict {
	lines := bufio.NewReader(body)
	for !r.done && !r.failed {
		line, err := lines.ReadSlice('\n')
		if err != nil {
			return VerdictCut
		}
		r.handleLine(bytes.TrimSpace(line))
	}
	// The connection is reused only if the body is read to its end.
	_, _ = io.Copy(io.Discard, lines)
	if r.failed {
		return VerdictFailed
	}
	return r.verdict()
}

func (r *answerReader) handleLine(line []byte) {
	if bytes.HasPrefix(line, errorPrefix) {
		r.failed = true
		return
	}
	data, ok := bytes.CutPrefix(line, dataPrefix)
	if !ok {
		return
	}
	if bytes.Equal(data, doneData) {
		r.done = true
		return
	}
	r.handleChunk(data)
}

func (r *answerReader) handleChunk(data []byte) {
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return
	}
	if c.Error != nil {
		r.failed = true
		return
	}
	if r.id == "" {
		r.id = c.ID
	}
	if c.ID != r.id || c.Fingerprint != engine.Fingerprint(r.request.body) {
		r.foreign = true
	}
	if text := c.text(); text != "" {
		r.text.WriteString(text)
		r.onToken(time.Now())
	}
}

// readDocument reads an answer that is not streamed.
func (r *answerReader) readDocument(body io.Reader) Verdict {
	data, err := io.ReadAll(body)
	if err != nil {
		return VerdictCut
	}
	r.handleChunk(data)
	return r.verdict()
}

// readPlain reads the answer of a plain service.
func (r *answerReader) readPlain(body io.Reader) Verdict {
	data, err := io.ReadAll(body)
	if err != nil {
		return VerdictCut
	}
	var answer engine.PlainAnswer
	if err := json.Unmarshal(data, &answer); err != nil {
		return VerdictDamaged
	}
	r.id = answer.Request
	if answer.Fingerprint != engine.Fingerprint(r.request.body) {
		return VerdictForeign
	}
	return VerdictWhole
}

// verdict compares the text with the one that the engine generates for the id.
func (r *answerReader) verdict() Verdict {
	if r.foreign {
		return VerdictForeign
	}
	if engine.CheckText(r.id, r.text.String(), r.request.tokens) != nil {
		return VerdictDamaged
	}
	return VerdictWhole
}
