package agent

import (
	"testing"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/settings"
)

// Symptom: accounts at one router wait up to sixteen seconds on a busy fleet
// while accounts at others are served. The sequence: a call that brings a grant
// is lost in a short stall, and the full agent drops the router's offers; other
// routers' offers remain, so it never asks as an idle one does; the router
// believes its offers known. The cause: nobody spoke first.
func TestDroppedOffersAreAskedForAgain(t *testing.T) {
	h := newHarness(testPolicy(settings.KindModel))
	h.advance(2*MaxClockSkew + 1) // ids made from now on are known to be new
	ids := fill(t, h)
	h.step(h.offer(routerA, 1, 1), h.offer(routerB, 1, 9))
	h.end(ids[0], RunComplete)
	granted := routerA
	if len(h.grants(routerA)) == 0 {
		granted = routerB
	}
	h.step(GrantAnswered{Router: granted, Failed: true})
	asked := func() (questions int) {
		for _, command := range h.commands {
			if ask, ok := command.(AskRouter); ok && ask.Router == granted {
				questions++
			}
		}
		return questions
	}
	h.advance(MinAskInterval)
	if asked() != 1 {
		t.Fatalf("%d questions to the router whose offers were dropped, want 1", asked())
	}
	h.advance(MinAskInterval)
	if asked() != 1 {
		t.Fatal("a question that is not answered is not repeated")
	}
	h.step(FreeAnswered{Router: granted, Incarnation: 1, Offers: h.offer(granted, 0, 1).Offers})
	if h.world.routers.Get(granted).offers[fleet.Account("a")] == nil {
		t.Error("the repeated offer is not known")
	}
	h.advance(2 * MinAskInterval)
	if asked() != 0 {
		t.Error("the router is asked on, although it answered")
	}
}
