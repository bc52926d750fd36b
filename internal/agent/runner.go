package agent

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/bluebellchute/bluebellchute/internal/eventstream"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
	"github.com/bluebellchute/bluebellchute/internal/settings"
)

// progressInterval is the shortest time between two reports of a run's
// progress, so that the world takes in a bounded number of them.
const progressInterval = 50 * time.Millisecond

// runner runs admitted requests at the backend server, one goroutine each.
type runner struct {
	backend *backend
	world   inputs
	policy  func() settings.ServicePolicy

	mu      sync.Mutex
	cancels map[fleet.RequestID]context.CancelFunc
	group   sync.WaitGroup
}

func newRunner(backend *backend, world inputs, policy func() settings.ServicePolicy) *runner {
	return &runner{
		backend: backend,
		world:   world,
		policy:  policy,
		cancels: make(map[fleet.RequestID]context.CancelFunc),
	}
}

// start begins a run. The end is reported to the world as RunEnded, once.
func (r *runner) start(id fleet.RequestID, request *rpc.RunRequest, into *answer, deadline time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	r.mu.Lock()
	r.cancels[id] = cancel
	r.mu.Unlock()
	r.group.Go(func() {
		defer r.forget(id, cancel)
		one := &run{id: id, request: request, answer: into, backend: r.backend, world: r.world, policy: r.policy()}
		r.world.Send(one.run(ctx))
	})
}

// cancel stops a run.
func (r *runner) cancel(id fleet.RequestID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if cancel, ok := r.cancels[id]; ok {
		cancel()
	}
}

func (r *runner) forget(id fleet.RequestID, cancel context.CancelFunc) {
	cancel()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.cancels, id)
}

// stop cancels all runs and waits for their ends.
func (r *runner) stop() {
	r.mu.Lock()
	for _, cancel := range r.cancels {
		cancel()
	}
	r.mu.Unlock()
	r.group.Wait()
}

// run is one request at the backend server.
type run struct {
	id      fleet.RequestID
	request *rpc.RunRequest
	answer  *answer
	backend *backend
	world   inputs
	policy  settings.ServicePolicy

	events   eventCounter
	scanner  eventstream.Scanner
	reported time.Time
}

// errTooLarge tells that an answer outgrew the bound in the settings.
var errTooLarge = errors.New("the answer is larger than the service's settings allow")

// run runs the request and returns its end.
func (r *run) run(ctx context.Context) RunEnded {
	if r.policy.Kind == settings.KindModel {
		return r.ended(ctx, r.runModel(ctx))
	}
	return r.ended(ctx, r.runPlain(ctx))
}

// ended turns the last error of a run into its end.
func (r *run) ended(ctx context.Context, err error) RunEnded {
	end := RunEnded{ID: r.id, Tokens: r.events.events, Bytes: r.answer.size()}
	if used, ok := findUsage(r.answer.tail(usageTail)); ok {
		end.KnownUsage = true
		end.PromptTokens = used.PromptTokens
		end.Tokens = used.CompletionTokens
	}
	var crashed crashError
	switch {
	case err == nil:
		end.End = RunComplete
		return end
	case isDialError(err):
		end.End = RunNotSent
	case errors.As(err, &crashed):
		end.End = RunCrashed
	default:
		end.End = RunFailed
	}
	end.Reason = fleet.Wrap(err, fleet.StepRun, r.backend.address).Error()
	if ctx.Err() != nil {
		end.Reason = ctx.Err().Error()
	}
	return end
}

// runPlain sends a call to a plain service, once: the call may not be
// idempotent, and a connection that breaks doesn't tell whether it ran.
func (r *run) runPlain(ctx context.Context) error {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	r.backend.fillRequest(request, r.id, r.request)
	r.request = nil // its body is not needed twice
	deadline, _ := ctx.Deadline()
	err := onQuietConn(func() error { return r.backend.plain.DoDeadline(request, response, deadline) })
	if err != nil {
		return r.crashOr(ctx, err)
	}
	defer func() { _ = response.CloseBodyStream() }()
	r.answer.setHead(headOf(response))
	if err := r.copyBody(response); err != nil {
		return r.crashOr(ctx, err)
	}
	return nil
}

// copyBody takes the body of a response as it comes, and checks that it is whole.
func (r *run) copyBody(response *fasthttp.Response) error {
	stream := response.BodyStream()
	if stream == nil {
		if err := r.take(response.Body()); err != nil {
			return err
		}
		return r.checkEnd(response)
	}
	buffer := make([]byte, copyBuffer)
	for {
		n, err := stream.Read(buffer)
		if taken := r.take(buffer[:n]); taken != nil {
			return taken
		}
		if err == io.EOF {
			return r.checkEnd(response)
		}
		if err != nil {
			return errors.WithStack(err)
		}
	}
}

// take adds bytes to the answer and reports progress from time to time.
func (r *run) take(p []byte) error {
	if len(p) == 0 {
		return nil
	}
	if limit := r.policy.MaxAnswerBytes; limit > 0 && int64(r.answer.size())+int64(len(p)) > limit {
		return errTooLarge
	}
	r.events.write(p)
	r.scanner.Scan(p)
	r.answer.write(p)
	if now := time.Now(); now.Sub(r.reported) >= progressInterval {
		r.reported = now
		r.world.Send(RunProgress{ID: r.id, Tokens: r.events.events, Bytes: r.answer.size()})
	}
	return nil
}

// crashError tells that the backend server went down during a run.
type crashError struct{ error }

// crashOr marks an error as a crash if the backend server does not answer a
// health check now. An error of one connection only does not look like that.
func (r *run) crashOr(ctx context.Context, err error) error {
	if isDialError(err) || ctx.Err() != nil || r.backend.healthy() {
		return err
	}
	return crashError{err}
}

// exchange sends one request on a connection of its own and returns the head
// of the response, whose body is still to be read. close ends the connection.
func (r *run) exchange(ctx context.Context, request *fasthttp.Request, response *fasthttp.Response, silence time.Duration) (func(), error) {
	conn, err := r.backend.dial(ctx, silence)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	finish := func() {
		stop()
		_ = conn.Close()
	}
	if err := send(conn, request, response); err != nil {
		finish()
		return nil, err
	}
	return finish, nil
}

func send(conn net.Conn, request *fasthttp.Request, response *fasthttp.Response) error {
	request.SetConnectionClose()
	writer := bufio.NewWriter(conn)
	if err := request.Write(writer); err != nil {
		return errors.WithStack(err)
	}
	if err := writer.Flush(); err != nil {
		return errors.WithStack(err)
	}
	response.StreamBody = true
	return errors.WithStack(response.Read(bufio.NewReader(conn)))
}
