// Package membership tracks which processes of the system exist and which of
// them accept new work, and assigns the roles that every node has to compute
// alike: homes, guards, watchers and reconcilers.
package membership

import (
	"github.com/samber/lo"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// View is one node's view of the fleet. It is immutable.
type View struct {
	Version uint64 // increases with each change of the view
	Nodes   []fleet.Node
	// Suspects are nodes to which several consecutive calls of this node have
	// failed. A suspicion expires by itself and removes no node.
	Suspects map[fleet.Address]bool
}

// Agents returns the agents of a service, including the leaving ones.
func (v View) Agents(service fleet.Service) []fleet.Node {
	return lo.Filter(v.Nodes, func(node fleet.Node, _ int) bool {
		return node.Role == fleet.RoleAgent && node.Service == service
	})
}

// Routers returns all routers.
func (v View) Routers() []fleet.Node {
	return lo.Filter(v.Nodes, func(node fleet.Node, _ int) bool {
		return node.Role == fleet.RoleRouter
	})
}

// Live returns the nodes that accept new work.
func Live(nodes []fleet.Node) []fleet.Node {
	return lo.Filter(nodes, func(node fleet.Node, _ int) bool {
		return node.State == fleet.VMLive
	})
}

// Usable returns the live nodes that are not suspected. If all live nodes are
// suspected it returns all of them: a node that is itself cut off suspects
// every other one, and must find its peers again once the network recovers.
func (v View) Usable(nodes []fleet.Node) []fleet.Node {
	live := Live(nodes)
	usable := lo.Filter(live, func(node fleet.Node, _ int) bool {
		return !v.Suspects[node.Control]
	})
	if len(usable) == 0 {
		return live
	}
	return usable
}
