package router

import (
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/pkg/errors"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/settings"
)

// callerCheck is the time between two looks whether a caller is still there.
const callerCheck = time.Second

// callers serves the callers' HTTP interface.
type callers struct {
	view     func() settings.View
	report   func(Input) bool
	metrics  *Metrics
	draining *atomic.Bool
	app      *fiber.App
	active   sync.WaitGroup // calls and streams in progress
}

func newCallers(config CallersSection, view func() settings.View, report func(Input) bool, metrics *Metrics, draining *atomic.Bool) *callers {
	s := &callers{view: view, report: report, metrics: metrics, draining: draining}
	s.app = fiber.New(fiber.Config{
		BodyLimit:             config.BodyBytes,
		Concurrency:           config.Connections,
		ReadTimeout:           config.ReadTimeout,
		IdleTimeout:           config.IdleTimeout,
		DisableStartupMessage: true,
		ReduceMemoryUsage:     true,
		ErrorHandler:          s.serveError,
	})
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

// shutdown closes the listener and the idle connections.
func (s *callers) shutdown() error {
	return errors.Wrap(s.app.ShutdownWithTimeout(shutdownTimeout), "data port")
}

// serveError answers what no handler took: bad HTTP and unknown paths.
func (s *callers) serveError(c *fiber.Ctx, err error) error {
	status := fiber.StatusInternalServerError
	var fiberError *fiber.Error
	if errors.As(err, &fiberError) {
		status = fiberError.Code
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
	if view == nil {
		return nil, "", bad(fiber.StatusServiceUnavailable, "starting", "this router has no settings yet")
	}
	account, mistake := authenticate(c, view)
	return view, account, mistake
}

// serveModel serves a call that names its service in the field model.
func (s *callers) serveModel(c *fiber.Ctx) error {
	view, account, mistake := s.authenticate(c)
	if mistake != nil {
		return s.reject(c, mistake)
	}
	fields, mistake := readModel(c.Body())
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
	request.Cost = estimateCost(service, fields, len(c.Body()))
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
	request.call = &call{done: make(chan Result, 1)}
	var sink Sink
	if request.Stream {
		id := request.ID
		request.call.stream = newCallerStream(func() { s.report(CallerGone{Request: id}) })
		sink = request.call.stream
	}
	request.Answer = NewReceiver(request.ID, sink, service.MaxAnswerBytes)
	c.Set(headerRequest, request.ID.String())
	if s.draining.Load() {
		c.Set(fiber.HeaderConnection, "close")
	}
	s.active.Add(1)
	if !s.report(Arrived{Request: request}) {
		s.active.Done()
		return writeResult(c, notRun(statusServiceUnavailable, CodeDraining, "this router is shutting down; use another one", 0))
	}
	return s.await(c, request)
}

// await waits for the final result, or for the head of a stream.
func (s *callers) await(c *fiber.Ctx, request *Request) error {
	var headed chan struct{}
	if request.call.stream != nil {
		headed = request.call.stream.headed
	}
	conn := c.Context().Conn()
	timer := time.NewTimer(callerCheck)
	defer timer.Stop()
	for {
		select {
		case result := <-request.call.done:
			if request.call.streams() {
				return s.writeStream(c, request)
			}
			defer s.active.Done()
			return s.writeWhole(c, request, result)
		case <-headed:
			return s.writeStream(c, request)
		case <-timer.C:
			if connectionGone(conn) {
				s.report(CallerGone{Request: request.ID})
			}
			timer.Reset(callerCheck)
		}
	}
}

// writeWhole writes a whole answer, or the reason why there is none.
func (s *callers) writeWhole(c *fiber.Ctx, request *Request, result Result) error {
	if result.Outcome != fleet.OutcomeCompleted {
		return writeResult(c, result)
	}
	head, body := request.Answer.Answer()
	for _, header := range head.Headers {
		if !keepsBack(header.Name) {
			c.Response().Header.Add(header.Name, header.Value)
		}
	}
	c.Set(headerOutcome, string(fleet.OutcomeCompleted))
	c.Status(int(head.Status))
	c.Response().SetBodyRaw(body)
	return nil
}

// writeStream passes the answer on as it comes. Its outcome is not known yet.
func (s *callers) writeStream(c *fiber.Ctx, request *Request) error {
	stream := request.call.stream
	for _, header := range stream.headers {
		if !keepsBack(header.Name) {
			c.Response().Header.Add(header.Name, header.Value)
		}
	}
	c.Set(headerOutcome, string(fleet.OutcomeUnknown))
	c.Status(stream.status)
	c.Response().ImmediateHeaderFlush = true
	c.Response().SetBodyStream(&countedStream{callerStream: stream, done: s.active.Done}, -1)
	return nil
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
