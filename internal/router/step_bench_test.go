package router

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/membership"
	"github.com/bluebellchute/bluebellchute/internal/settings"
)

// BenchmarkStep measures a step of a router before a saturated fleet: requests
// of many accounts wait for each service, and one more comes.
func BenchmarkStep(b *testing.B) {
	for _, size := range []struct{ services, accounts, agents int }{
		{1, 17, 21}, {1, 170, 21}, {30, 17, 21}, {30, 170, 21},
	} {
		name := fmt.Sprintf("services=%d/accounts=%d/agents=%d", size.services, size.accounts, size.agents)
		b.Run(name, func(b *testing.B) {
			world, now := saturatedWorld(size.services, size.accounts, size.agents)
			b.ResetTimer()
			for i := range b.N {
				now = now.Add(time.Millisecond)
				outputs, _ := world.Step(now, []Input{Arrived{Request: waitingRequest(now, i%size.services, i%size.accounts)}})
				answerOffers(world, now, outputs)
			}
		})
	}
}

func saturatedWorld(services, accounts, agents int) (*World, time.Time) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	view := newFakeView()
	members := membership.View{Version: 1}
	for s := range services {
		policy := view.services[testModel]
		policy.Service = benchService(s)
		view.services[policy.Service] = policy
		for a := range agents {
			members.Nodes = append(members.Nodes, fleet.Node{
				Role: fleet.RoleAgent, Control: fleet.Address(fmt.Sprintf("%d-%d:1", s, a)), Zone: "a",
				Service: policy.Service, State: fleet.VMLive,
			})
		}
	}
	for a := range accounts {
		view.accounts[benchAccount(a)] = settings.AccountPolicy{Weight: 1}
	}
	world := NewWorld(fleet.Node{Control: "r:1", Zone: "a"}, Limits{}, rand.New(rand.NewPCG(1, 1)))
	world.Step(now, []Input{SettingsChanged{View: view}, MembersChanged{View: members}})
	world.agents.Each(func(_ fleet.Address, row *agentRow) { row.heard = 0 })
	for s := range services {
		for a := range accounts {
			world.Step(now, []Input{Arrived{Request: waitingRequest(now, s, a)}})
		}
	}
	for range 1000 {
		now = now.Add(5 * time.Millisecond)
		outputs, _ := world.Step(now, nil)
		answerOffers(world, now, outputs)
	}
	return world, now
}

// answerOffers lets the agents reply that they have no free slot.
func answerOffers(world *World, now time.Time, outputs []Output) {
	for _, output := range outputs {
		if offer, ok := output.(SendOffer); ok {
			world.Step(now, []Input{OfferReplied{Agent: offer.Agent, Sequence: offer.Message.Sequence}})
		}
	}
}

func waitingRequest(now time.Time, service, account int) *Request {
	return &Request{
		ID: newRequestID(), Service: benchService(service), Account: benchAccount(account),
		Arrived: now, Deadline: now.Add(time.Hour), Payload: make([]byte, 0),
	}
}

func benchService(i int) fleet.Service { return fleet.Service(fmt.Sprintf("service-%d", i)) }
func benchAccount(i int) fleet.Account { return fleet.Account(fmt.Sprintf("org/team/account-%d", i)) }
