package agent

import (
	"bufio"
	"bytes"
	"io"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/encoding/protodelim"
	"pgregory.net/rapid"

	"github.com/bluebellchute/bluebellchute/internal/rpc"
)

// router side of an answer that is fetched over several connections.
type fetched struct {
	body []byte
	head bool
	end  *rpc.AnswerEnd
	fail *rpc.Failed
}

// fetch reads at most count frames on one connection, from where the last one
// ended.
func (f *fetched) fetch(t *rapid.T, a *answer, count int) {
	reader := newFrameReader(newID(), a, time.Nanosecond, func() {})
	defer reader.Close()
	reader.resume(uint64(len(f.body)), f.head)
	stream := bufio.NewReaderSize(reader, 16)
	for range count {
		frame := &rpc.AnswerFrame{}
		if err := protodelim.UnmarshalFrom(stream, frame); err != nil {
			if err == io.EOF && (f.end != nil || f.fail != nil) {
				return
			}
			t.Fatalf("frame: %v", err)
		}
		switch kind := frame.Frame.(type) {
		case *rpc.AnswerFrame_Head:
			f.head = true
		case *rpc.AnswerFrame_Data:
			if kind.Data.Offset != uint64(len(f.body)) {
				t.Fatalf("data at %d, want %d", kind.Data.Offset, len(f.body))
			}
			f.body = append(f.body, kind.Data.Data...)
		case *rpc.AnswerFrame_End:
			f.end = kind.End
		case *rpc.AnswerFrame_Failed:
			f.fail = kind.Failed
		}
	}
}

// Symptom: a caller gets an answer with a gap, a repeat or another's bytes, or
// a broken answer that looks whole.
// Sequence: the answer is fetched over any number of connections, each cut at
// any frame, while it is made in pieces of any size.
// Cause: a reader's offset is taken wrongly, or the end is sent too early.
func TestAnswerIsHandedOutAsMade(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := newAnswer()
		var made []byte
		var got fetched
		complete := rapid.Bool().Draw(t, "complete")
		for range rapid.IntRange(0, 8).Draw(t, "pieces") {
			piece := bytes.Repeat([]byte{byte('a' + len(made)%26)}, rapid.IntRange(1, 3*maxFrameData/2).Draw(t, "size"))
			a.setHead(&rpc.AnswerHead{Status: 200})
			a.write(piece)
			made = append(made, piece...)
			got.fetch(t, a, rapid.IntRange(0, 4).Draw(t, "frames"))
			if got.end != nil {
				t.Fatal("an end before the answer was sealed")
			}
		}
		state := rpc.RequestState_REQUEST_STATE_COMPLETE
		if !complete {
			state = rpc.RequestState_REQUEST_STATE_FAILED
		}
		a.close(Seal{State: state})
		a.close(Seal{State: rpc.RequestState_REQUEST_STATE_COMPLETE})
		for got.end == nil && got.fail == nil {
			got.fetch(t, a, rapid.IntRange(1, 4).Draw(t, "last frames"))
		}
		if !bytes.Equal(got.body, made) {
			t.Fatalf("%d bytes handed out, %d made", len(got.body), len(made))
		}
		if (got.end != nil) != complete {
			t.Fatalf("end %v of an answer that is complete: %v", got.end, complete)
		}
		if complete && (got.end.Length != uint64(len(made)) || got.end.Checksum != xxhash.Sum64(made)) {
			t.Fatalf("end %v does not fit the answer", got.end)
		}
	})
}

func TestUsageIsFoundAtTheEnd(t *testing.T) {
	cases := map[string]struct {
		want  usage
		found bool
	}{
		`{"usage":{"prompt_tokens":3,"completion_tokens":4}}`:                                       {usage{3, 4}, true},
		"data: {\"usage\":null}\n\ndata: {\"usage\":{\"completion_tokens\":9}}\n\ndata: [DONE]\n\n": {usage{0, 9}, true},
		`{"usage":{"prompt_tok`: {},
		`{"usage":null}`:        {},
		`{}`:                    {},
	}
	for text, c := range cases {
		if got, found := findUsage([]byte(text)); got != c.want || found != c.found {
			t.Errorf("%s: %v, %v", text, got, found)
		}
	}
}
