package router

import (
	"time"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/membership"
	"github.com/bluebellchute/bluebellchute/internal/settings"
)

// takeMembers brings the table of agents level with a new view of the fleet.
// An agent that is gone stays in the table while attempts refer to it, but is
// given nothing new.
func (w *World) takeMembers(view membership.View) {
	w.members = view
	listed := make(map[fleet.Address]bool, len(view.Nodes))
	for _, node := range view.Nodes {
		if node.Role != fleet.RoleAgent {
			continue
		}
		listed[node.Control] = true
		w.listAgent(node)
	}
	w.agents.Each(func(address fleet.Address, row *agentRow) {
		if !listed[address] {
			row.listed = false
			w.agents.Delete(address)
			delete(w.offered, row)
		}
	})
	w.services.Each(func(_ fleet.Service, service *serviceRow) { w.orderAgents(service) })
}

func (w *World) listAgent(node fleet.Node) {
	row := w.agents.GetOrCreate(node.Control, func() *agentRow {
		// A new agent is believed to have one slot: the first reply tells more.
		return &agentRow{heard: 1, heardAt: w.now, rank: notRanked}
	})
	service := w.service(node.Service)
	if row.service != nil && row.service != service {
		row.offer = offerState{}
	}
	row.node = node
	row.service = service
	row.listed = node.State != fleet.VMLeaving
}

// takeHeard takes in an agent's envelope. A new incarnation has lost what the
// old one knew: its offers are sent again in full.
func (w *World) takeHeard(event AgentHeard) {
	row := w.agents.Get(event.Agent)
	if row == nil || event.Incarnation < row.incarnation {
		return
	}
	if event.Incarnation > row.incarnation {
		if row.incarnation != 0 {
			row.heard = 1
			row.heardAt = w.now
			w.resendOffers(row)
		}
		row.incarnation = event.Incarnation
	}
	if row.leaving != event.Leaving {
		row.leaving = event.Leaving
		w.orderAgents(row.service)
	}
}

// markLeaving stops all new work to an agent at once. The platform's list
// tells the same, but seconds later.
func (w *World) markLeaving(row *agentRow) {
	if row == nil || row.leaving {
		return
	}
	row.leaving = true
	w.orderAgents(row.service)
}

// notRanked is the rank of an agent that gets no offers.
const notRanked = -1

// orderAgents orders a service's agents for offering: those of the router's own
// zone first, in an order that depends on the router, so that the routers'
// subsets differ and move little when agents come and go.
func (w *World) orderAgents(service *serviceRow) {
	agents := w.members.Agents(service.name)
	ranked := membership.OfferSubset(w.self.Control, w.self.Zone, agents, len(agents))
	for _, row := range service.agents {
		row.rank = notRanked
	}
	service.agents = service.agents[:0]
	for _, node := range ranked {
		row := w.agents.Get(node.Control)
		if row != nil && row.takesWork() {
			service.agents = append(service.agents, row)
		}
	}
	switch {
	case len(service.agents) > 0:
		service.noneAt = time.Time{}
	case service.noneAt.IsZero():
		service.noneAt = w.now
	}
	w.offerAll(service)
}

// distance is 0 for an agent in the router's own zone and 1 for another.
func (w *World) distance(row *agentRow) int {
	if row.node.Zone == w.self.Zone {
		return 0
	}
	return 1
}

// service returns the row of a service and makes one where there is none.
func (w *World) service(name fleet.Service) *serviceRow {
	return w.services.GetOrCreate(name, func() *serviceRow {
		row := &serviceRow{
			name:     name,
			queues:   make(map[fleet.Account]*accountQueue),
			hashes:   make(map[uint32][]*accountQueue),
			backlog:  make(map[*accountQueue]struct{}),
			prefixes: make(map[uint64]*agentRow),
			noneAt:   w.now,
		}
		row.policy = w.servicePolicy(name)
		return row
	})
}

func (w *World) servicePolicy(name fleet.Service) settings.ServicePolicy {
	if w.settings != nil {
		if policy, ok := w.settings.Service(name); ok {
			return policy
		}
	}
	return settings.ServicePolicy{Service: name, SilenceTimeout: defaultSilence}
}

func (w *World) accountPolicy(name fleet.Account) settings.AccountPolicy {
	if w.settings != nil {
		if policy, ok := w.settings.Account(name); ok {
			return policy
		}
	}
	return settings.AccountPolicy{Account: name, Weight: 1}
}

// takeSettings puts a new revision in force.
func (w *World) takeSettings(view settings.View) {
	if w.settings != nil && view.Revision() < w.settings.Revision() {
		return
	}
	w.settings = view
	w.services.Each(func(name fleet.Service, service *serviceRow) {
		service.policy = w.servicePolicy(name)
	})
}

func (s *serviceRow) silence() time.Duration {
	if s.policy.SilenceTimeout > 0 {
		return s.policy.SilenceTimeout
	}
	return defaultSilence
}
