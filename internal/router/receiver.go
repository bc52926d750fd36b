package router

import (
	"bytes"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
)

// Errors of an answer's frames. Each makes the router drop the connection.
var (
	// ErrCrossed tells that a frame belongs to another request.
	ErrCrossed = errors.New("frame of another request")
	// ErrGap tells that a frame does not begin where the last one ended.
	ErrGap = errors.New("frame does not continue the answer")
	// ErrOrder tells that a frame came at a place where it cannot stand.
	ErrOrder = errors.New("frame out of order")
	// ErrChecksum tells that length or checksum do not fit what was received.
	ErrChecksum = errors.New("answer differs from its checksum")
	// ErrTooLarge tells that the answer is larger than the service permits.
	ErrTooLarge = errors.New("answer larger than the service permits")
)

// Sink takes a streamed answer as it comes. An error of Data means that the
// caller is gone.
type Sink interface {
	Head(status int, headers []*rpc.Header)
	Data(data []byte) error
}

// Progress is what a frame meant for the request.
type Progress int

// The kinds of progress.
const (
	ProgressNone     Progress = iota // heartbeat, head or data
	ProgressStarted                  // the first part went to the caller
	ProgressRefused                  // final: the request did not run there
	ProgressAccepted                 // the run is recorded at the agent
	ProgressEnded                    // final: the answer is whole
	ProgressFailed                   // final: there is no answer
)

// Final tells whether no further frame follows.
func (p Progress) Final() bool {
	return p == ProgressRefused || p == ProgressEnded || p == ProgressFailed
}

// InputOf tells the world what a frame meant, or returns nil when it need not
// know.
func InputOf(attempt AttemptID, progress Progress, frame *rpc.AnswerFrame) Input {
	switch progress {
	case ProgressStarted:
		return AnswerStarted{Attempt: attempt}
	case ProgressRefused:
		refused := frame.GetRefused()
		return RunRefused{
			Attempt:    attempt,
			Reason:     refused.Reason,
			RetryAfter: time.Duration(refused.RetryAfterMs) * time.Millisecond,
		}
	case ProgressAccepted:
		return RunAccepted{Attempt: attempt, FreeSlots: frame.GetAccepted().FreeSlots}
	case ProgressEnded:
		end := frame.GetEnd()
		return AnswerEnded{Attempt: attempt, FreeSlots: end.FreeSlots, Cost: end.Cost}
	case ProgressFailed:
		failed := frame.GetFailed()
		return AnswerFailed{Attempt: attempt, State: failed.State, Crashed: failed.Crashed, Reason: failed.Reason}
	}
	return nil
}

// GrantsOf returns the grants that a frame of an agent carries as an input of
// the world, or nil when there are none. The frame must have passed the
// Receiver: its grants are for this router only if the frame is.
func GrantsOf(agent fleet.Address, service fleet.Service, frame *rpc.AnswerFrame, received time.Time) Input {
	if len(frame.Grants) == 0 || agent == "" {
		return nil
	}
	return Granted{Carried: true, Agent: agent, Service: service, Grants: frame.Grants, Received: received}
}

// Receiver puts one answer together from frames, over several connections if
// need be. It is used by one reader at a time.
//
// Connections may be mixed up between the two ends, and a resumed answer may
// begin at the wrong place. The caller would get another caller's data, or its
// own twice. So each frame must carry the id and continue at the offset.
type Receiver struct {
	id      fleet.RequestID
	sink    Sink // nil: the answer is kept until it is whole
	limit   int64
	head    *rpc.AnswerHead
	body    []byte
	offset  uint64
	digest  xxhash.Digest
	started bool // the sink was given something
}

// NewReceiver returns a Receiver for the answer of request id. A limit of 0
// sets no bound on the answer's size in bytes.
func NewReceiver(id fleet.RequestID, sink Sink, limit int64) *Receiver {
	receiver := &Receiver{id: id, sink: sink, limit: limit}
	receiver.digest.Reset()
	return receiver
}

