package peering

import (
	"testing"
	"time"

	"github.com/samber/lo"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// Guards against a list that nobody updates. Each zone has a router that watches the
// store, and when those fail, others replace them as soon as their neighbours' heartbeats
// stop, however rare heartbeats between zones are.
func TestEachZoneHasAWatcher(t *testing.T) {
	const perZone = 24
	for _, zones := range []int{1, 3, 6} {
		f := newSimNetwork(t, zones, perZone)
		f.run(settleRounds)
		watchers := f.watchers()
		if want := max(maxWatchers, zones); len(watchers) != want {
			t.Fatalf("%d zones: %d routers watch the store, want %d", zones, len(watchers), want)
		}
		inZones := make(map[fleet.Zone]bool)
		for _, router := range watchers {
			inZones[router.options.Zone] = true
			delete(f.routers, router.options.Address)
		}
		if len(inZones) != min(zones, maxWatchers) && len(inZones) != zones {
			t.Fatalf("%d zones: watchers in %d of them", zones, len(inZones))
		}
		f.run(int(3 * time.Second / heartbeatInterval))
		for _, router := range f.watchers() {
			delete(inZones, router.options.Zone)
		}
		if len(inZones) > 0 {
			t.Errorf("%d zones: no watcher in %v three seconds after the loss of the previous ones", zones, lo.Keys(inZones))
		}
	}
}

// watchers returns the routers that watch the store.
func (f *simNetwork) watchers() []*Manager {
	return lo.Filter(lo.Values(f.routers), func(router *Manager, _ int) bool { return router.watchesStoreAt(f.now) })
}

// Guards against a router without heartbeats from other zones for a whole cycle. If all
// routers count their rounds alike, all routers of other zones send to it in the same
// round, and none in the others.
func TestOtherZonesAreReachableThroughoutACycle(t *testing.T) {
	const zones = 5
	f := newSimNetwork(t, zones, 30)
	f.run(roundsPerCycle(zones*30, maxRemoteHeartbeats) / 4)
	for address, router := range f.routers {
		if _, reachable := router.watchRankAt(f.now); reachable != zones {
			t.Errorf("%s has received heartbeats from %d zones in a quarter of a cycle, want %d", address, reachable, zones)
		}
	}
}
