package spread

import (
	"math/rand/v2"

	"github.com/samber/lo"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/membership"
)

// peerSet is derived from one view: the peers to call, and whether this node
// watches the platform or reconciles its list of VMs. It is computed once per
// view, since the ranking costs a hash per node.
type peerSet struct {
	sameZone     []fleet.Address // usable peers in this node's zone
	otherZones   []fleet.Address // usable peers in other zones
	isWatcher    bool
	isReconciler bool
}

func newPeerSet(config Config, view membership.View) peerSet {
	self := config.Self
	var set peerSet
	candidates := []fleet.Node{self}
	for _, node := range view.Usable(view.Nodes) {
		if node.Control == self.Control {
			continue
		}
		candidates = append(candidates, node)
		set.add(self.Zone, node)
	}
	// Leaving nodes also receive updates and answer requests, since their runs
	// continue, but they are not selected as watchers.
	for _, node := range view.Nodes {
		if node.State == fleet.VMLeaving && node.Control != self.Control && !view.Suspects[node.Control] {
			set.add(self.Zone, node)
		}
	}
	watchers := membership.Watchers(self.Zone, candidates, config.WatchersPerZone)
	set.isWatcher = membership.Contains(watchers, self.Control)
	set.isReconciler = membership.Contains(membership.Reconcilers(candidates, config.Reconcilers), self.Control)
	return set
}

func (c *peerSet) add(zone fleet.Zone, node fleet.Node) {
	if node.Zone == zone {
		c.sameZone = append(c.sameZone, node.Control)
		return
	}
	c.otherZones = append(c.otherZones, node.Control)
}

// size returns the number of peers.
func (c *peerSet) size() int { return len(c.sameZone) + len(c.otherZones) }

// pick returns up to count peers for which accept returns true: half of them
// from other zones, more if this node's zone has too few, and vice versa.
func (c *peerSet) pick(random *rand.Rand, count int, accept func(fleet.Address) bool) []fleet.Address {
	far := sample(random, c.otherZones, count, accept)
	near := sample(random, c.sameZone, count, accept)
	fromFar := min(len(far), max((count+1)/2, count-len(near)))
	fromNear := min(len(near), count-fromFar)
	return append(far[:fromFar:fromFar], near[:fromNear]...)
}

// pickOne returns a random peer for which accept returns true.
func (c *peerSet) pickOne(random *rand.Rand, accept func(fleet.Address) bool) (fleet.Address, bool) {
	all := make([]fleet.Address, 0, c.size())
	all = append(append(all, c.sameZone...), c.otherZones...)
	return lo.First(sample(random, all, 1, accept))
}

// sample returns up to count random elements for which accept returns true. It
// shuffles from in place, only as far as needed.
func sample(random *rand.Rand, from []fleet.Address, count int, accept func(fleet.Address) bool) []fleet.Address {
	var chosen []fleet.Address
	for i := 0; i < len(from) && len(chosen) < count; i++ {
		j := i + random.IntN(len(from)-i)
		from[i], from[j] = from[j], from[i]
		if accept(from[i]) {
			chosen = append(chosen, from[i])
		}
	}
	return chosen
}
