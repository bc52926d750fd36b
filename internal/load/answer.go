package load

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/engine"
)

// Verdict tells how a request ended for its caller.
type Verdict string

// The verdicts. Lost answers are those from VerdictNoReply on.
const (
	VerdictWhole   Verdict = "whole"    // complete and the caller's own
	VerdictRefused Verdict = "refused"  // said not to have run
	VerdictUnknown Verdict = "unknown"  // said to have run perhaps
	VerdictError   Verdict = "error"    // a 4xx that is no refusal
	VerdictFailed  Verdict = "failed"   // a stream that ended in a visible error
	VerdictNoReply Verdict = "no-reply" // the connection ended without an answer
	VerdictCut     Verdict = "cut"      // the answer stopped without its end
	VerdictDamaged Verdict = "damaged"  // a gap, a repeat or other content
	VerdictForeign Verdict = "foreign"  // the answer to another request
)

// Lost tells whether the caller was left without a whole answer or a word on
// what became of its request.
func (v Verdict) Lost() bool {
	switch v {
	case VerdictNoReply, VerdictCut, VerdictDamaged, VerdictForeign:
		return true
	default:
		return false
	}
}

// Lines of a stream of server-sent events.
var (
	dataPrefix  = []byte("data: ")
	errorPrefix = []byte("event: error")
	doneData    = []byte("[DONE]")
)

// chunk is the part of a streamed or whole answer that is checked.
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

// answerReader checks an answer while it comes in.
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
		r.takeLine(bytes.TrimSpace(line))
	}
	// The rest must be read for the connection to be used again.
	_, _ = io.Copy(io.Discard, lines)
	if r.failed {
		return VerdictFailed
	}
	return r.judge()
}

func (r *answerReader) takeLine(line []byte) {
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
	r.takeChunk(data)
}

func (r *answerReader) takeChunk(data []byte) {
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

// readWhole reads an answer in one piece.
func (r *answerReader) readWhole(body io.Reader) Verdict {
	data, err := io.ReadAll(body)
	if err != nil {
		return VerdictCut
	}
	r.takeChunk(data)
	return r.judge()
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

// judge compares the text with the one that the engine makes for the id.
func (r *answerReader) judge() Verdict {
	if r.foreign {
		return VerdictForeign
	}
	if engine.CheckText(r.id, r.text.String(), r.request.tokens) != nil {
		return VerdictDamaged
	}
	return VerdictWhole
}
