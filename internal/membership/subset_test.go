package membership

import (
	"fmt"
	"slices"
	"testing"

	"github.com/samber/lo"
	"pgregory.net/rapid"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

func drawNodes(t *rapid.T, minCount int) []fleet.Node {
	count := rapid.IntRange(minCount, 60).Draw(t, "count")
	zones := rapid.IntRange(1, 4).Draw(t, "zones")
	return lo.Times(count, func(i int) fleet.Node {
		return fleet.Node{
			Control: fleet.Address(fmt.Sprintf("10.0.0.%d:1", i)),
			Zone:    fleet.Zone(fmt.Sprintf("zone-%d", i%zones)),
			State:   fleet.VMLive,
		}
	})
}

// TestRemovedNodeChangesOneChoice removes one node and counts the changes in
// the choices that all nodes must make alike. Read in reverse, it covers an
// added node.
func TestRemovedNodeChangesOneChoice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := drawNodes(t, 4)
		size := rapid.IntRange(1, len(nodes)).Draw(t, "size")
		at := rapid.IntRange(0, len(nodes)-1).Draw(t, "removed")
		removed := nodes[at]
		fewer := slices.Delete(slices.Clone(nodes), at, at+1)
		choices := map[string]func(nodes []fleet.Node) []fleet.Node{
			"offer subset": func(nodes []fleet.Node) []fleet.Node { return OfferSubset("r", "zone-0", nodes, size) },
			"homes":        func(nodes []fleet.Node) []fleet.Node { return Homes("s", nodes, size) },
			"watchers":     func(nodes []fleet.Node) []fleet.Node { return Watchers("zone-0", nodes, size) },
			"keepers":      func(nodes []fleet.Node) []fleet.Node { return Reconcilers(nodes, size) },
		}
		for name, choose := range choices {
			before, after := choose(nodes), choose(fewer)
			lost, gained := lo.Difference(before, after)
			chosen := Contains(before, removed.Control)
			if chosen && (len(lost) != 1 || len(gained) > 1) || !chosen && len(lost)+len(gained) > 0 {
				t.Fatalf("%s: lost %v, gained %v, chosen %v", name, lost, gained, chosen)
			}
		}
		home, _ := HomeOf("s", "a", nodes)
		if other, _ := HomeOf("s", "a", fewer); home != removed && other != home {
			t.Fatalf("the home changed from %v to %v", home, other)
		}
	})
}

func TestSubsetsWidenAndStayNear(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := drawNodes(t, 1)
		size := rapid.IntRange(1, len(nodes)).Draw(t, "size")
		small := OfferSubset("r", "zone-0", nodes, size)
		large := OfferSubset("r", "zone-0", nodes, 2*size)
		if !slices.Equal(small, large[:len(small)]) {
			t.Fatal("a larger subset replaces agents of the smaller one")
		}
		inZone, _ := splitByZone(nodes, "zone-0")
		near, _ := splitByZone(small, "zone-0")
		if len(near) != min(size, len(inZone)) {
			t.Fatalf("%d of %d are from the router's zone, which has %d", len(near), size, len(inZone))
		}
	})
}

func TestGuardsInTwoZones(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := drawNodes(t, 2)
		guards := Guards("a", rapid.String().Draw(t, "key"), nodes)
		zones := lo.UniqBy(nodes, func(node fleet.Node) fleet.Zone { return node.Zone })
		if len(guards) != guardCount || guards[0] == guards[1] {
			t.Fatalf("guards %v", guards)
		}
		if len(zones) > 1 && guards[0].Zone == guards[1].Zone {
			t.Fatalf("both guards are in %s", guards[0].Zone)
		}
	})
}
