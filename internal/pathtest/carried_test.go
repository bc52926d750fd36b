package pathtest

import (
	"testing"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// No request may run twice and no slot may stay idle when a tenth of the frames
// and messages that carry grants are lost, delayed, duplicated or misdirected.
// Grants carried by answer frames have no reply, so that the agent can't tell a
// lost grant from one that is used late.
func TestGrantsCarriedByAnswers(t *testing.T) {
	for rate, minFrames := range map[float64]int{0: 20, 0.1: 5} {
		s := newSim(t, 2, 2, 7)
		s.fault = s.randomFaults(rate)
		for i := range 60 {
			s.submit(s.routers[i%2], []fleet.Account{"acme/lab/ann", "acme/lab/bob"}[i/2%2], nil)
			s.run(20 * time.Millisecond)
		}
		s.run(5 * time.Second)
		s.fault = func(*message) {}
		s.settle()
		s.checkAll()
		if s.grantFrames < minFrames {
			t.Errorf("rate %v: %d frames with grants arrived, want %d at least", rate, s.grantFrames, minFrames)
		}
	}
}
