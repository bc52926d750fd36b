package router

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/membership"
)

// offerCounter steps a world whose agents are all full and counts the offers
// of one account that leave it, withdrawals apart.
type offerCounter struct {
	world     *World
	now       time.Time
	offers    int
	withdrawn int
}

func newOfferCounter(agents int) *offerCounter {
	c := &offerCounter{
		world: NewWorld(fleet.Node{Control: "127.0.0.1:1", Zone: "a"}, Limits{}, rand.New(rand.NewPCG(1, 2))),
		now:   time.Unix(1_000_000, 0),
	}
	view := membership.View{Version: 1}
	inputs := []Input{SettingsChanged{View: newFakeView()}}
	for i := range agents {
		view.Nodes = append(view.Nodes, fleet.Node{
			VM: fmt.Sprint("vm-", i), Role: fleet.RoleAgent, Service: testModel, State: fleet.VMLive, Zone: "a",
			Control: fleet.Address(fmt.Sprintf("127.0.0.2:%d", i+1)), Data: fleet.Address(fmt.Sprintf("127.0.0.3:%d", i+1)),
		})
	}
	c.step(append(inputs, MembersChanged{View: view})...)
	c.world.agents.Each(func(_ fleet.Address, row *agentRow) { row.heard = 0 })
	return c
}

func (c *offerCounter) step(inputs ...Input) {
	outputs, _ := c.world.Step(c.now, inputs)
	var replies []Input
	for _, output := range outputs {
		sent, ok := output.(SendOffer)
		if !ok {
			continue
		}
		for _, offer := range sent.Message.Offers {
			if offer.Count > 0 {
				c.offers++
			} else {
				c.withdrawn++
			}
		}
		replies = append(replies, OfferReplied{Agent: sent.Agent, Sequence: sent.Message.Sequence})
	}
	if len(replies) > 0 {
		c.step(replies...)
	}
}

// pass steps the world every 10 ms.
func (c *offerCounter) pass(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(10 * time.Millisecond)
		c.step()
	}
}

func (c *offerCounter) arrive() *Request { return c.arriveOf(testAccount) }

func (c *offerCounter) arriveOf(account fleet.Account) *Request {
	id := uuid.Must(uuid.NewV7())
	request := &Request{
		ID: id, Account: account, Service: testModel, Arrived: c.now, Deadline: c.now.Add(time.Minute),
		Idempotent: true, Answer: NewReceiver(id, nil, 0),
	}
	c.step(Arrived{Request: request})
	return request
}

// Symptom: offers are nine tenths of a router's control traffic, far beyond
// the budget. Sequence: an account has one request at a time; each one makes
// its queue non-empty and, when it is served, empty again. Cause: each change
// was told to every agent, because one width served all accounts of a service
// and empty queues were withdrawn at once.
func TestOffersOfAQueueThatComesAndGoes(t *testing.T) {
	const agents = 16
	c := newOfferCounter(agents)
	for range 10 {
		request := c.arrive()
		c.pass(50 * time.Millisecond)
		c.step(CallerGone{Request: request.ID})
		c.pass(50 * time.Millisecond)
	}
	if c.offers != 2 || c.withdrawn != 0 {
		t.Fatalf("10 requests that came and went cost %d offers and %d withdrawals, want 2 (the first subset, once) and 0",
			c.offers, c.withdrawn)
	}
	c.pass(withdrawDelay + 100*time.Millisecond)
	if c.withdrawn != 2 {
		t.Fatalf("%d withdrawals after the queue stayed empty, want 2", c.withdrawn)
	}
}

// Symptom: a slot stands idle at an agent outside of the first subset while a
// request waits. Sequence: the agents of the first subset stay full. Cause: the
// offers would have to reach every agent in the end.
func TestOffersWidenWhileARequestWaits(t *testing.T) {
	const agents = 16
	c := newOfferCounter(agents)
	c.arrive()
	c.pass(time.Second)
	if c.offers != agents {
		t.Fatalf("%d offers after a second of waiting, want one to each of %d agents", c.offers, agents)
	}
}

// Symptom: an agent goes on granting slots one at a time while hundreds of
// requests wait. Sequence: a queue that it was told of grows a hundredfold.
// Cause: it would not be told of growth.
func TestOffersTellOfGrowth(t *testing.T) {
	c := newOfferCounter(1)
	for range 64 {
		c.arrive()
	}
	c.pass(100 * time.Millisecond)
	queue := c.world.queue(testModel, testAccount)
	row := c.world.service(testModel).agents[0]
	told := row.offer.sent[testAccount]
	if told.outdated(countBucket(queue.len())) {
		t.Fatalf("the agent was told a count of magnitude %d while %d requests wait", told.bucket, queue.len())
	}
	if c.offers > 6 {
		t.Fatalf("%d offers for 64 arrivals, want at most one per magnitude", c.offers)
	}
}

// Symptom: two fifths of a router's offers tell nothing that an agent needs.
// Sequence: a queue that agents were told of shrinks, and is not empty. Cause:
// a smaller count was told, though each dispatch tells it to the one agent that
// it matters to.
func TestOffersDoNotTellOfShrinking(t *testing.T) {
	c := newOfferCounter(1)
	var requests []*Request
	for range 64 {
		requests = append(requests, c.arrive())
	}
	c.pass(100 * time.Millisecond)
	told := c.offers
	for _, request := range requests[1:] {
		c.step(CallerGone{Request: request.ID})
	}
	c.pass(time.Second)
	if c.offers != told || c.withdrawn != 0 {
		t.Fatalf("%d offers and %d withdrawals while 63 of 64 requests went, want 0", c.offers-told, c.withdrawn)
	}
}

// Symptom: with many accounts of one request each, a router's control traffic
// grows to 100 KB/s and slots idle on grants that are declined.
// Sequence: the queue of one account becomes empty; the queue of another is
// offered to the same agents. Cause: the agents kept the empty one until they
// had granted to it in vain, one message each.
func TestWithdrawalsRideOnOffers(t *testing.T) {
	c := newOfferCounter(2)
	first := c.arrive()
	c.pass(50 * time.Millisecond)
	c.step(CallerGone{Request: first.ID})
	c.arriveOf("acme/other")
	c.pass(50 * time.Millisecond)
	if c.withdrawn != 2 {
		t.Fatalf("%d withdrawals rode on the offers of another account to 2 agents, want 2", c.withdrawn)
	}
}

// Symptom: as above. Sequence: an account waits for its turn, as long as usual.
// Cause: its work was offered to ever more agents meanwhile, though only its
// clock kept it from being served.
func TestOffersWidenAfterTheUsualWait(t *testing.T) {
	c := newOfferCounter(16)
	queue := c.world.queue(testModel, testAccount)
	queue.usualWait = time.Second
	c.arrive()
	c.arrive() // a lone one would probe an agent after a while
	c.pass(900 * time.Millisecond)
	if c.offers != 2 {
		t.Fatalf("%d offers before the usual wait has passed, want 2 (the first subset)", c.offers)
	}
	c.pass(200 * time.Millisecond)
	if c.offers != 4 {
		t.Fatalf("%d offers after the usual wait, want 4", c.offers)
	}
}
