package agent

import (
	"bytes"
	"net"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/samber/lo"
	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellchute/bluebellchute/internal/control"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
)

// Paths of the data path between routers and agents.
const (
	PathRun    = "/v1/run"
	PathResume = "/v1/resume"
)

// writeTimeout ends a connection whose router takes no bytes. The answer stays
// held, so nothing is lost with the connection.
const writeTimeout = 5 * time.Second

// idleTimeout ends a connection without requests.
const idleTimeout = 2 * time.Minute

// dataServer serves the data path.
type dataServer struct {
	world     inputs
	calls     *calls
	answers   *answers
	carriers  *carriers
	heartbeat func() time.Duration
	token     control.DataToken
	server    *fasthttp.Server
}

func newDataServer(world inputs, calls *calls, answers *answers, carriers *carriers, heartbeat func() time.Duration, token string, maxRequest int) *dataServer {
	s := &dataServer{
		world:     world,
		calls:     calls,
		answers:   answers,
		carriers:  carriers,
		heartbeat: heartbeat,
		token:     control.NewDataToken(token),
	}
	s.server = &fasthttp.Server{
		Handler:               s.handle,
		Name:                  "bluebell-agent",
		MaxRequestBodySize:    maxRequest,
		Concurrency:           MaxDataConnections,
		IdleTimeout:           idleTimeout,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		CloseOnShutdown:       true,
	}
	return s
}

// serve accepts connections until the listener is closed.
func (s *dataServer) serve(listener net.Listener) error {
	return s.server.Serve(progressListener{Listener: listener})
}

func (s *dataServer) handle(ctx *fasthttp.RequestCtx) {
	if !s.token.Accepts(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)) {
		ctx.Error("the fleet's token is missing or wrong", fasthttp.StatusUnauthorized)
		return
	}
	switch string(ctx.Path()) {
	case PathRun:
		s.handleRun(ctx)
	case PathResume:
		s.handleResume(ctx)
	default:
		ctx.Error("no such path", fasthttp.StatusNotFound)
	}
}

// handleRun asks the world whether the request may run, and streams the answer.
func (s *dataServer) handleRun(ctx *fasthttp.RequestCtx) {
	run := &rpc.RunRequest{}
	id, err := parseRun(ctx.PostBody(), run)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if ids := requestIDs(run.Acknowledged); len(ids) > 0 {
		s.world.Send(Acknowledge{IDs: ids})
	}
	ctx.Request.ResetBody() // the copy in run is enough while the answer streams
	reply, err := s.calls.ask(s.world, run, func(ticket Ticket) Input { return dispatchOf(ticket, id, run) })
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusServiceUnavailable)
		return
	}
	switch decision := reply.(type) {
	case Admitted:
		reader := s.reader(id)
		if reader == nil {
			writeFrame(ctx, id, failedFrame(rpc.RequestState_REQUEST_STATE_FAILED, reasonGone, false))
			return
		}
		reader.accept(decision.FreeSlots)
		reader.carryGrants(s.carriers, carrierKey{router: fleet.Address(run.Router), incarnation: run.RouterIncarnation})
		ctx.SetBodyStream(reader, -1)
	case Refused:
		writeFrame(ctx, id, refusedFrame(decision))
	default:
		ctx.Error("unexpected decision", fasthttp.StatusInternalServerError)
	}
}

// handleResume streams an answer from an offset on.
func (s *dataServer) handleResume(ctx *fasthttp.RequestCtx) {
	request := &rpc.ResumeRequest{}
	if err := proto.Unmarshal(ctx.PostBody(), request); err != nil {
		ctx.Error("resume request: "+err.Error(), fasthttp.StatusBadRequest)
		return
	}
	id, err := uuid.FromBytes(request.RequestId)
	if err != nil {
		ctx.Error("request id: "+err.Error(), fasthttp.StatusBadRequest)
		return
	}
	reply, err := s.calls.ask(s.world, nil, func(ticket Ticket) Input { return Resume{Ticket: ticket, ID: id} })
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusServiceUnavailable)
		return
	}
	if decision, ok := reply.(NotServed); ok {
		writeFrame(ctx, id, failedFrame(decision.State, decision.Reason, false))
		return
	}
	reader := s.reader(id)
	if reader == nil {
		writeFrame(ctx, id, failedFrame(rpc.RequestState_REQUEST_STATE_FAILED, reasonGone, false))
		return
	}
	reader.resume(request.Offset, request.HeadReceived)
	ctx.SetBodyStream(reader, -1)
}

func (s *dataServer) reader(id fleet.RequestID) *frameReader {
	held := s.answers.get(id)
	if held == nil {
		return nil
	}
	return newFrameReader(id, held, s.heartbeat(), func() { s.world.Send(Delivered{ID: id}) })
}

func parseRun(body []byte, run *rpc.RunRequest) (fleet.RequestID, error) {
	if err := proto.Unmarshal(body, run); err != nil {
		return fleet.RequestID{}, errors.Wrap(err, "run request")
	}
	id, err := uuid.FromBytes(run.RequestId)
	if err != nil {
		return fleet.RequestID{}, errors.Wrap(err, "request id")
	}
	if id.Version() != 7 {
		return fleet.RequestID{}, errors.Errorf("request id %s is not a UUIDv7", id)
	}
	if run.Router == "" || run.Account == "" {
		return id, errors.New("run request lacks the router or the account")
	}
	return id, nil
}

func dispatchOf(ticket Ticket, id fleet.RequestID, run *rpc.RunRequest) Dispatch {
	return Dispatch{
		Ticket:            ticket,
		ID:                id,
		Account:           fleet.Account(run.Account),
		Service:           fleet.Service(run.Service),
		Router:            fleet.Address(run.Router),
		RouterIncarnation: run.RouterIncarnation,
		Grant:             run.Grant,
		Deadline:          time.UnixMilli(run.DeadlineMs),
		EstimatedCost:     run.EstimatedCost,
		Fingerprint:       Fingerprint(run.Fingerprint),
		Suspect:           run.Suspect,
		Idempotent:        run.Idempotent,
		Key:               run.IdempotencyKey,
		Guards:            addresses(run.Guards),
		Waiting:           run.Waiting,
		Attempt:           run.Attempt,
	}
}

func addresses(texts []string) []fleet.Address {
	return lo.Map(texts, func(text string, _ int) fleet.Address { return fleet.Address(text) })
}

func writeFrame(ctx *fasthttp.RequestCtx, id fleet.RequestID, frame *rpc.AnswerFrame) {
	frame.RequestId = id[:]
	var buffer bytes.Buffer
	// Writing to a buffer fails only for a message that can't be encoded,
	// which these can.
	_, _ = protodelim.MarshalTo(&buffer, frame)
	ctx.SetBody(buffer.Bytes())
}
