package agent

import (
	"testing"

	"github.com/bluebellchute/bluebellchute/internal/settings"
)

// Symptom: an agent that has just started sends its routers one question after
// the other, as fast as it can.
// Sequence: the first step of a new agent already finds free slots and no
// offers; each question is followed by a step at the same moment.
// Cause: the interval between two questions was 0 until slots had been in use
// once, and twice 0 is 0.
func TestNewAgentAsksOnceAtATime(t *testing.T) {
	h := newHarness(testPolicy(settings.KindModel))
	asked := 0
	for range 20 {
		for _, command := range h.commands {
			if _, ok := command.(AskRouter); ok {
				asked++
			}
		}
		h.step()
	}
	if asked > MaxAsked {
		t.Errorf("%d questions at one moment, want %d at most", asked, MaxAsked)
	}
}
