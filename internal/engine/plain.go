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
	Run         int    `json:"run"` // 1 unless the same request ran before
	Fingerprint string `json:"fingerprint"`
}

// handlePlain works for the time that the call names and counts the run. It
// takes a repeated call for a new one, as a service without idempotence does.
func (e *Engine) handlePlain(ctx *fasthttp.RequestCtx) {
	id := requestID(ctx)
	run, number := e.ledger.begin(id, time.Now())
	time.Sleep(e.enterPlain(e.workTime(ctx)))
	e.leavePlain()
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

// workTime is the time that the call asks for, in X-Work-Ms.
func (e *Engine) workTime(ctx *fasthttp.RequestCtx) time.Duration {
	asked, err := strconv.ParseFloat(string(ctx.Request.Header.Peek(headerWork)), 64)
	if err != nil || asked < 0 {
		return e.config.Work
	}
	return time.Duration(asked * float64(time.Millisecond))
}

// enterPlain counts a call and stretches its work when there are more calls
// than slots.
func (e *Engine) enterPlain(work time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.plain++
	if e.plain > e.config.Slots {
		work = work * time.Duration(e.plain) / time.Duration(e.config.Slots)
	}
	return work
}

func (e *Engine) leavePlain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.plain--
}
