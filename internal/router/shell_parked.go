package router

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/valyala/fasthttp"
)

const (
	// parkAfter is how long a call waits in its handler. Most are answered by
	// then; those that wait longer cost a new connection for the next call.
	parkAfter = 500 * time.Millisecond
	// manyHandlers is the number of handlers beyond which calls are parked after
	// parkSoon, so that a flood finds no room for the large form of a call.
	manyHandlers = 512
	parkSoon     = 5 * time.Millisecond
	// callerCheck is the time between two looks whether callers are still there.
	callerCheck = time.Second
)

// parkingLot holds the calls that wait for long.
//
// The HTTP library gives each call a goroutine with a stack and buffers of more
// than twice the size of a usual request. With thousands of calls waiting, a
// flood would take the memory of the VM, which one would notice by a router
// killed with all its waiting calls. So a call that waits for long gives all
// that back and keeps the request and the connection only.
type parkingLot struct {
	report func(Input) bool

	mu    sync.Mutex
	calls map[*parkedCall]struct{}
}

// parkTime is how long a call waits in its handler, given the number of calls
// that do.
func parkTime(handlers int64) time.Duration {
	if handlers > manyHandlers {
		return parkSoon
	}
	return parkAfter
}

// parkedCall is a call whose handler has returned.
type parkedCall struct {
	conn    net.Conn
	request *Request
}

// writeFunc fills a response with a request's answer.
type writeFunc func(response *fasthttp.Response, request *Request, result Result)

func newParkingLot(report func(Input) bool) *parkingLot {
	return &parkingLot{report: report, calls: make(map[*parkedCall]struct{})}
}

// park takes a call's connection over from the HTTP library.
func (p *parkingLot) park(c *fiber.Ctx, request *Request, write writeFunc) {
	parked := &parkedCall{conn: c.Context().Conn(), request: request}
	answer := func() {
		p.remove(parked)
		parked.answer(write)
	}
	c.Context().HijackSetNoResponse(true)
	c.Context().Hijack(func(net.Conn) {
		p.add(parked)
		if !request.call.park(answer) {
			go answer()
		}
	})
}

func (p *parkingLot) add(parked *parkedCall) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls[parked] = struct{}{}
}

func (p *parkingLot) remove(parked *parkedCall) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.calls, parked)
}

// answer writes the answer to the caller and closes the connection.
func (p *parkedCall) answer(write writeFunc) {
	defer p.conn.Close()
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	var result Result
	if !p.request.call.streams() {
		result = <-p.request.call.done
	}
	write(response, p.request, result)
	response.SetConnectionClose()
	writer := bufio.NewWriter(p.conn)
	if err := response.Write(writer); err != nil {
		return // the caller sees a connection that ends before the answer does
	}
	_ = writer.Flush()
}

// watch tells the world of parked callers that have gone, until the context
// ends.
func (p *parkingLot) watch(ctx context.Context) error {
	ticker := time.NewTicker(callerCheck)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			p.check()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (p *parkingLot) check() {
	for _, parked := range p.snapshot() {
		if connectionGone(parked.conn) {
			p.report(CallerGone{Request: parked.request.ID})
		}
	}
}

func (p *parkingLot) snapshot() []*parkedCall {
	p.mu.Lock()
	defer p.mu.Unlock()
	calls := make([]*parkedCall, 0, len(p.calls))
	for parked := range p.calls {
		calls = append(calls, parked)
	}
	return calls
}
