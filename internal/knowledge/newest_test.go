package knowledge

import (
	"testing"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
)

// newUncheckedState returns a state that awaits peers and has all else that it needs.
func newUncheckedState(version uint64) *State {
	state := NewState()
	state.AwaitPeers()
	state.SetConfiguration(&Configuration{Version: version}, boottime.Now())
	state.SetBackends(nil, Position{Era: 1, Revision: 1}, boottime.Now())
	return state
}

// Guards against a router that serves with the older configuration of a restored store.
func TestNotReadyBeforeTheNewestConfigurationIsKnown(t *testing.T) {
	for peers, ready := range map[uint64]bool{0: true, 3: true, 4: true, 5: false} {
		state := newUncheckedState(4)
		if view := state.View(); view.Ready() || view.KnowsNewest() {
			t.Fatal("ready before another router was asked")
		}
		if !state.EndPeerWait(peers) || state.EndPeerWait(9) {
			t.Errorf("the wait did not end once, with the first version")
		}
		if got := state.View().Ready(); got != ready {
			t.Errorf("ready = %t with version 4 where another router has %d", got, peers)
		}
		state.SetConfiguration(&Configuration{Version: 5}, boottime.Now())
		if !state.View().Ready() {
			t.Errorf("not ready with version 5 where another router has %d", peers)
		}
	}
}

// Guards against a router that never serves, as the only one with the newest configuration is gone
// and nobody writes it again.
func TestReadyWithoutAConfigurationThatIsGone(t *testing.T) {
	state := newUncheckedState(4)
	state.EndPeerWait(5)
	state.ForgetPeerVersion()
	if !state.View().Ready() {
		t.Error("not ready")
	}
}

// Guards against a new fleet whose routers wait for each other.
func TestNewFleetAwaitsNoPeers(t *testing.T) {
	state := newUncheckedState(1)
	state.SetNewFleet()
	if !state.View().Ready() || state.EndPeerWait(7) {
		t.Error("a router of a new fleet waits for others")
	}
}
