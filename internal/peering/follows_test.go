package peering

import (
	"testing"
	"time"

	"github.com/samber/lo"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// Guards against a list that nobody follows: each zone has a router of its own that follows
// the store, and when those are lost, the others step in as soon as a neighbour is missed,
// however rarely routers of other zones are heard.
func TestEachZoneHasAFollower(t *testing.T) {
	const perZone = 24
	for _, zones := range []int{1, 3, 6} {
		f := newFabric(t, zones, perZone)
		f.play(settled)
		following := f.following()
		if want := max(followersMost, zones); len(following) != want {
			t.Fatalf("%d zones: %d routers follow, want %d", zones, len(following), want)
		}
		inZones := make(map[fleet.Zone]bool)
		for _, router := range following {
			inZones[router.options.Zone] = true
			delete(f.routers, router.options.Address)
		}
		if len(inZones) != min(zones, followersMost) && len(inZones) != zones {
			t.Fatalf("%d zones: followers in %d of them", zones, len(inZones))
		}
		f.play(int(3 * time.Second / beatInterval))
		for _, router := range f.following() {
			delete(inZones, router.options.Zone)
		}
		if len(inZones) > 0 {
			t.Errorf("%d zones: nobody follows in %v three seconds after the loss of those that did", zones, lo.Keys(inZones))
		}
	}
}

// following returns the routers that follow the store.
func (f *fabric) following() []*Manager {
	return lo.Filter(lo.Values(f.routers), func(router *Manager, _ int) bool { return router.followsAt(f.now) })
}

// Guards against routers that hear nobody elsewhere for as long as a turn takes: where all
// count their rounds alike, each is told by all of the other zones at once, and then by
// none of them.
func TestOtherZonesAreHeardThroughoutATurn(t *testing.T) {
	const zones = 5
	f := newFabric(t, zones, 30)
	f.play(rounds(zones*30, farBeats) / 4)
	for address, router := range f.routers {
		if _, heard := router.place(f.now); heard != zones {
			t.Errorf("%s has heard of %d zones in a quarter of a turn, want %d", address, heard, zones)
		}
	}
}
