package knowledge

import (
	"testing"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

const testWindow = 40 * time.Second

// listVersions applies a list of servers of service "s" with these versions.
func listVersions(state *State, revision uint64, versions ...string) {
	var backends []Backend
	for i, version := range versions {
		id := string(rune('a' + i))
		backends = append(backends, Backend{ID: id, Service: "s", Version: version, Address: "10.0.0.1:1", Position: Position{Revision: revision}})
	}
	state.SetBackends(backends, Position{Revision: revision}, boottime.Now())
}

// only returns OnlySoftware of service "s" after the time has passed, with a list as fresh as
// now.
func only(state *State, after time.Duration) SoftwareID {
	now := boottime.Now()
	return state.View().OnlySoftware([]fleet.Service{"s"}, testWindow, time.Hour, now.Add(after))
}

// Guards against a stream that goes on at the only version listed although another one, listed
// lately, may have begun it.
func TestOnlySoftwareConsidersFormerVersions(t *testing.T) {
	state := NewState()
	state.SetNewFleet()
	listVersions(state, 1, "v1", "v1")
	if got := only(state, 0); got != softwareID("s", "v1") {
		t.Errorf("%x, want the ID of v1", got)
	}
	listVersions(state, 2, "v1", "v2")
	if got := only(state, 0); got != 0 {
		t.Errorf("%x while two versions are listed", got)
	}
	listVersions(state, 3, "v2", "v2")
	if got := only(state, 0); got != 0 {
		t.Errorf("%x just after v1 has gone", got)
	}
	if got := only(state, testWindow+time.Second); got != softwareID("s", "v2") {
		t.Errorf("%x after the window, want the ID of v2", got)
	}
	listVersions(state, 4, "v1", "v1")
	if got := only(state, 0); got != 0 {
		t.Errorf("%x when v1 has replaced v2 again", got)
	}
}

// Guards against the same conclusion by a router that has just started, or that was without a
// current list for a while, and did not see which versions were listed.
func TestOnlySoftwareIsUnknownWithoutHistory(t *testing.T) {
	state := NewState()
	listVersions(state, 1, "v1")
	if got := only(state, 0); got != 0 {
		t.Errorf("%x at the start", got)
	}
	if got := only(state, testWindow+time.Second); got == 0 {
		t.Error("still unknown after the window")
	}
	if got := state.View().OnlySoftware([]fleet.Service{"s"}, testWindow, time.Second, boottime.Now().Add(testWindow+time.Second)); got != 0 {
		t.Errorf("%x with a list that is too old", got)
	}
	now := boottime.Now()
	statedBefore := state.View().versions.since - 1
	state.AddFormerVersions(nil, now.Add(-VersionHistory), statedBefore)
	if got := only(state, 0); got != 0 {
		t.Errorf("%x by a history from before this router's list", got)
	}
	state.AddFormerVersions(nil, now.Add(-VersionHistory), now)
	if got := only(state, 0); got == 0 {
		t.Error("unknown although another router remembers no other version")
	}
	state.AddFormerVersions([]FormerVersion{{Software: softwareID("s", "v0"), Service: ServiceHash("s"), Unlisted: now}}, now, now)
	if got := only(state, 0); got != 0 {
		t.Errorf("%x although another router remembers v0", got)
	}
}

// Guards against a router of a new fleet that gets its first list late, when versions may have
// come and gone, and takes the one listed for the only one there ever was.
func TestLateFirstListOfANewFleetHasNoHistory(t *testing.T) {
	for age, known := range map[time.Duration]bool{newFleetTime - time.Second: true, newFleetTime + time.Second: false} {
		state := NewState()
		state.SetNewFleet()
		state.update(func(view *View) bool {
			view.newFleetAt = view.newFleetAt.Add(-age)
			return false
		})
		listVersions(state, 1, "v2")
		if got := only(state, 0); (got != 0) != known {
			t.Errorf("%x with the first list %v after the start", got, age)
		}
	}
}

// Guards against a list received after a long gap that hides versions which came and went.
func TestGapInTheListEndsTheHistory(t *testing.T) {
	state := NewState()
	state.SetNewFleet()
	state.SetBackends([]Backend{{ID: "a", Service: "s", Version: "v1", Address: "10.0.0.1:1"}}, Position{Revision: 1}, boottime.Now().Add(-time.Minute))
	if got := only(state, 0); got == 0 {
		t.Error("unknown in a new fleet")
	}
	listVersions(state, 2, "v1")
	if got := only(state, 0); got != 0 {
		t.Errorf("%x after a gap", got)
	}
}

// Guards against the same where another router confirms that the list is the same as before.
func TestConfirmationAfterAGapEndsTheHistory(t *testing.T) {
	state := NewState()
	state.SetNewFleet()
	state.SetBackends([]Backend{{ID: "a", Service: "s", Version: "v1", Address: "10.0.0.1:1"}}, Position{Revision: 1}, boottime.Now().Add(-time.Minute))
	state.ConfirmBackends(state.View().Digest, boottime.Now())
	if got := only(state, 0); got != 0 {
		t.Errorf("%x after a gap", got)
	}
}

// Guards against a version that is not remembered because its server came and went within one
// response to a watch.
func TestVersionWithinOneBatchIsRemembered(t *testing.T) {
	state := NewState()
	state.SetNewFleet()
	listVersions(state, 1, "v1")
	passing := Backend{ID: "z", Service: "s", Version: "v2", Address: "10.0.0.1:1", Position: Position{Revision: 2}}
	state.ApplyBackendChanges([]BackendChange{{ID: "z", Entry: &passing}, {ID: "z"}}, Position{Revision: 3})
	if got := only(state, 0); got != 0 {
		t.Errorf("%x although v2 was listed just before", got)
	}
}

// Guards against a history that counts as complete although some of it found no room.
func TestHistoryWithoutRoomIsNotComplete(t *testing.T) {
	state := NewState()
	listVersions(state, 1, "v1")
	now := boottime.Now()
	former := make([]FormerVersion, maxFormerVersions+1)
	for i := range former {
		former[i] = FormerVersion{Software: SoftwareID(i + 1), Service: ServiceHash("other"), Unlisted: now}
	}
	state.AddFormerVersions(former, now.Add(-VersionHistory), now)
	if got := only(state, 0); got != 0 {
		t.Errorf("%x", got)
	}
}

// Guards against servers without a stated version that share one with each other, or with none
// where the whole service states none.
func TestServersOfUnstatedVersionShareNone(t *testing.T) {
	state := NewState()
	listVersions(state, 1, "", "")
	view := state.View()
	if a, b := view.SoftwareID(view.Backends["a"]), view.SoftwareID(view.Backends["b"]); a != b {
		t.Error("two servers of a service without versions differ")
	}
	listVersions(state, 2, "", "", "v1")
	view = state.View()
	ids := map[SoftwareID]bool{}
	for _, backend := range view.Backends {
		ids[view.SoftwareID(backend)] = true
	}
	if len(ids) != 3 {
		t.Errorf("%d IDs of three servers, two of which state no version", len(ids))
	}
}

// Guards against servers of unstated versions that share one as soon as the last server that
// states its version has gone.
func TestServersOfUnstatedVersionStayApartWithoutStatedOnes(t *testing.T) {
	state := NewState()
	listVersions(state, 1, "", "", "v3")
	listVersions(state, 2, "", "")
	view := state.View()
	if a, b := view.SoftwareID(view.Backends["a"]), view.SoftwareID(view.Backends["b"]); a == b {
		t.Error("both have the same ID")
	}
}

// Guards against a version that is lost when a router that doesn't forward versions sends the
// entry again, and against one that stays when the server has written another entry.
func TestVersionOfTheSameEntryIsKept(t *testing.T) {
	state := NewState()
	listVersions(state, 1, "v1")
	state.SetBackends([]Backend{{ID: "a", Service: "s", Address: "10.0.0.1:1", Position: Position{Revision: 1}}}, Position{Revision: 2}, boottime.Now())
	if got := state.View().Backends["a"].Version; got != "v1" {
		t.Errorf("version %q of the same entry", got)
	}
	listVersions(state, 3, "")
	if got := state.View().Backends["a"].Version; got != "" {
		t.Errorf("version %q of a later entry that leaves it out", got)
	}
}

// Guards against two versions that count as one after such entries.
func TestVersionsOfTheSameEntriesStayApart(t *testing.T) {
	state := NewState()
	listVersions(state, 1, "v1", "v2")
	var again []Backend
	for _, id := range []string{"a", "b"} {
		again = append(again, Backend{ID: id, Service: "s", Address: "10.0.0.1:1", Position: Position{Revision: 1}})
	}
	state.SetBackends(again, Position{Revision: 2}, boottime.Now())
	view := state.View()
	if a, b := view.SoftwareID(view.Backends["a"]), view.SoftwareID(view.Backends["b"]); a == b || a != softwareID("s", "v1") {
		t.Errorf("IDs %x and %x of v1 and v2", a, b)
	}
}

// Guards against a change of the version alone that other routers do not notice.
func TestVersionIsPartOfTheDigest(t *testing.T) {
	state := NewState()
	listVersions(state, 1, "v1")
	before := state.View().Digest
	listVersions(state, 2, "v2")
	if state.View().Digest == before {
		t.Error("the digest does not change with the version")
	}
}

// Guards against a record of former versions that grows without a bound.
func TestFormerVersionsAreBounded(t *testing.T) {
	state := NewState()
	state.SetNewFleet()
	for i := range 4 * maxFormerVersions {
		listVersions(state, uint64(i+1), time.Duration(i).String())
	}
	if former, since := state.View().FormerVersions(boottime.Now()); len(former) > maxFormerVersions || since == 0 {
		t.Errorf("%d versions are remembered, since %v", len(former), since)
	}
}
