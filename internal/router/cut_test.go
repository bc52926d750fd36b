package router

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellchute/bluebellchute/internal/rpc"
	"github.com/bluebellchute/bluebellchute/internal/testresponse"
)

// Guards against an answer of an agent that is broken off at any byte and handed out as whole, as the
// first answer on a connection, as the second, and where it is resumed.
func TestAgentAnswerCutAtAnyByteIsNotWhole(t *testing.T) {
	const (
		body     = "data: 0123456789\n\n"
		maxBytes = 800 // beyond those of two answers
	)
	agent := startAgent(t, testModel)
	agent.run = func(_ *rpc.RunRequest, frames *frameWriter) {
		frames.accepted(1)
		frames.head(200)
		frames.data(body)
		frames.end()
	}
	agent.resume = func(_ *rpc.ResumeRequest, frames *frameWriter) {
		frames.head(200)
		frames.data(body)
		frames.end()
	}
	for name, end := range map[string]testresponse.End{"closed": testresponse.Close, "reset": testresponse.Reset} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			proxy := testresponse.StartProxy(t, agent.node.Data, end)
			node := agent.node
			node.Data = proxy.Address()
			whole := map[string]int{}
			for limit := range maxBytes {
				proxy.CutAfter(limit)
				path := &dataPath{hosts: newHosts()}
				for _, exchange := range []string{"first", "second", "resumed"} {
					ended := false
					path.report = func(input Input) bool {
						_, isEnd := input.(AnswerEnded)
						ended = ended || isEnd
						return true
					}
					id := newRequestID()
					payload, err := proto.Marshal(&rpc.RunRequest{RequestId: id[:]})
					if err != nil {
						t.Fatal(err)
					}
					request := &Request{ID: id, Service: testModel, Payload: payload, Answer: NewReceiver(id, nil, 0)}
					if exchange == "resumed" {
						path.resume(SendResume{Request: request, Agent: node.Data, Silence: patience})
					} else {
						path.send(SendRun{Request: request, Agent: node, Silence: patience})
					}
					_, got := request.Answer.Answer()
					if ended {
						whole[exchange]++
					}
					if ended && string(got) != body {
						t.Errorf("%s, after %d bytes: %q counts as whole", exchange, limit, got)
					}
				}
				path.hosts.keep(nil)
			}
			if whole["first"] == 0 || whole["second"] == 0 || whole["resumed"] == 0 || whole["first"] == maxBytes {
				t.Errorf("whole answers: %v of %d", whole, maxBytes)
			}
		})
	}
}
