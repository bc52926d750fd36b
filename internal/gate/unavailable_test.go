package gate

import (
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
)

// Requests would reach a backend server again that has said that it leaves: its entry
// lapsed in an outage of the store, and is back with the next heartbeat.
func TestUnavailabilityOutlastsALapsedEntry(t *testing.T) {
	servers := newUnavailableServers()
	now := boottime.Now()
	listed := map[string]*knowledge.Backend{"a": {ID: "a", Incarnation: "a@1"}}
	servers.add("a@1", indefinitely, now)
	servers.prune(listed, now)
	servers.prune(nil, now.Add(time.Hour)) // the first list without it in an hour
	servers.prune(nil, now.Add(time.Hour+2*time.Second))
	servers.prune(listed, now.Add(time.Hour+4*time.Second))
	if closed := servers.at(now.Add(2 * time.Hour)); closed["a@1"] != indefinitely {
		t.Errorf("%v are closed", closed)
	}
}

// What is remembered is bounded, and says nothing of a server that starts again.
func TestUnavailabilityEndsWithItsServer(t *testing.T) {
	servers := newUnavailableServers()
	now := boottime.Now()
	servers.add("a@1", indefinitely, now)
	again := map[string]*knowledge.Backend{"a": {ID: "a", Incarnation: "a@2"}}
	servers.prune(again, now)
	if closed := servers.at(now); closed["a@2"] != 0 {
		t.Error("closed after it has started again")
	}
	servers.prune(again, now.Add(unlistedTTL+time.Second))
	if closed := servers.at(now.Add(unlistedTTL + time.Second)); len(closed) != 0 {
		t.Errorf("%v are remembered", closed)
	}
}

func TestUnavailabilityEndsInTime(t *testing.T) {
	servers := newUnavailableServers()
	now := boottime.Now()
	if !servers.add("a", now.Add(time.Second), now) {
		t.Error("closed before it was added")
	}
	if servers.add("a", now.Add(500*time.Millisecond), now) {
		t.Error("open while it is closed")
	}
	if closed := servers.at(now.Add(900 * time.Millisecond)); closed["a"] != now.Add(time.Second) {
		t.Errorf("%v are closed, a shorter time must not replace a longer one", closed)
	}
	if closed := servers.at(now.Add(time.Second)); closed != nil {
		t.Errorf("%v are closed after the time", closed)
	}
}

// Requests would reach a backend server seconds after it has said that it wants none: on a
// busy processor, or when packets are lost, their connections take so long to be opened.
func TestNothingIsSentToAServerThatRejectsWhileConnecting(t *testing.T) {
	admission := newAdmission(newCurrentSettings(Settings{}), "", noPeers{})
	run := &relay{handler: &handler{admission: admission}}
	backend := &knowledge.Backend{ID: "a", Incarnation: "a"}
	if err := run.checkBeforeSend(t.Context(), backend); err != nil {
		t.Errorf("an open server: %v", err)
	}
	now := boottime.Now()
	admission.unavailable.add("a", now.Add(time.Minute), now)
	if err := run.checkBeforeSend(t.Context(), backend); !errors.Is(err, errRejecting) {
		t.Errorf("a closed server: %v", err)
	}
}
