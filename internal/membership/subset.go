package membership

import (
	"github.com/samber/lo"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// OfferSubset returns the agents to which a router offers waiting requests:
// size of the given agents, those of the router's zone first, in a stable order
// specific to the router. A larger size extends a smaller subset and replaces
// none of it.
func OfferSubset(router fleet.Address, zone fleet.Zone, agents []fleet.Node, size int) []fleet.Node {
	ranked := Rank("offer/"+string(router), agents)
	near, far := splitByZone(ranked, zone)
	return firstOf(append(near, far...), size)
}

// Homes returns the agents that sum up a service's usage by client account.
func Homes(service fleet.Service, agents []fleet.Node, count int) []fleet.Node {
	return firstOf(Rank("home/"+string(service), agents), count)
}

// HomeOf returns the service's home that sums up the usage of an account, or
// false if there are no homes.
func HomeOf(service fleet.Service, account fleet.Account, homes []fleet.Node) (fleet.Node, bool) {
	ranked := Rank("home/"+string(service)+"/"+string(account), homes)
	return lo.First(ranked)
}

// guardCount is the number of guards per idempotency key.
const guardCount = 2

// Guards returns the agents that record the use of a caller's idempotency key:
// the first by rank, and the next one in another zone if there is one, so that
// losing a zone does not lose both.
func Guards(account fleet.Account, key string, agents []fleet.Node) []fleet.Node {
	ranked := Rank("key/"+string(account)+"/"+key, agents)
	if len(ranked) <= 1 {
		return ranked
	}
	first, others := ranked[0], ranked[1:]
	near, far := splitByZone(others, first.Zone)
	return firstOf(append([]fleet.Node{first}, append(far, near...)...), guardCount)
}

// Watchers returns the nodes of a zone that watch the platform.
func Watchers(zone fleet.Zone, nodes []fleet.Node, count int) []fleet.Node {
	inZone, _ := splitByZone(nodes, zone)
	return firstOf(Rank("watch/"+string(zone), inZone), count)
}

// Reconcilers returns the nodes that transfer the platform's list of VMs to the
// nodes' records. Their number does not depend on the size of the fleet.
func Reconcilers(nodes []fleet.Node, count int) []fleet.Node {
	return firstOf(Rank("keeper", nodes), count)
}

// Contains reports whether a node with the control address is among the nodes.
func Contains(nodes []fleet.Node, control fleet.Address) bool {
	return lo.ContainsBy(nodes, func(node fleet.Node) bool { return node.Control == control })
}

// splitByZone returns the nodes of the zone and the others, each in order.
func splitByZone(nodes []fleet.Node, zone fleet.Zone) (inZone, others []fleet.Node) {
	return lo.FilterReject(nodes, func(node fleet.Node, _ int) bool { return node.Zone == zone })
}

func firstOf(nodes []fleet.Node, count int) []fleet.Node {
	return nodes[:min(max(0, count), len(nodes))]
}
