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
//	ctl      runs a command line; the output names streams and exit status
//	stdin    gives the text of standard input to the next command line
//	before   runs a command line of another operator just before the next
//	         update of the head
//	platform sets the platform's faults: ok, down or lose-replies
//	node     sets the revision of a node that all list; "silent" lets it not
//	         answer; "rise" lets it reach the revision at the next question
func TestCommands(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, file string) {
		world := newWorld(t)
		datadriven.RunTest(t, file, func(t *testing.T, data *datadriven.TestData) string {
			switch data.Cmd {
			case "ctl":
				return world.run(data.Input)
			case "stdin":
				world.stdin = data.Input
			case "before":
				line := data.Input
				world.api.beforeUpdate = func() { world.run(line) }
			case "platform":
				world.api.Store.SetFaults(faultsNamed(t, data.CmdArgs[0].Key))
			case "node":
				world.addNode(t, data.CmdArgs[0].Key, data.CmdArgs[1].Key)
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

// world is what the commands meet in a test.
type world struct {
	api   *testPlatform
	nodes testNodes
	stdin string
	edits int // made so far; gives ids, times and API keys that are the same in each run
}

// testPlatform lets another operator come first.
type testPlatform struct {
	*platform.Store
	beforeUpdate func()
}

func (p *testPlatform) Put(ctx context.Context, key string, data []byte, expect platform.Version) (platform.Version, error) {
	if first := p.beforeUpdate; key == settings.HeadKey && first != nil {
		p.beforeUpdate = nil
		first()
	}
	return p.Store.Put(ctx, key, data, expect)
}

// testNodes are nodes by their control addresses.
type testNodes map[fleet.Address]*testNode

type testNode struct {
	revision uint64
	silent   bool
	rise     bool
	leaving  bool
}

func (n testNodes) Status(_ context.Context, address fleet.Address) (*rpc.StatusReply, error) {
	node, ok := n[address]
	if !ok || node.silent {
		return nil, errors.New("connection refused")
	}
	reply := &rpc.StatusReply{
		Envelope: &rpc.Envelope{SettingsRevision: node.revision, Leaving: node.leaving},
		Role:     string(fleet.RoleAgent), Vm: "vm-1", AvailabilityZone: "zone-a", Service: "llm", Slots: 8, Running: 3,
	}
	if node.rise {
		node.revision++
	}
	return reply, nil
}

func (n testNodes) Drain(_ context.Context, address fleet.Address, request *rpc.DrainRequest) (*rpc.DrainReply, error) {
	node, ok := n[address]
	if !ok {
		return nil, errors.New("connection refused")
	}
	node.leaving = !request.GetUndo()
	return &rpc.DrainReply{Running: 3}, nil
}

func newWorld(t *testing.T) *world {
	w := &world{api: &testPlatform{Store: platform.NewStore(platform.StoreOptions{})}, nodes: make(testNodes)}
	const first = "[/]\nweight = 1\n\n[acme]\nrate_limit = 50\n\n[acme/labs/alice]\n\n[services/llm]\nslots = 8\n"
	if result := settings.Bootstrap(t.Context(), w.api, []byte(first), "first"); result.Outcome != settings.OutcomeAccepted {
		t.Fatalf("%+v", result)
	}
	return w
}

func (w *world) addNode(t *testing.T, address, what string) {
	node := &testNode{silent: what == "silent", rise: what == "rise"}
	if _, err := fmt.Sscan(what, &node.revision); err != nil && !node.silent && !node.rise {
		t.Fatal(err)
	}
	control := fleet.Address(address)
	if _, known := w.nodes[control]; !known {
		data, err := membership.EncodeRecord(membership.Record{Node: fleet.Node{Control: control, VM: "vm-1", Role: fleet.RoleAgent}})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := w.api.Store.Put(t.Context(), membership.Key(control), data, 0); err != nil {
			t.Fatal(err)
		}
	}
	w.nodes[control] = node
}

// run runs one command line; words with spaces are in quotes.
func (w *world) run(line string) string {
	words := csv.NewReader(strings.NewReader(line))
	words.Comma = ' '
	args, err := words.Read()
	if err != nil {
		return err.Error()
	}
	var stdout, stderr bytes.Buffer
	app := New()
	app.Stdin, app.Stdout, app.Stderr = strings.NewReader(w.stdin), &stdout, &stderr
	app.OpenPlatform = func(fleet.Address) platform.API { return w.api }
	app.OpenNodes = func(string) Nodes { return w.nodes }
	app.Retry = settings.RetryPolicy{MaxAttempts: 3, CallTimeout: time.Minute, Backoff: func(ctx context.Context, _ int) error { return ctx.Err() }}
	rounds := 0
	app.Sleep = func(context.Context, time.Duration) error {
		if rounds++; rounds > 3 {
			return context.DeadlineExceeded
		}
		return nil
	}
	app.Random = zeros{w}
	app.PrepareEditor = w.prepare
	status := app.Run(append([]string{"--platform", "127.0.0.1:1", "--token", "t", "--timeout", "10m"}, args...))
	text := stdout.String()
	if stderr.Len() > 0 {
		text += "stderr: " + stderr.String()
	}
	return fmt.Sprintf("%sexit status %d\n", text, status)
}

func (w *world) prepare(editor *settings.Editor) {
	editor.Now = func() time.Time { return time.Date(2026, 3, 1, 12, w.edits, 0, 0, time.UTC) }
	editor.NewID = func() (settings.EditID, error) {
		w.edits++
		return uuid.Parse(fmt.Sprintf("01900000-0000-7000-8000-%012d", w.edits))
	}
}

// zeros gives API keys that tell by which command they were made.
type zeros struct{ *world }

func (z zeros) Read(p []byte) (int, error) {
	clear(p)
	p[0] = byte(z.edits)
	return len(p), nil
}
