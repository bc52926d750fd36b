package peering

import (
	"testing"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
	"github.com/bluebellchute/bluebellchute/internal/peering/peeringpb"
)

// Guards against a router that has just started and that takes a history for its own which
// ends before its first list: a version may have gone in between.
func TestHistoryMustReachTheOwnList(t *testing.T) {
	for _, c := range []struct {
		name    string
		listAge time.Duration
		echo    time.Duration // after the own list, 0 for none
		former  bool
		known   bool // whether one version is known to be the only one
	}{
		{name: "current", listAge: time.Millisecond, echo: time.Second, known: true},
		{name: "another version", listAge: time.Millisecond, echo: time.Second, former: true},
		{name: "of an older list", listAge: 2 * time.Second, echo: time.Second},
		{name: "of a partitioned router", listAge: 20 * time.Second, echo: 30 * time.Second},
		{name: "without a list", listAge: -1, echo: time.Second},
		{name: "sent before the start", listAge: time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			state := knowledge.NewState()
			own := boottime.Now()
			state.SetBackends([]knowledge.Backend{{ID: "a", Service: "s", Version: "v2", Address: "10.0.0.1:1"}}, knowledge.Position{Revision: 1}, own)
			heartbeat := &peeringpb.Beat{
				ListAge:         int64(c.listAge),
				SoftwareHistory: &peeringpb.SoftwareHistory{CoversMs: uint32(knowledge.VersionHistory.Milliseconds())},
			}
			if c.former {
				heartbeat.SoftwareHistory.Software, heartbeat.SoftwareHistory.Service, heartbeat.SoftwareHistory.AgeMs = []uint64{7}, []uint64{knowledge.ServiceHash("s")}, []uint32{1}
			}
			echo := boottime.Instant(0)
			if c.echo > 0 {
				echo = own.Add(c.echo)
			}
			applySoftwareHistory(state, heartbeat, echo, own.Add(c.echo))
			id := state.View().OnlySoftware([]fleet.Service{"s"}, 45*time.Second, time.Hour, own.Add(c.echo))
			if known := id != 0; known != c.known {
				t.Errorf("known: %v, want %v", known, c.known)
			}
		})
	}
}
