package engine

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// PlainAnswer is the answer to a plain call.
type PlainAnswer struct {
	Service     string `json:"service"`
	Request     string `json:"request"`
	Method      string `json:"method"`
	Path        string `json:"path"`
	Run         int    `json:"run"` // 1 unless the request ran before
	Fingerprint string `json:"fingerprint"`
}

// handlePlain works for the time that the call requests and records the run. A
// repeated call runs again, as at a service that is not idempotent.
func (e *Engine) handlePlain(ctx *fasthttp.RequestCtx) {
	id := requestID(ctx)
	run, number := e.ledger.start(id, time.Now())
	time.Sleep(e.beginPlain(e.workTime(ctx)))
	e.endPlain()
	e.ledger.end(run, RunComplete, time.Now())
	answer := PlainAnswer{
		Service:     e.config.Name,
		Request:     id,
		Method:      string(ctx.Method()),
		Path:        string(ctx.Path()),
		Run:         number,
		Fingerprint: Fingerprint(ctx.PostBody()),
	}
	ctx.Response.Header.Set(headerRequestID, id)
	ctx.SetContentType(typeJSON)
	_ = json.NewEncoder(ctx).Encode(answer)
}

// workTime returns the time that the call requests in X-Work-Ms.
func (e *Engine) workTime(ctx *fasthttp.RequestCtx) time.Duration {
	milliseconds, err := strconv.ParseFloat(string(ctx.Request.Header.Peek(headerWork)), 64)
	if err != nil || milliseconds < 0 {
		return e.config.Work
	}
	return time.Duration(milliseconds * float64(time.Millisecond))
}

// beginPlain counts a call and returns its work time, which is longer if there
// are more calls than slots.
func (e *Engine) beginPlain(work time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.plain++
	if e.plain > e.config.Slots {
		work = work * time.Duration(e.plain) / time.Duration(e.config.Slots)
	}
	return work
}

func (e *Engine) endPlain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.plain--
}
