package router

import (
	"bufio"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/lo"
	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellchute/bluebellchute/internal/control"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
)

// Paths of an agent's data port.
const (
	runPath    = "/v1/run"
	resumePath = "/v1/resume"
)

// maxFrameBytes bounds one frame of an answer.
const maxFrameBytes = 16 << 20

// dataPath carries requests to agents and their answers back. It reports each
// step to the world and decides nothing.
type dataPath struct {
	hosts       *hosts
	self        fleet.Node
	incarnation uint64
	token       control.DataToken
	report      func(Input) bool
	countGrants func(bytes int) // may be nil
}

// send carries out a SendRun. It returns when the answer is whole or the
// connection has ended.
func (d *dataPath) send(command SendRun) {
	host := d.hosts.get(command.Agent.Data, command.Silence)
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	d.prepare(request, command.Agent.Data, runPath)
	request.AppendBody(command.Request.Payload)
	request.AppendBody(d.changing(command))
	if !command.UseBy.IsZero() && !time.Now().Before(command.UseBy) {
		d.report(RunNotSent{Attempt: command.Attempt})
		return
	}
	reader := &frameReader{
		path:     d,
		attempt:  command.Attempt,
		receiver: command.Request.Answer,
		agent:    command.Agent.Control,
		service:  command.Request.Service,
	}
	d.exchange(host.pooled, host, request, reader)
}

// changing encodes the fields of rpc.RunRequest that differ between attempts.
// Encoded messages that follow each other are read as one.
func (d *dataPath) changing(command SendRun) []byte {
	message := &rpc.RunRequest{
		Grant:             command.Grant,
		Suspect:           command.Suspect,
		Waiting:           command.Waiting,
		Router:            string(d.self.Control),
		RouterIncarnation: d.incarnation,
		Attempt:           command.Attempt.Number,
		Acknowledged:      command.Acks,
		Guards:            lo.Map(command.Guards, func(guard fleet.Address, _ int) string { return string(guard) }),
	}
	encoded, err := proto.Marshal(message)
	if err != nil {
		// Only invalid UTF-8 in the router's own address could cause it.
		panic(err)
	}
	return encoded
}

// resume carries out a SendResume over a new connection.
func (d *dataPath) resume(command SendResume) {
	host := d.hosts.get(command.Agent, command.Silence)
	receiver := command.Request.Answer
	offset, head := receiver.Position()
	id := receiver.ID()
	body, err := proto.Marshal(&rpc.ResumeRequest{RequestId: id[:], Offset: offset, HeadReceived: head})
	if err != nil {
		panic(err) // bytes and numbers always encode
	}
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	d.prepare(request, command.Agent, resumePath)
	request.SetConnectionClose()
	request.SetBody(body)
	d.exchange(host.fresh, host, request, &frameReader{path: d, attempt: command.Attempt, receiver: receiver})
}

func (d *dataPath) prepare(request *fasthttp.Request, agent fleet.Address, path string) {
	request.Header.Set(d.token.Header())
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + string(agent) + path)
	request.Header.SetContentType("application/x-protobuf")
}

// exchange sends the request and reads the answer's frames.
func (d *dataPath) exchange(client *fasthttp.HostClient, host *agentHost, request *fasthttp.Request, reader *frameReader) {
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	err := client.Do(request, response)
	if err == nil && response.StatusCode() != fasthttp.StatusOK {
		err = errors.Errorf("agent replied with status %d", response.StatusCode())
	}
	if err == nil {
		err = reader.readAll(response.BodyStream())
	}
	if closeErr := response.CloseBodyStream(); err == nil && closeErr != nil && !reader.final {
		err = closeErr
	}
	if reader.final {
		return
	}
	d.reportBroken(client, host, reader, err)
}

// reportBroken tells the world how an exchange ended without a final frame.
func (d *dataPath) reportBroken(client *fasthttp.HostClient, host *agentHost, reader *frameReader, err error) {
	if errors.Is(err, errCallerGone) {
		return // the world has heard of it from the caller's side
	}
	var dial *dialError
	notSent := errors.As(err, &dial) || errors.Is(err, fasthttp.ErrNoFreeConns)
	if notSent && client == host.pooled {
		d.report(RunNotSent{Attempt: reader.attempt, Peer: true})
		return
	}
	// What has broken one connection may have broken the idle ones too.
	host.pooled.CloseIdleConnections()
	d.report(AnswerBroken{
		Attempt:  reader.attempt,
		Refused:  errors.Is(err, syscall.ECONNREFUSED),
		Bad:      errors.Is(err, ErrChecksum),
		TooLarge: errors.Is(err, ErrTooLarge),
		Progress: reader.progress,
	})
}

// frameReader reads the frames of one connection.
type frameReader struct {
	path     *dataPath
	attempt  AttemptID
	receiver *Receiver
	agent    fleet.Address // whose grants the frames carry; empty: they carry none
	service  fleet.Service
	progress bool // something of the answer came
	final    bool // the last frame was reported
}

var bufferedReaders = sync.Pool{New: func() any { return bufio.NewReader(nil) }}

// readAll reads frames until the last one or an error.
func (r *frameReader) readAll(stream io.Reader) error {
	if stream == nil {
		return errNoFrames
	}
	buffered := bufferedReaders.Get().(*bufio.Reader)
	buffered.Reset(stream)
	defer func() {
		buffered.Reset(nil)
		bufferedReaders.Put(buffered)
	}()
	options := protodelim.UnmarshalOptions{MaxSize: maxFrameBytes}
	frame := &rpc.AnswerFrame{}
	for !r.final {
		proto.Reset(frame)
		if err := options.UnmarshalFrom(buffered, frame); err != nil {
			return err
		}
		if err := r.take(frame); err != nil {
			return err
		}
	}
	drainEnd(buffered)
	return nil
}

// drainEnd reads the end of the body, so that the connection can be used again.
func drainEnd(reader *bufio.Reader) { _, _ = reader.ReadByte() }

func (r *frameReader) take(frame *rpc.AnswerFrame) error {
	progress, err := r.receiver.Take(frame)
	if err != nil {
		return err
	}
	r.progress = true
	r.takeGrants(frame)
	if input := InputOf(r.attempt, progress, frame); input != nil {
		r.final = progress.Final()
		r.path.report(input)
	}
	return nil
}

// chunkOverhead is what HTTP adds to a frame that is written alone: two digits
// of length and two line ends.
const chunkOverhead = 6

// takeGrants hands on the grants that a frame carries.
func (r *frameReader) takeGrants(frame *rpc.AnswerFrame) {
	granted := GrantsOf(r.agent, r.service, frame, time.Now())
	if granted == nil {
		return
	}
	if r.path.countGrants != nil {
		size := proto.Size(frame)
		r.path.countGrants(protowire.SizeBytes(size) + chunkOverhead)
	}
	r.path.report(granted)
}

// connectionGone tells whether the caller has closed its connection. It looks
// at the socket without taking anything from it: a pipelined request stays.
func connectionGone(conn net.Conn) bool {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return true
	}
	gone := false
	err = control.Control(func(fd uintptr) {
		var peeked [1]byte
		n, _, err := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		again := errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR)
		gone = (err != nil && !again) || (err == nil && n == 0)
	})
	return gone || err != nil
}
