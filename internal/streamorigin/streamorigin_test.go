package streamorigin

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/samber/lo"
	"pgregory.net/rapid"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
)

func routers(zones, perZone int) []Router {
	var all []Router
	for i := range zones * perZone {
		all = append(all, Router{Address: fleet.Address(fmt.Sprint(i)), Hash: uint64(StreamOf(fmt.Sprint("router", i))), Zone: fleet.Zone(fmt.Sprint(i % zones))})
	}
	return all
}

func without(all []Router, addresses ...fleet.Address) []Router {
	return lo.Reject(all, func(router Router, _ int) bool { return slices.Contains(addresses, router.Address) })
}

// Guards against an origin that is not found after the router that began the stream was
// killed, whichever router is asked, and while routers know different others.
func TestHoldersAreAskedAfterAnyOneRouterIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := routers(rapid.IntRange(1, 5).Draw(t, "zones"), rapid.IntRange(2, 40).Draw(t, "routers per zone"))
		stream := StreamOf(rapid.String().Draw(t, "attempt"))
		began := rapid.SampledFrom(all).Draw(t, "began")
		asks := rapid.SampledFrom(without(all, began.Address)).Draw(t, "asks")
		unknown := rapid.SampledFrom(without(all, began.Address)).Draw(t, "unknown to the asking router")
		holders := Holders(stream, began.Zone, without(all, began.Address))
		asked := append(Asked(stream, without(all, asks.Address, unknown.Address)), asks.Address)
		if len(lo.Intersect(holders, asked)) == 0 && !slices.Equal(holders, []fleet.Address{unknown.Address}) {
			t.Fatalf("kept by %v, asked are %v", holders, asked)
		}
		if slices.Contains(holders, began.Address) || len(holders) != min(holdersWanted, len(all)-1) {
			t.Fatalf("kept by %v of %d routers", holders, len(all))
		}
	})
}

// Guards against an origin that is not found although a holder can be reached: the router that
// began the stream is lost, known or not, or alive, and the one that asks knows some others only.
func TestEachKnownHolderIsAsked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := routers(rapid.IntRange(1, 12).Draw(t, "zones"), rapid.IntRange(1, 20).Draw(t, "routers per zone"))
		if len(all) < 2 {
			return
		}
		stream := StreamOf(rapid.String().Draw(t, "attempt"))
		began := rapid.SampledFrom(all).Draw(t, "began")
		asks := rapid.SampledFrom(without(all, began.Address)).Draw(t, "asks")
		others := without(all, asks.Address)
		if rapid.Bool().Draw(t, "the router that began is not known") {
			others = without(others, began.Address)
		}
		unknown := rapid.SliceOfN(rapid.SampledFrom(all), 0, len(all)).Draw(t, "others that are not known")
		for _, router := range unknown {
			if router.Address != began.Address {
				others = without(others, router.Address)
			}
		}
		holders := Holders(stream, began.Zone, without(all, began.Address))
		asked := Asked(stream, others)
		if len(asked) > maxAsked {
			t.Fatalf("%d are asked", len(asked))
		}
		for _, holder := range holders {
			known := lo.ContainsBy(others, func(router Router) bool { return router.Address == holder })
			if known && !slices.Contains(asked, holder) {
				t.Fatalf("kept by %v, asked are %v", holders, asked)
			}
		}
	})
}

// Guards against origins that all go to a few routers of a large fleet.
func TestHoldersAreSpread(t *testing.T) {
	all := routers(4, 89)
	kept := make(map[fleet.Address]int)
	const streams = 20000
	for i := range streams {
		began := all[i%len(all)]
		for _, holder := range Holders(StreamOf(fmt.Sprint(i)), began.Zone, without(all, began.Address)) {
			kept[holder]++
		}
	}
	mean := holdersWanted * streams / len(all)
	if most := slices.Max(lo.Values(kept)); most > 2*mean {
		t.Errorf("a router keeps %d origins, the mean is %d", most, mean)
	}
}

// Guards against a table that grows without a bound or keeps origins whose time is over.
func TestTableIsBounded(t *testing.T) {
	table := NewTable()
	now := boottime.Instant(time.Hour)
	for i := range Stream(MaxOrigins + 1000) {
		table.Set(i, Origin{Software: 1, Until: now.Add(time.Second)}, now)
	}
	if table.Len() != MaxOrigins {
		t.Errorf("%d origins, want %d", table.Len(), MaxOrigins)
	}
	if _, found := table.Find(MaxOrigins+999, now); !found {
		t.Error("the newest is not found")
	}
	later := now.Add(2 * time.Second)
	if _, found := table.Find(MaxOrigins+999, later); found {
		t.Error("one is found after its time")
	}
	table.Set(1, Origin{Software: 1, Until: later.Add(time.Second)}, later)
	if table.Len() != 1 {
		t.Errorf("%d origins, want only the new one", table.Len())
	}
}

// Guards against a stream that goes on at either of two versions because two streams began
// with one id.
func TestReusedAttemptHasNoOrigin(t *testing.T) {
	table := NewTable()
	now := boottime.Instant(time.Hour)
	for _, software := range []knowledge.SoftwareID{1, 1, 2} {
		table.Set(7, Origin{Software: software, Until: now.Add(time.Second)}, now)
	}
	if origin, _ := table.Find(7, now); origin.Software != 0 {
		t.Errorf("software %d, want none", origin.Software)
	}
}

func BenchmarkHolders(b *testing.B) {
	all := routers(4, 89)
	for i := range b.N {
		Holders(Stream(i), "1", all)
	}
}
