package ctl

import (
	"bytes"
	"context"
	"encoding/csv"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/membership"
	"github.com/bluebellchute/bluebellchute/internal/platform"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
	"github.com/bluebellchute/bluebellchute/internal/settings"
)

// TestCommands runs the files in testdata. Their commands are:
//
//	ctl      runs a command line; the output shows stdout, stderr and the exit status
//	stdin    sets the standard input of the command lines that follow
//	before   runs a command line of another operator just before the next
//	         update of the head
//	platform sets the platform's faults: ok, down or lose-replies
//	node     adds a node at a revision; "silent" makes it unreachable, "rise"
//	         raises its revision after each query
func TestCommands(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, file string) {
		env := newTestEnv(t)
		datadriven.RunTest(t, file, func(t *testing.T, data *datadriven.TestData) string {
			switch data.Cmd {
			case "ctl":
				return env.run(data.Input)
			case "stdin":
				env.stdin = data.Input
			case "before":
				line := data.Input
				env.api.beforeUpdate = func() { env.run(line) }
			case "platform":
				env.api.Store.SetFaults(faultsNamed(t, data.CmdArgs[0].Key))
			case "node":
				env.addNode(t, data.CmdArgs[0].Key, data.CmdArgs[1].Key)
			default:
				t.Fatalf("unknown command %s", data.Cmd)
			}
			return "ok\n"
		})
	})
}

func faultsNamed(t *testing.T, name string) platform.Faults {
	switch name {
	case "ok":
		return platform.Faults{}
	case "down":
		return platform.Faults{Down: true}
	case "lose-replies":
		return platform.Faults{LoseReplies: -1}
	}
	t.Fatalf("unknown faults %s", name)
	return platform.Faults{}
}

// testEnv is the environment in which a test runs commands.
type testEnv struct {
	api   *testPlatform
	nodes testNodes
	stdin string
	edits int // number of edits so far; makes ids, times and API keys reproducible
}

// testPlatform is a platform on which another operator can make an edit first.
type testPlatform struct {
	*platform.Store
	beforeUpdate func()
}

func (p *testPlatform) Put(ctx context.Context, key string, data []byte, expect platform.Version) (platform.Version, error) {
	if hook := p.beforeUpdate; key == settings.HeadKey && hook != nil {
		p.beforeUpdate = nil
		hook()
	}
	return p.Store.Put(ctx, key, data, expect)
}

// testNodes holds the nodes by control address.
type testNodes map[fleet.Address]*testNode

type testNode struct {
	revision    uint64
	unreachable bool
	advance     bool
	draining    bool
}

func (n testNodes) Status(_ context.Context, address fleet.Address) (*rpc.StatusReply, error) {
	node, ok := n[address]
	if !ok || node.unreachable {
		return nil, errors.New("connection refused")
	}
	reply := &rpc.StatusReply{
		Envelope: &rpc.Envelope{SettingsRevision: node.revision, Leaving: node.draining},
		Role:     string(fleet.RoleAgent), Vm: "vm-1", AvailabilityZone: "zone-a", Service: "llm", Slots: 8, Running: 3,
	}
	if node.advance {
		node.revision++
	}
	return reply, nil
}

func (n testNodes) Drain(_ context.Context, address fleet.Address, request *rpc.DrainRequest) (*rpc.DrainReply, error) {
	node, ok := n[address]
	if !ok {
		return nil, errors.New("connection refused")
	}
	node.draining = !request.GetUndo()
	return &rpc.DrainReply{Running: 3}, nil
}

func newTestEnv(t *testing.T) *testEnv {
	e := &testEnv{api: &testPlatform{Store: platform.NewStore(platform.StoreOptions{})}, nodes: make(testNodes)}
	const first = "[/]\nweight = 1\n\n[acme]\nrate_limit = 50\n\n[acme/labs/alice]\n\n[services/llm]\nslots = 8\n"
	if result := settings.Bootstrap(t.Context(), e.api, []byte(first), "first"); result.Outcome != settings.OutcomeAccepted {
		t.Fatalf("%+v", result)
	}
	return e
}

func (e *testEnv) addNode(t *testing.T, address, state string) {
	node := &testNode{unreachable: state == "silent", advance: state == "rise"}
	if _, err := fmt.Sscan(state, &node.revision); err != nil && !node.unreachable && !node.advance {
		t.Fatal(err)
	}
	control := fleet.Address(address)
	if _, known := e.nodes[control]; !known {
		data, err := membership.EncodeRecord(membership.Record{Node: fleet.Node{Control: control, VM: "vm-1", Role: fleet.RoleAgent}})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := e.api.Store.Put(t.Context(), membership.Key(control), data, 0); err != nil {
			t.Fatal(err)
		}
	}
	e.nodes[control] = node
}

// run runs one command line. Arguments with spaces are quoted.
func (e *testEnv) run(line string) string {
	words := csv.NewReader(strings.NewReader(line))
	words.Comma = ' '
	args, err := words.Read()
	if err != nil {
		return err.Error()
	}
	var stdout, stderr bytes.Buffer
	app := New()
	app.Stdin, app.Stdout, app.Stderr = strings.NewReader(e.stdin), &stdout, &stderr
	app.OpenPlatform = func(fleet.Address) platform.API { return e.api }
	app.OpenNodes = func(string) Nodes { return e.nodes }
	app.Retry = settings.RetryPolicy{MaxAttempts: 3, CallTimeout: time.Minute, Backoff: func(ctx context.Context, _ int) error { return ctx.Err() }}
	rounds := 0
	app.Sleep = func(context.Context, time.Duration) error {
		if rounds++; rounds > 3 {
			return context.DeadlineExceeded
		}
		return nil
	}
	app.Random = keySource{e}
	app.PrepareEditor = e.prepare
	status := app.Run(append([]string{"--platform", "127.0.0.1:1", "--token", "t", "--timeout", "10m"}, args...))
	text := stdout.String()
	if stderr.Len() > 0 {
		text += "stderr: " + stderr.String()
	}
	return fmt.Sprintf("%sexit status %d\n", text, status)
}

func (e *testEnv) prepare(editor *settings.Editor) {
	editor.Now = func() time.Time { return time.Date(2026, 3, 1, 12, e.edits, 0, 0, time.UTC) }
	editor.NewID = func() (settings.EditID, error) {
		e.edits++
		return uuid.Parse(fmt.Sprintf("01900000-0000-7000-8000-%012d", e.edits))
	}
}

// keySource replaces the random source of API keys: the first byte is the number of edits
// so far, the others are 0, so that each key is known in advance.
type keySource struct{ *testEnv }

func (k keySource) Read(p []byte) (int, error) {
	clear(p)
	p[0] = byte(k.edits)
	return len(p), nil
}
