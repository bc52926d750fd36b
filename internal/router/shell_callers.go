package router

import (
	"context"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
	"github.com/bluebellchute/bluebellchute/internal/settings"
)

// callers serves the callers' HTTP interface.
type callers struct {
	view     func() settings.View
	report   func(Input) bool
	metrics  *Metrics
	draining *atomic.Bool
	app      *fiber.App
	parked   *parkingLot
	active   progress     // calls and streams in progress
	handlers atomic.Int64 // calls that wait in their handlers
}

func newCallers(config CallersSection, view func() settings.View, report func(Input) bool, metrics *Metrics, draining *atomic.Bool) *callers {
	s := &callers{view: view, report: report, metrics: metrics, draining: draining, parked: newParkingLot(report)}
	s.app = fiber.New(fiber.Config{
		BodyLimit:             config.BodyBytes,
		Concurrency:           config.Connections,
		ReadTimeout:           config.ReadTimeout,
		IdleTimeout:           config.IdleTimeout,
		DisableStartupMessage: true,
		ReduceMemoryUsage:     true,
		ErrorHandler:          s.serveError,
	})
	// The handler of a parked call returns while its connection lives on.
	s.app.Server().KeepHijackedConns = true
	s.app.Server().HeaderReceived = s.limitBody
	s.app.Post("/v1/chat/completions", s.serveModel)
	s.app.Post("/v1/completions", s.serveModel)
	s.app.All("/svc/:service", s.servePlain)
	s.app.All("/svc/:service/*", s.servePlain)
	return s
}

// serve serves callers until the listener is closed.
func (s *callers) serve(listener net.Listener) error {
	return errors.Wrap(s.app.Listener(listener), "data port")
}

// shutdown closes the listener and the idle connections. All calls have been
// answered after a drain; without one, those in progress are cut.
func (s *callers) shutdown() error {
	err := s.app.ShutdownWithTimeout(shutdownTimeout)
	if errors.Is(err, context.DeadlineExceeded) {
		return nil
	}
	return errors.Wrap(err, "data port")
}

// serveError answers what no handler took: bad HTTP and unknown paths.
func (s *callers) serveError(c *fiber.Ctx, err error) error {
	status := fiber.StatusInternalServerError
	var fiberError *fiber.Error
	if errors.As(err, &fiberError) {
		status = fiberError.Code
	}
	if status == fiber.StatusRequestEntityTooLarge {
		if _, _, mistake := s.authenticate(c); mistake != nil {
			return s.reject(c, mistake)
		}
	}
	if status == fiber.StatusBadGateway {
		// The library's word for a caller's connection that broke.
		status = fiber.StatusBadRequest
	}
	if status >= fiber.StatusInternalServerError {
		// Nothing of the request was sent on: handlers answer by themselves.
		status = fiber.StatusBadRequest
	}
	return s.reject(c, bad(status, "bad_request", err.Error()))
}

// reject answers a caller's mistake. The request was not run.
func (s *callers) reject(c *fiber.Ctx, mistake *badRequest) error {
	c.Set(headerOutcome, string(fleet.OutcomeNotRun))
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	if len(c.Response().Header.Peek(headerRequest)) == 0 {
		c.Set(headerRequest, newRequestID().String())
	}
	if mistake.status == fiber.StatusServiceUnavailable {
		c.Set(fiber.HeaderRetryAfter, "1")
	}
	s.metrics.rejected.WithLabelValues(mistake.code).Inc()
	return c.Status(mistake.status).Send(encodeError(mistake.status, mistake.code, mistake.message, fleet.OutcomeNotRun))
}

// authenticate returns the settings in force and the caller's client account.
func (s *callers) authenticate(c *fiber.Ctx) (settings.View, fleet.Account, *badRequest) {
	view := s.view()
	account, mistake := authenticate(c.Get(fiber.HeaderAuthorization), view)
	return view, account, mistake
}

// strangerBodyBytes is the largest body that is read for a caller without a
// known key. Anybody can reach the port; without this bound, strangers could
// fill the router's memory with bodies that are refused once they are whole.
const strangerBodyBytes = 4096

// limitBody sets the bound of a call's body once its header is there.
func (s *callers) limitBody(header *fasthttp.RequestHeader) fasthttp.RequestConfig {
	key := string(header.Peek(fiber.HeaderAuthorization))
	if _, mistake := authenticate(key, s.view()); mistake != nil {
		return fasthttp.RequestConfig{MaxRequestBodySize: strangerBodyBytes}
	}
	return fasthttp.RequestConfig{}
}

