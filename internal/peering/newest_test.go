package peering

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
	"github.com/bluebellchute/bluebellchute/internal/testaddr"
)

// startRouter runs a router that has the version from the store and knows the others, until the
// test ends.
func startRouter(t *testing.T, address fleet.Address, version uint64, others ...fleet.Address) *knowledge.State {
	t.Helper()
	listed := map[fleet.Address]fleet.Zone{address: "z"}
	for _, other := range others {
		listed[other] = "z"
	}
	state := knowledge.NewState()
	manager := NewManager(Options{
		Address: address, Zone: "z", Seeds: others, Incarnation: uint64(boottime.Now()),
		Directory: &fakeDirectory{listed: listed}, State: state, Logger: logrus.New(),
	})
	manager.SetLocal(newBusyLocal(0, 1, 1))
	if version > 0 {
		state.SetConfiguration(&knowledge.Configuration{Version: version}, boottime.Now())
		state.SetBackends(nil, knowledge.Position{Revision: 1}, boottime.Now())
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- manager.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return state
}

// timeUntilReady returns how long the state takes to be ready.
func timeUntilReady(t *testing.T, state *knowledge.State) time.Duration {
	t.Helper()
	started := time.Now()
	for !state.View().Ready() {
		if time.Since(started) > 5*time.Second {
			t.Fatal("not ready")
		}
		time.Sleep(time.Millisecond)
	}
	return time.Since(started)
}

// Guards against a starting router that takes the older configuration of a restored store for the
// newest: one that asks over real sockets gets the newer one from the router that has it, whatever
// else runs or does not run at the addresses that it knows.
func TestStartingRouterGetsTheNewerConfiguration(t *testing.T) {
	gone, serving, starting := fleet.Address(testaddr.Free(t)), fleet.Address(testaddr.Free(t)), fleet.Address(testaddr.Free(t))
	older := startRouter(t, serving, 7)
	timeUntilReady(t, older)
	state := startRouter(t, starting, 5, gone, serving)
	timeUntilReady(t, state)
	if got := state.View().Version(); got != 7 {
		t.Errorf("ready with version %d, want 7", got)
	}
}

// Guards against a router that waits for others that can't know more than the store: no process
// runs at their addresses, or they have just started too.
func TestRouterDoesNotWaitForRoutersWithoutState(t *testing.T) {
	var addresses []fleet.Address
	for range 5 {
		addresses = append(addresses, fleet.Address(testaddr.Free(t)))
	}
	first := startRouter(t, addresses[0], 3, addresses[1:]...)
	second := startRouter(t, addresses[1], 3, append([]fleet.Address{addresses[0]}, addresses[2:]...)...)
	for _, state := range []*knowledge.State{first, second} {
		if took := timeUntilReady(t, state); took >= maxPeerWait {
			t.Errorf("ready after %v", took)
		}
	}
}

// Guards against a router that never serves, as the others do not reply.
func TestRouterServesThoughNoneReplies(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0") // accepts calls and never replies
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	state := startRouter(t, fleet.Address(testaddr.Free(t)), 3, fleet.Address(listener.Addr().String()))
	if took := timeUntilReady(t, state); took < maxPeerWait/2 || took > maxPeerWait+200*time.Millisecond {
		t.Errorf("ready after %v, want some %v", took, maxPeerWait)
	}
}

// Guards against a starting router that calls all routers of a large fleet at once, or waits for
// those that are gone before it asks others.
func TestSearchAsksFewRoutersAtATime(t *testing.T) {
	var known []fleet.Address
	for i := range 100 {
		known = append(known, fleet.Address(fmt.Sprint("r", i)))
	}
	search := newNewestSearch()
	first := search.next(known, 1)
	if len(first) != maxPendingAsks || len(search.next(known, 2)) != 0 {
		t.Errorf("%d routers asked at once", len(first))
	}
	slow := boottime.Instant(1).Add(askSlowAfter)
	if got := len(search.next(known, slow)); got != maxPendingAsks {
		t.Errorf("%d others asked while the first do not reply", got)
	}
	for _, router := range first {
		search.done(router, true)
	}
	if search.exhausted(known) || !search.exhausted(first) {
		t.Error("wrong result of what is left to ask")
	}
	for _, router := range known[:enoughWithoutState+maxPendingAsks] {
		search.done(router, true)
	}
	if !search.exhausted(known) {
		t.Error("the routers that were asked do not show that all have started together")
	}
}
