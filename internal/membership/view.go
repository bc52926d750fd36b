// Package membership tells which processes of the system exist, which of them
// may be given new work, and which of them serve as homes and guards.
package membership

import (
	"github.com/samber/lo"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// View is the fleet as one node knows it. It is immutable.
type View struct {
	Version uint64 // grows with each change of the list
	Nodes   []fleet.Node
	// Suspects are nodes that lately failed several calls of this node in a
	// row. Suspicion ends by itself and removes no node.
	Suspects map[fleet.Address]bool
}

// Agents returns the agents of a service, the leaving ones too.
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

// Live returns the nodes that may be given new work.
func Live(nodes []fleet.Node) []fleet.Node {
	return lo.Filter(nodes, func(node fleet.Node, _ int) bool {
		return node.State == fleet.VMLive
	})
}

// Usable returns the live nodes that are not suspected. When all live ones are
// suspected it returns them all: a node that is itself cut off suspects
// everyone, and must find its peers again once the link heals.
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
