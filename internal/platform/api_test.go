package platform_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/platform"
)

// callTimeout is far longer than a call on loopback takes.
const callTimeout = 10 * time.Second

// forStoreAndClient runs a test against the store itself and through HTTP.
func forStoreAndClient(t *testing.T, options platform.StoreOptions, test func(t *testing.T, api platform.API, store *platform.Store)) {
	t.Run("store", func(t *testing.T) {
		store := platform.NewStore(options)
		test(t, store, store)
	})
	t.Run("client", func(t *testing.T) {
		store := platform.NewStore(options)
		client, _ := serve(t, store)
		test(t, client, store)
	})
}

func serve(t *testing.T, store *platform.Store) (*platform.Client, net.Listener) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := platform.NewServer(store)
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	client := platform.NewClient(fleet.Address(listener.Addr().String()), platform.ClientOptions{CallTimeout: callTimeout})
	t.Cleanup(func() {
		client.Close()
		if err := server.Shutdown(context.Background()); err != nil {
			t.Error(err)
		}
		<-ended
	})
	return client, listener
}

func wantError(t *testing.T, err, want error) {
	t.Helper()
	if !errors.Is(err, want) {
		t.Fatalf("error is %v, want %v", err, want)
	}
}

func mustPut(t *testing.T, api platform.API, key, data string, expect platform.Version) platform.Version {
	t.Helper()
	version, err := api.Put(t.Context(), key, []byte(data), expect)
	if err != nil {
		t.Fatal(err)
	}
	return version
}

func TestConditionalUpdates(t *testing.T) {
	forStoreAndClient(t, platform.StoreOptions{}, func(t *testing.T, api platform.API, _ *platform.Store) {
		ctx := t.Context()
		_, err := api.Get(ctx, "a")
		wantError(t, err, platform.ErrNotFound)
		first := mustPut(t, api, "a", "1", 0)
		_, err = api.Put(ctx, "a", []byte("other"), 0)
		wantError(t, err, platform.ErrConflict)
		second := mustPut(t, api, "a", "2", first)
		_, err = api.Put(ctx, "a", []byte("late"), first)
		wantError(t, err, platform.ErrConflict)
		wantError(t, api.Delete(ctx, "a", first), platform.ErrConflict)
		object, err := api.Get(ctx, "a")
		if err != nil || string(object.Data) != "2" || object.Version != second {
			t.Fatalf("got %+v, %v", object, err)
		}
		if err := api.Delete(ctx, "a", second); err != nil {
			t.Fatal(err)
		}
		wantError(t, api.Delete(ctx, "a", second), platform.ErrNotFound)
		_, err = api.Put(ctx, "big", make([]byte, platform.MaxObjectBytes+1), 0)
		wantError(t, err, platform.ErrTooLarge)
	})
}

func TestListAndWatch(t *testing.T) {
	forStoreAndClient(t, platform.StoreOptions{History: 3}, func(t *testing.T, api platform.API, store *platform.Store) {
		ctx := t.Context()
		mustPut(t, api, "x/2", "two", 0)
		mustPut(t, api, "x/1", "one", 0)
		from := mustPut(t, api, "y", "other", 0)
		listed, at, err := api.List(ctx, "x/")
		if err != nil || at != from || len(listed) != 2 || listed[0].Key != "x/1" {
			t.Fatalf("listed %+v at %d, %v", listed, at, err)
		}
		waiting := make(chan []platform.Change, 1)
		go func() {
			changes, _, _ := api.Watch(ctx, "x/", at, time.Minute)
			waiting <- changes
		}()
		for store.Counts().Watch == 0 {
			time.Sleep(time.Millisecond)
		}
		mustPut(t, api, "y2", "not under the prefix", 0)
		last := mustPut(t, api, "x/3", "three", 0)
		changes := <-waiting
		if len(changes) != 1 || changes[0].Object.Key != "x/3" || changes[0].Object.Version != last {
			t.Fatalf("changes %+v", changes)
		}
		if watches := store.Counts().Watch; watches != 1 {
			t.Fatalf("a waiting watch was counted as %d calls", watches)
		}
		_, _, err = api.Watch(ctx, "x/", 0, time.Minute)
		wantError(t, err, platform.ErrCompacted)
		_, upTo, err := api.Watch(ctx, "x/", last, time.Millisecond)
		if err != nil || upTo != last {
			t.Fatalf("a watch without changes returned %d, %v", upTo, err)
		}
	})
}

// TestLostReply guards against a write that takes effect but is reported as
// failed because the connection closes before the reply. The client must report
// an unknown outcome, and the value must be there.
func TestLostReply(t *testing.T) {
	forStoreAndClient(t, platform.StoreOptions{}, func(t *testing.T, api platform.API, store *platform.Store) {
		store.SetFaults(platform.Faults{LoseReplies: 1})
		_, err := api.Put(t.Context(), "a", []byte("1"), 0)
		wantError(t, err, platform.ErrOutcomeUnknown)
		object, err := api.Get(t.Context(), "a")
		if err != nil || string(object.Data) != "1" {
			t.Fatalf("got %+v, %v", object, err)
		}
		if puts := store.Counts().Put; puts != 1 {
			t.Fatalf("the write was sent %d times", puts)
		}
		mustPut(t, api, "b", "1", 0)
	})
}

