package backendconn

import (
	"fmt"
	"testing"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// Guards against unbounded growth while backend servers come and go, and against dropping
// the newest records instead of the oldest.
func TestHistoryIsBounded(t *testing.T) {
	known := make(history)
	now := boottime.Instant(time.Hour)
	for i := range maxHistoryAddresses + 10 {
		address := fleet.Address(fmt.Sprint("a", i))
		known.add(address, ending{reason: ReasonExpired, at: now.Add(time.Duration(i))})
	}
	if len(known) != maxHistoryAddresses {
		t.Errorf("%d addresses are remembered, want %d", len(known), maxHistoryAddresses)
	}
	if _, found := known.take("a9", now); found {
		t.Error("one of the oldest addresses is remembered")
	}
	if _, found := known.take("a10", now); !found {
		t.Error("an address within the bound was dropped")
	}
	last := fleet.Address(fmt.Sprint("a", maxHistoryAddresses+9))
	for i := range maxHistoryEndings + 10 {
		known.add(last, ending{reason: ReasonBroken, at: now.Add(time.Duration(i))})
	}
	if got := len(known[last]); got != maxHistoryEndings {
		t.Errorf("%d endings are remembered, want %d", got, maxHistoryEndings)
	}
	if newest, _ := known.take(last, now); newest.at != now.Add(maxHistoryEndings+9) {
		t.Error("the newest ending was dropped")
	}
}

// Guards against reasons from long ago, and against memory held for removed backend
// servers.
func TestHistoryExpires(t *testing.T) {
	known := make(history)
	start := boottime.Instant(time.Hour)
	late := start.Add(historyTTL + 1)
	known.add("old", ending{reason: ReasonClosed, at: start})
	known.add("new", ending{reason: ReasonClosed, at: late})
	known.prune(late)
	if len(known) != 1 {
		t.Errorf("%d addresses after pruning, want 1", len(known))
	}
	known.add("old", ending{reason: ReasonClosed, at: start})
	if _, found := known.take("old", late); found {
		t.Error("an expired ending was returned")
	}
	if _, found := known["old"]; found {
		t.Error("an address with expired endings only is held")
	}
}

// Guards against idle times that end at the router's own limit: they could not show that a
// longer one would have avoided the opening.
func TestIdleTimeRunsUntilTheOpening(t *testing.T) {
	start := boottime.Instant(time.Hour)
	ended := ending{reason: ReasonExpired, at: start.Add(time.Second), idleSince: start, statedTimeout: 5 * time.Second}
	want := Opening{Reason: ReasonExpired, IdleTime: 9 * time.Second, StatedTimeout: 5 * time.Second}
	if got := ended.opening(start.Add(9 * time.Second)); got != want {
		t.Errorf("opening %+v, want %+v", got, want)
	}
	ended.reason = ReasonBroken
	if got := ended.opening(start.Add(9 * time.Second)); got != (Opening{Reason: ReasonBroken}) {
		t.Errorf("opening %+v, want no idle time for a broken connection", got)
	}
}
