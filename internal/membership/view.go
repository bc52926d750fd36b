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
