package engine

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
)

// Paths and headers of the engine's interface.
const (
	pathChat        = "/v1/chat/completions"
	pathCompletions = "/v1/completions"
	pathStreams     = "/v1/streams/"
	pathLoad        = "/load"
	pathLedger      = "/ledger"
	pathHealth      = "/healthz"
	pathMetrics     = "/metrics"

	headerRequestID = "X-Request-Id"
	headerWork      = "X-Work-Ms"
)

const (
	typeJSON   = "application/json"
	typeEvents = "text/event-stream"
	typeLines  = "application/x-ndjson"
)

// completionRequest holds the fields of a request's body that the engine uses.
type completionRequest struct {
	Model     string    `json:"model"`
	Prompt    string    `json:"prompt"`
	Messages  []message `json:"messages"`
	Stream    bool      `json:"stream"`
	MaxTokens int       `json:"max_tokens"`
	Tokens    int       `json:"x_tokens"`
	Crash     bool      `json:"x_crash"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// text returns the complete prompt.
func (r completionRequest) text() string {
	var text strings.Builder
	text.WriteString(r.Prompt)
	for _, m := range r.Messages {
		text.WriteString(m.Content)
	}
	return text.String()
}

// tokens returns the length of the answer. If x_tokens sets it, max_tokens is
// only a hint to the router, which tests may set wrong.
func (r completionRequest) tokens(id string, median int) int {
	if r.Tokens > 0 {
		return r.Tokens
	}
	tokens := drawTokens(id, median)
	if r.MaxTokens > 0 {
		tokens = min(tokens, r.MaxTokens)
	}
	return tokens
}

func (e *Engine) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == pathHealth:
		ctx.SetBodyString("ok\n")
	case path == pathLoad:
		e.writeLoad(ctx)
	case path == pathLedger:
		e.writeLedger(ctx)
	case path == pathMetrics:
		fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(e.registry, promhttp.HandlerOpts{}))(ctx)
	case e.config.Plain:
		e.handlePlain(ctx)
	case path == pathChat || path == pathCompletions:
		e.handleCompletion(ctx)
	case strings.HasPrefix(path, pathStreams):
		e.handleStream(ctx, strings.TrimPrefix(path, pathStreams))
	default:
		e.handlePlain(ctx)
	}
}

// handleCompletion runs a model request and answers it.
func (e *Engine) handleCompletion(ctx *fasthttp.RequestCtx) {
	var request completionRequest
	if err := json.Unmarshal(ctx.PostBody(), &request); err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, "body: "+err.Error())
		return
	}
	id := requestID(ctx)
	tokens := request.tokens(id, e.config.MedianTokens)
	s := newStream(id, request.Model, Fingerprint(ctx.PostBody()), request.Stream, tokens)
	s.prompt = request.text()
	if !e.admit(s, ctx.Conn()) {
		_ = ctx.Conn().Close() // a crashed engine doesn't answer
		return
	}
	if request.Crash && e.config.PermitCrash {
		e.crash()
		return
	}
	writeAnswer(ctx, s, 0)
}

// handleStream resumes or cancels a stream.
func (e *Engine) handleStream(ctx *fasthttp.RequestCtx, id string) {
	if ctx.IsDelete() {
		if !e.cancel(id) {
			writeError(ctx, fasthttp.StatusNotFound, "no such stream")
			return
		}
		ctx.SetStatusCode(fasthttp.StatusNoContent)
		return
	}
	s := e.find(id)
	if s == nil {
		writeError(ctx, fasthttp.StatusNotFound, "no such stream")
		return
	}
	offset, err := strconv.Atoi(string(ctx.QueryArgs().Peek("offset")))
	if err != nil || offset < 0 {
		writeError(ctx, fasthttp.StatusBadRequest, "offset: want a number of bytes")
		return
	}
	writeAnswer(ctx, s, offset)
}

// writeAnswer streams an answer from a byte offset while it is generated.
func writeAnswer(ctx *fasthttp.RequestCtx, s *stream, offset int) {
	ctx.Response.Header.Set(headerRequestID, s.id)
	ctx.SetContentType(typeJSON)
	if s.chunked {
		ctx.SetContentType(typeEvents)
	}
	ctx.Response.ImmediateHeaderFlush = s.chunked
	ctx.SetBodyStream(&reader{stream: s, offset: offset}, -1)
}

func (e *Engine) writeLoad(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType(typeJSON)
	_ = json.NewEncoder(ctx).Encode(e.report(time.Now()))
}

// writeLedger writes the runs as JSON lines: those that started at or after
// since_ns and those still running.
func (e *Engine) writeLedger(ctx *fasthttp.RequestCtx) {
	since, _ := strconv.ParseInt(string(ctx.QueryArgs().Peek("since_ns")), 10, 64)
	ctx.SetContentType(typeLines)
	encoder := json.NewEncoder(ctx)
	for _, run := range e.ledger.snapshot(time.Unix(0, since)) {
		_ = encoder.Encode(run)
	}
}

// requestID returns the caller's request id, or a new one.
func requestID(ctx *fasthttp.RequestCtx) string {
	if id := ctx.Request.Header.Peek(headerRequestID); len(id) > 0 {
		return string(id)
	}
	return uuid.NewString()
}

// errorBody is the error format that clients of model engines expect.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
}

func writeError(ctx *fasthttp.RequestCtx, status int, text string) {
	ctx.SetStatusCode(status)
	ctx.SetContentType(typeJSON)
	_ = json.NewEncoder(ctx).Encode(errorBody{errorDetail{Message: text, Type: "invalid_request_error"}})
}
