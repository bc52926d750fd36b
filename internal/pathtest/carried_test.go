package pathtest

import (
	"testing"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// Symptom: a request runs twice, or slots stand idle for good.
// Sequence: more requests wait than slots are free; grants ride on the answers
// of others, each tenth frame or message is lost, late, doubled or crossed.
// Cause: grants that ride have no reply, so that the agent cannot tell a lost
// one from one that is used late.
func TestGrantsThatRideOnAnswers(t *testing.T) {
	for rate, least := range map[float64]int{0: 20, 0.1: 5} {
		s := newSim(t, 2, 2, 7)
		s.fault = s.randomFaults(rate)
		for i := range 60 {
			s.ask(s.routers[i%2], []fleet.Account{"acme/lab/ann", "acme/lab/bob"}[i/2%2], nil)
			s.run(20 * time.Millisecond)
		}
		s.run(5 * time.Second)
		s.fault = func(*message) {}
		s.settle()
		s.checkAll()
		if s.carried < least {
			t.Errorf("rate %v: %d frames with grants arrived, want %d at least", rate, s.carried, least)
		}
	}
}
