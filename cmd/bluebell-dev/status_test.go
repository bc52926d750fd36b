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

// reported is what bluebellctl status tells of one node.
type reported struct {
	Role    fleet.Role `json:"role"`
	Slots   int        `json:"slots"`
	Running int        `json:"running"`
	Waiting int        `json:"waiting"`
}

// TestStatusShowsLoad covers this failure:
//
// Symptom: an operator who wants to replace a backend server sees no request
// in progress at any node, and stops one that works.
// Sequence: calls fill all slots of a service and two more wait; the operator
// asks for the status.
// Cause: the shared knowledge answers status calls and knew nothing of the
// role's load.
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
			slots:       2*modelSlots + plainSlots,
			running:     2 * modelSlots,
			waiting:     waiting,
			ofTheRouter: 2*modelSlots + waiting,
		})
	})
	if err != nil {
		t.Fatal(err)
	}
}

// longCall runs for longer than the test.
var longCall = fmt.Sprintf(`{"model":%q,"x_tokens":1000000,"prompt":""}`, modelService)

// load is what all nodes together tell. A request that has no slot yet waits at
// the router, or at an agent that granted it a slot ahead of its time.
type load struct {
	slots, running, waiting int // of the agents; waiting also at the router
	ofTheRouter             int // requests that the router holds
}

// awaitLoad asks until the nodes tell what is wanted, at most until the calls
// reach their deadline.
func awaitLoad(t *testing.T, welcome welcomeValues, want load) {
	t.Helper()
	var got load
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(startPoll) {
		if got = loadOf(t, welcome); got == want {
			return
		}
	}
	t.Errorf("at last the status shows %+v, want %+v", got, want)
}

// loadOf adds up what bluebellctl status tells.
func loadOf(t *testing.T, welcome welcomeValues) load {
	t.Helper()
	var out, problems bytes.Buffer
	app := ctl.New()
	app.Stdout, app.Stderr = &out, &problems
	args := []string{"--output", "json", "--platform", string(welcome.Platform), "--token", controlToken, "status"}
	if exit := app.Run(args); exit != ctl.ExitSuccess {
		t.Errorf("exit status %d: %s", exit, &problems)
	}
	var nodes []reported
	if err := json.Unmarshal(out.Bytes(), &nodes); err != nil {
		t.Errorf("%v in %s", err, &out)
	}
	var sum load
	for _, node := range nodes {
		sum.slots += node.Slots
		if node.Role == fleet.RoleRouter {
			sum.ofTheRouter += node.Running + node.Waiting
			sum.waiting += node.Waiting
			continue
		}
		sum.running += node.Running
		sum.waiting += node.Waiting
	}
	return sum
}
