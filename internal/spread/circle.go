package spread

import (
	"math/rand/v2"

	"github.com/samber/lo"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/membership"
)

// circle is what follows from one view: the peers to talk to, and whether this
// node watches the platform or keeps its list of VMs. It is made once per
// view, since the ranking costs a hash per node.
type circle struct {
	near    []fleet.Address // usable peers of the own zone
	far     []fleet.Address // usable peers of other zones
	watches bool
	keeps   bool
}

func newCircle(config Config, view membership.View) circle {
	self := config.Self
	var made circle
	candidates := []fleet.Node{self}
	for _, node := range view.Usable(view.Nodes) {
		if node.Control == self.Control {
			continue
		}
		candidates = append(candidates, node)
		made.add(self.Zone, node)
	}
	// Nodes that are leaving hear news too, since their runs go on, and are
	// asked; they are not relied on for watches.
	for _, node := range view.Nodes {
		if node.State == fleet.VMLeaving && node.Control != self.Control && !view.Suspects[node.Control] {
			made.add(self.Zone, node)
		}
	}
	watchers := membership.Watchers(self.Zone, candidates, config.WatchersPerZone)
	made.watches = membership.Contains(watchers, self.Control)
	made.keeps = membership.Contains(membership.Reconcilers(candidates, config.Reconcilers), self.Control)
	return made
}

func (c *circle) add(zone fleet.Zone, node fleet.Node) {
	if node.Zone == zone {
		c.near = append(c.near, node.Control)
		return
	}
	c.far = append(c.far, node.Control)
}

// peers is the number of peers.
func (c *circle) peers() int { return len(c.near) + len(c.far) }

// pick returns up to count peers that accept lets through: half of them from
// other zones, more where the own zone has too few, and the other way round.
func (c *circle) pick(random *rand.Rand, count int, accept func(fleet.Address) bool) []fleet.Address {
	far := sample(random, c.far, count, accept)
	near := sample(random, c.near, count, accept)
	fromFar := min(len(far), max((count+1)/2, count-len(near)))
	fromNear := min(len(near), count-fromFar)
	return append(far[:fromFar:fromFar], near[:fromNear]...)
}

// pickOne returns any one of the peers that accept lets through.
func (c *circle) pickOne(random *rand.Rand, accept func(fleet.Address) bool) (fleet.Address, bool) {
	all := make([]fleet.Address, 0, c.peers())
	all = append(append(all, c.near...), c.far...)
	return lo.First(sample(random, all, 1, accept))
}

// sample returns up to count random elements that accept lets through. It
// shuffles only as far as it has to.
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
