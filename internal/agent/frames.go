package agent

import (
	"bytes"
	"io"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
)

// maxFrameData bounds the bytes of an answer in one frame, so that a reader
// needs a bounded buffer.
const maxFrameData = 32 << 10

// frameReader turns an answer into the frames of one connection. It implements
// io.ReadCloser; Read waits for the answer to grow and gives a heartbeat when
// it doesn't, so that the router can tell a slow run from a dead connection.
type frameReader struct {
	id        fleet.RequestID
	answer    *answer
	heartbeat time.Duration
	delivered func() // called when the last frame has been written out

	carriers *carriers     // nil: the connection carries no grants
	carrier  carrierKey    // the router that reads
	handed   []*rpc.Grant  // to go out with the next frame; guarded by carriers
	woken    chan struct{} // has room for one word

	offset   uint64
	headSent bool
	ended    bool
	pending  bytes.Buffer
	timer    *time.Timer
}

// newFrameReader returns a reader from an offset of the answer's body on.
func newFrameReader(id fleet.RequestID, a *answer, heartbeat time.Duration, delivered func()) *frameReader {
	return &frameReader{id: id, answer: a, heartbeat: heartbeat, delivered: delivered}
}

// carryGrants lets the connection carry grants to the router that reads it.
func (r *frameReader) carryGrants(carriers *carriers, router carrierKey) {
	r.carriers = carriers
	r.carrier = router
	r.woken = make(chan struct{}, 1)
}

// accept puts the first frame of /v1/run in front.
func (r *frameReader) accept(freeSlots uint32) {
	r.push(&rpc.AnswerFrame{Frame: &rpc.AnswerFrame_Accepted{Accepted: &rpc.Accepted{FreeSlots: freeSlots}}})
}

// resume sets where the router's knowledge of the answer ends.
func (r *frameReader) resume(offset uint64, headReceived bool) {
	r.offset = offset
	r.headSent = headReceived
}

// Read implements io.Reader.
func (r *frameReader) Read(p []byte) (int, error) {
	for r.pending.Len() == 0 {
		if r.ended {
			r.delivered()
			return 0, io.EOF
		}
		r.fill()
	}
	return r.pending.Read(p)
}

// Close implements io.Closer.
func (r *frameReader) Close() error {
	if r.timer != nil {
		r.timer.Stop()
	}
	return nil
}

// fill adds all frames that can be made now, or waits for one.
func (r *frameReader) fill() {
	v := r.answer.from(r.offset)
	if r.add(v) {
		return
	}
	changed, grants := r.wait(v.changed)
	switch {
	case len(grants) > 0:
		r.pushGrants(grants)
	case !changed:
		r.push(&rpc.AnswerFrame{Frame: &rpc.AnswerFrame_Heartbeat{Heartbeat: &rpc.Heartbeat{}}})
	}
}

// chunkOverhead is what HTTP adds to a frame that is written alone: two digits
// of length and two line ends.
const chunkOverhead = 6

// pushGrants adds a heartbeat with grants.
func (r *frameReader) pushGrants(grants []*rpc.Grant) {
	before := r.pending.Len()
	r.push(&rpc.AnswerFrame{
		Frame:  &rpc.AnswerFrame_Heartbeat{Heartbeat: &rpc.Heartbeat{}},
		Grants: grants,
	})
	r.carriers.count(r.pending.Len() - before + chunkOverhead)
}

// add reports whether the view held anything new.
func (r *frameReader) add(v view) bool {
	before := r.pending.Len()
	if v.head != nil && !r.headSent {
		r.headSent = true
		r.push(&rpc.AnswerFrame{Frame: &rpc.AnswerFrame_Head{Head: v.head}})
	}
	if len(v.data) > 0 {
		part := v.data[:min(len(v.data), maxFrameData)]
		r.push(&rpc.AnswerFrame{Frame: &rpc.AnswerFrame_Data{Data: &rpc.AnswerData{Offset: r.offset, Data: part}}})
		r.offset += uint64(len(part))
	}
	if v.seal != nil && r.offset >= v.total {
		r.end(v)
	}
	return r.pending.Len() > before
}

// end adds the last frame. A router that claims to have more than the answer
// holds gets a failure, never a clean end.
func (r *frameReader) end(v view) {
	r.ended = true
	if v.seal.State == rpc.RequestState_REQUEST_STATE_COMPLETE && r.offset == v.total {
		r.push(&rpc.AnswerFrame{Frame: &rpc.AnswerFrame_End{End: &rpc.AnswerEnd{
			Length:    v.total,
			Checksum:  v.checksum,
			FreeSlots: v.seal.FreeSlots,
			Cost:      v.seal.Cost,
		}}})
		return
	}
	state := v.seal.State
	if state == rpc.RequestState_REQUEST_STATE_COMPLETE {
		state = rpc.RequestState_REQUEST_STATE_FAILED
	}
	r.push(failedFrame(state, v.seal.Reason, v.seal.Crashed))
}

// wait reports whether the answer changed before a heartbeat was due, and
// returns the grants that are to go out. While it waits, everything before has
// been written out, so that a grant does not queue behind data here.
func (r *frameReader) wait(changed <-chan struct{}) (bool, []*rpc.Grant) {
	if r.carriers == nil {
		return r.pause(changed), nil
	}
	r.carriers.enter(r)
	grown := r.pause(changed)
	return grown, r.carriers.leave(r)
}

// pause waits for a change, for grants or for the time of a heartbeat.
func (r *frameReader) pause(changed <-chan struct{}) bool {
	if r.timer == nil {
		r.timer = time.NewTimer(r.heartbeat)
	} else {
		r.timer.Reset(r.heartbeat)
	}
	select {
	case <-changed:
		r.timer.Stop()
		return true
	case <-r.woken:
		r.timer.Stop()
		return false
	case <-r.timer.C:
		return false
	}
}

func (r *frameReader) push(frame *rpc.AnswerFrame) {
	frame.RequestId = r.id[:]
	// Writing to a buffer fails only for a message that can't be encoded,
	// which these can.
	_, _ = protodelim.MarshalTo(&r.pending, frame)
}

func failedFrame(state rpc.RequestState, reason string, crashed bool) *rpc.AnswerFrame {
	return &rpc.AnswerFrame{Frame: &rpc.AnswerFrame_Failed{Failed: &rpc.Failed{
		State:   state,
		Reason:  reason,
		Crashed: crashed,
	}}}
}

func refusedFrame(refused Refused) *rpc.AnswerFrame {
	return &rpc.AnswerFrame{Frame: &rpc.AnswerFrame_Refused{Refused: &rpc.Refused{
		Reason:       refused.Reason,
		RetryAfterMs: uint32(refused.RetryAfter.Milliseconds()),
	}}}
}
