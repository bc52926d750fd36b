package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/ctl"
	"github.com/bluebellchute/bluebellchute/internal/daemon"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// nodeStatus is the status of a node as printed by bluebellctl.
type nodeStatus struct {
	Role    fleet.Role `json:"role"`
	Slots   int        `json:"slots"`
	Running int        `json:"running"`
	Waiting int        `json:"waiting"`
}

// TestStatusShowsLoad guards against a status without requests in progress, by
// which an operator would stop a backend server that is working. The node's view
// of the fleet answers status calls and has to include the role's load. Calls fill
// all slots of a service and two more wait.
func TestStatusShowsLoad(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	callers, err := freeAddress()
	if err != nil {
		t.Fatal(err)
	}
	fleetInProcess, err := newSample(callers, daemon.NewLogger(daemon.LogSection{Level: "error"}, io.Discard))
	if err != nil {
		t.Fatal(err)
	}
	const waiting = 2
	err = fleetInProcess.run(ctx, func(welcome welcomeValues) {
		defer stop()
		for range 2*modelSlots + waiting {
			go fleetInProcess.call(ctx, "/v1/completions", longCall, "")
		}
		awaitLoad(t, welcome, load{
			slots:    2*modelSlots + plainSlots,
			running:  2 * modelSlots,
			waiting:  waiting,
			atRouter: 2*modelSlots + waiting,
		})
	})
	if err != nil {
		t.Fatal(err)
	}
}

// longCall is the body of a call that runs for longer than the test.
var longCall = fmt.Sprintf(`{"model":%q,"x_tokens":1000000,"prompt":""}`, modelService)

// load is the sum of what the nodes report. A request without a slot waits at the
// router, or at an agent that has granted it a slot in advance.
type load struct {
	slots, running, waiting int // of the agents; waiting also at the router
	atRouter                int // requests that the router holds
}

// awaitLoad polls until the nodes report the wanted load, at most until the calls
// reach their deadline.
func awaitLoad(t *testing.T, welcome welcomeValues, want load) {
	t.Helper()
	var got load
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if got = loadOf(t, welcome); got == want {
			return
		}
	}
	t.Errorf("the last status shows %+v, want %+v", got, want)
}

// loadOf returns the sum of the loads that bluebellctl status prints.
func loadOf(t *testing.T, welcome welcomeValues) load {
	t.Helper()
	var out, problems bytes.Buffer
	app := ctl.New()
	app.Stdout, app.Stderr = &out, &problems
	args := []string{"--output", "json", "--platform", string(welcome.Platform), "--token", controlToken, "status"}
	if exit := app.Run(args); exit != ctl.ExitSuccess {
		t.Errorf("exit status %d: %s", exit, &problems)
	}
	var nodes []nodeStatus
	if err := json.Unmarshal(out.Bytes(), &nodes); err != nil {
		t.Errorf("%v in %s", err, &out)
	}
	var sum load
	for _, node := range nodes {
		sum.slots += node.Slots
		if node.Role == fleet.RoleRouter {
			sum.atRouter += node.Running + node.Waiting
			sum.waiting += node.Waiting
			continue
		}
		sum.running += node.Running
		sum.waiting += node.Waiting
	}
	return sum
}