// ID is the request whose answer is received. It differs from the caller's
// own when the caller joined an earlier request with the same key.
func (r *Receiver) ID() fleet.RequestID { return r.id }

// Position is where a new connection must continue.
func (r *Receiver) Position() (offset uint64, headReceived bool) {
	return r.offset, r.head != nil
}

// Started tells whether the caller has been given a part of the answer.
func (r *Receiver) Started() bool { return r.started }

// Answer returns the whole answer after ProgressEnded.
func (r *Receiver) Answer() (*rpc.AnswerHead, []byte) { return r.head, r.body }

// Restart forgets what was received, so that another run, or the same one from
// its beginning, can be received. It reports false when the caller has been
// given a part already.
func (r *Receiver) Restart(id fleet.RequestID) bool {
	if r.started {
		return false
	}
	r.id = id
	r.head = nil
	r.body = nil
	r.offset = 0
	r.digest.Reset()
	return true
}

// Take checks a frame and takes it in.
func (r *Receiver) Take(frame *rpc.AnswerFrame) (Progress, error) {
	if !bytes.Equal(frame.RequestId, r.id[:]) {
		return ProgressNone, ErrCrossed
	}
	switch kind := frame.Frame.(type) {
	case *rpc.AnswerFrame_Refused:
		return ProgressRefused, nil
	case *rpc.AnswerFrame_Accepted:
		return ProgressAccepted, nil
	case *rpc.AnswerFrame_Head:
		return r.takeHead(kind.Head)
	case *rpc.AnswerFrame_Data:
		return r.takeData(kind.Data)
	case *rpc.AnswerFrame_Heartbeat:
		return ProgressNone, nil
	case *rpc.AnswerFrame_End:
		return r.takeEnd(kind.End)
	case *rpc.AnswerFrame_Failed:
		return ProgressFailed, nil
	}
	return ProgressNone, ErrOrder
}

func (r *Receiver) takeHead(head *rpc.AnswerHead) (Progress, error) {
	if r.head != nil {
		return ProgressNone, ErrOrder
	}
	r.head = proto.Clone(head).(*rpc.AnswerHead)
	if !r.passesOn() {
		return ProgressNone, nil
	}
	r.started = true
	r.sink.Head(int(head.Status), r.head.Headers)
	return ProgressStarted, nil
}

// passesOn tells whether the answer goes to the caller as it comes. An error
// answer of the backend server is not a stream and is handed out whole.
func (r *Receiver) passesOn() bool {
	return r.sink != nil && r.head != nil && r.head.Status == statusOK
}

func (r *Receiver) takeData(data *rpc.AnswerData) (Progress, error) {
	if r.head == nil {
		return ProgressNone, ErrOrder
	}
	if data.Offset != r.offset {
		return ProgressNone, ErrGap
	}
	if r.limit > 0 && int64(r.offset)+int64(len(data.Data)) > r.limit {
		return ProgressNone, ErrTooLarge
	}
	r.offset += uint64(len(data.Data))
	_, _ = r.digest.Write(data.Data)
	if !r.passesOn() {
		r.body = append(r.body, data.Data...)
		return ProgressNone, nil
	}
	if err := r.sink.Data(data.Data); err != nil {
		return ProgressNone, errors.WithStack(err)
	}
	return ProgressNone, nil
}

func (r *Receiver) takeEnd(end *rpc.AnswerEnd) (Progress, error) {
	if r.head == nil {
		return ProgressNone, ErrOrder
	}
	if end.Length != r.offset || end.Checksum != r.digest.Sum64() {
		return ProgressNone, ErrChecksum
	}
	return ProgressEnded, nil
}

// errNoFrames tells that a connection ended before the answer did.
var errNoFrames = errors.Wrap(io.ErrUnexpectedEOF, "connection ended before the answer")
