package fairshare

import (
	"testing"

	"github.com/bluebellchute/bluebellchute/internal/settings"
)

func TestMoveKeepsTheCharge(t *testing.T) {
	clocks := NewClocks(Config{Share: settings.ShareFleet})
	clocks.Begin(request(1), "a", Hint{Prompt: 70})
	before := clocks.Clock("a")
	if !clocks.Move(request(1), request(2)) || clocks.Move(request(1), request(3)) {
		t.Fatal("the first move must succeed, a second one from the same id must not")
	}
	if after := clocks.Clock("a"); after != before {
		t.Errorf("clock %v after the move, %v before", after, before)
	}
	clocks.Settle(request(2), 40)
	if got := clocks.Clock("a"); got != 40 {
		t.Errorf("clock %v after a cost of 40, before it %v", got, before)
	}
}