// serveModel serves a call that names its service in the field model.
func (s *callers) serveModel(c *fiber.Ctx) error {
	view, account, mistake := s.authenticate(c)
	if mistake != nil {
		return s.reject(c, mistake)
	}
	fields, mistake := readModel(c.BodyRaw())
	if mistake != nil {
		return s.reject(c, mistake)
	}
	service, ok := view.Service(fleet.Service(fields.Model))
	if !ok || service.Kind == settings.KindPlain {
		return s.reject(c, bad(fiber.StatusNotFound, "model_not_found", "there is no such model"))
	}
	path := c.Path()
	request, mistake := buildRequest(c, view, account, service, path)
	if mistake != nil {
		return s.reject(c, mistake)
	}
	request.Stream = fields.Stream
	request.Cost = estimateCost(service, fields, len(c.BodyRaw()))
	return s.run(c, request, service, path)
}

// servePlain serves a call to a plain service, which the path names.
func (s *callers) servePlain(c *fiber.Ctx) error {
	view, account, mistake := s.authenticate(c)
	if mistake != nil {
		return s.reject(c, mistake)
	}
	service, ok := view.Service(fleet.Service(c.Params("service")))
	if !ok {
		return s.reject(c, bad(fiber.StatusNotFound, "service_not_found", "there is no such service"))
	}
	path := plainPath(c)
	request, mistake := buildRequest(c, view, account, service, path)
	if mistake != nil {
		return s.reject(c, mistake)
	}
	return s.run(c, request, service, path)
}

// plainPath is the path at the backend server, with the query.
func plainPath(c *fiber.Ctx) string {
	target := strings.TrimPrefix(c.OriginalURL(), "/svc/")
	if at := strings.IndexAny(target, "/?"); at >= 0 {
		target = target[at:]
	} else {
		target = ""
	}
	if !strings.HasPrefix(target, "/") {
		target = "/" + target
	}
	return strings.Clone(target)
}

// run hands the request to the world and its answer to the caller.
func (s *callers) run(c *fiber.Ctx, request *Request, service settings.ServicePolicy, path string) error {
	payload, mistake := encodePayload(c, request, path)
	if mistake != nil {
		return s.reject(c, mistake)
	}
	request.Payload = payload
	c.Request().ResetBody()
	request.call = newCall()
	var sink Sink
	if request.Stream {
		id := request.ID
		request.call.stream = newCallerStream(func() { s.report(CallerGone{Request: id}) }, request.call.signal)
		sink = request.call.stream
	}
	request.Answer = NewReceiver(request.ID, sink, service.MaxAnswerBytes)
	if s.draining.Load() {
		c.Set(fiber.HeaderConnection, "close")
	}
	s.active.begin()
	if !s.report(Arrived{Request: request}) {
		request.call.done <- notRun(statusServiceUnavailable, CodeDraining, "this router is shutting down; use another one", 0)
	}
	s.await(c, request)
	return nil
}

// await waits for the final result, or for the head of a stream. A call that
// waits for long is parked.
func (s *callers) await(c *fiber.Ctx, request *Request) {
	var headed chan struct{}
	if request.call.stream != nil {
		headed = request.call.stream.headed
	}
	defer s.handlers.Add(-1)
	timer := time.NewTimer(parkTime(s.handlers.Add(1)))
	defer timer.Stop()
	select {
	case result := <-request.call.done:
		s.write(c.Response(), request, result)
	case <-headed:
		s.writeStream(c.Response(), request)
	case <-timer.C:
		s.parked.park(c, request, s.write)
	}
}

// write writes the whole answer, the stream that has begun, or the reason why
// there is none.
func (s *callers) write(response *fasthttp.Response, request *Request, result Result) {
	if request.call.streams() {
		s.writeStream(response, request)
		return
	}
	defer s.active.end()
	response.Header.Set(headerRequest, request.ID.String())
	if result.Outcome != fleet.OutcomeCompleted {
		writeResult(response, result)
		return
	}
	head, body := request.Answer.Answer()
	writeHead(response, int(head.Status), head.Headers, fleet.OutcomeCompleted)
	response.SetBodyRaw(body)
}

// writeStream passes the answer on as it comes. Its outcome is not known yet.
func (s *callers) writeStream(response *fasthttp.Response, request *Request) {
	stream := request.call.stream
	response.Header.Set(headerRequest, request.ID.String())
	writeHead(response, stream.status, stream.headers, fleet.OutcomeUnknown)
	response.ImmediateHeaderFlush = true
	response.SetBodyStream(&countedStream{callerStream: stream, done: s.active.end}, -1)
}

func writeHead(response *fasthttp.Response, status int, headers []*rpc.Header, outcome fleet.Outcome) {
	for _, header := range headers {
		if !keepsBack(header.Name) {
			response.Header.Add(header.Name, header.Value)
		}
	}
	response.Header.Set(headerOutcome, string(outcome))
	response.SetStatusCode(status)
}

// countedStream tells when the HTTP server has ended with a stream.
type countedStream struct {
	*callerStream
	done func()
	once sync.Once
}

// Close implements io.Closer.
func (s *countedStream) Close() error {
	err := s.callerStream.Close()
	s.once.Do(s.done)
	return err
}