// TestDown covers an outage of the platform: calls fail, including waiting
// watches, and nothing is written.
func TestDown(t *testing.T) {
	forStoreAndClient(t, platform.StoreOptions{}, func(t *testing.T, api platform.API, store *platform.Store) {
		waiting := make(chan error, 1)
		go func() {
			_, _, err := api.Watch(context.Background(), "", 0, time.Minute)
			waiting <- err
		}()
		for store.Counts().Watch == 0 {
			time.Sleep(time.Millisecond)
		}
		store.SetFaults(platform.Faults{Down: true})
		wantError(t, <-waiting, platform.ErrUnavailable)
		_, err := api.Put(t.Context(), "a", nil, 0)
		wantError(t, err, platform.ErrUnavailable)
		_, err = api.VMs(t.Context())
		wantError(t, err, platform.ErrUnavailable)
		store.SetFaults(platform.Faults{})
		_, err = api.Get(t.Context(), "a")
		wantError(t, err, platform.ErrNotFound)
	})
}

// TestStaleReads covers reads from a lagging replica of the platform: they
// return an older value than previous reads did, while writes take effect.
func TestStaleReads(t *testing.T) {
	forStoreAndClient(t, platform.StoreOptions{}, func(t *testing.T, api platform.API, store *platform.Store) {
		ctx := t.Context()
		old := mustPut(t, api, "a", "old", 0)
		store.SetFaults(platform.Faults{Stale: true})
		current := mustPut(t, api, "a", "new", old)
		object, err := api.Get(ctx, "a")
		if err != nil || string(object.Data) != "old" {
			t.Fatalf("got %+v, %v", object, err)
		}
		changes, upTo, err := api.Watch(ctx, "a", old, time.Millisecond)
		if err != nil || len(changes) != 0 || upTo != old {
			t.Fatalf("the stale watch saw %+v up to %d, %v", changes, upTo, err)
		}
		store.SetFaults(platform.Faults{})
		object, err = api.Get(ctx, "a")
		if err != nil || object.Version != current {
			t.Fatalf("got %+v, %v", object, err)
		}
	})
}

func TestSlowAndLimited(t *testing.T) {
	fixedTime := time.Unix(1000, 0)
	options := platform.StoreOptions{WritesPerSecond: 2, Now: func() time.Time { return fixedTime }}
	forStoreAndClient(t, options, func(t *testing.T, api platform.API, store *platform.Store) {
		mustPut(t, api, "a", "1", 0)
		mustPut(t, api, "b", "1", 0)
		_, err := api.Put(t.Context(), "c", nil, 0)
		wantError(t, err, platform.ErrRateLimited)
		store.SetFaults(platform.Faults{Delay: time.Hour})
		short, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		_, err = api.Get(short, "a")
		wantError(t, err, context.DeadlineExceeded)
		store.SetFaults(platform.Faults{})
	})
}

func TestVMListLags(t *testing.T) {
	now := time.Unix(1000, 0)
	store := platform.NewStore(platform.StoreOptions{
		VMLag: time.Second, NodesMakeVMs: true, Now: func() time.Time { return now },
	})
	state := func(name string) fleet.VMState {
		vms, err := store.VMs(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		for _, vm := range vms {
			if vm.Name == name {
				return vm.State
			}
		}
		return platform.VMGone
	}
	mustPut(t, store, "nodes/127.0.0.1:1", `{"VM":"vm-1","Zone":"a"}`, 0)
	if got := state("vm-1"); got != fleet.VMLive {
		t.Fatalf("the VM of a registered node is %s", got)
	}
	for _, next := range []fleet.VMState{fleet.VMLeaving, platform.VMGone} {
		before := state("vm-1")
		store.SetVM(platform.VM{Name: "vm-1", State: next})
		if got := state("vm-1"); got != before {
			t.Fatalf("%s is visible before the lag has passed", got)
		}
		now = now.Add(time.Second)
		if got := state("vm-1"); got != next {
			t.Fatalf("the VM is %s after the lag, want %s", got, next)
		}
	}
}

// TestDialFailure covers a platform address without a listener: the write has
// certainly had no effect, and the error must say so.
func TestDialFailure(t *testing.T) {
	// Nothing listens on port 1, and no system assigns it automatically.
	const address fleet.Address = "127.0.0.1:1"
	client := platform.NewClient(address, platform.ClientOptions{CallTimeout: callTimeout})
	_, err := client.Put(t.Context(), "a", nil, 0)
	wantError(t, err, platform.ErrUnavailable)
}
