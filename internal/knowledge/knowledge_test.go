package knowledge

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
)

func configuration(version uint64) *Configuration {
	return &Configuration{
		Version: version,
		Routes: []Route{
			{Name: "short", Host: "H.example", PathPrefix: "/a/"},
			{Name: "long", Host: "h.example", PathPrefix: "/a/b/"},
		},
		Accounts: []Account{{Name: "kitchen", Keys: []string{"k1", "k2"}}},
	}
}

func TestLongestPrefixWins(t *testing.T) {
	index := NewIndex(configuration(1))
	for path, want := range map[string]string{"/a/b/c": "long", "/a/bc": "short", "/a/": "short", "/ab/": ""} {
		got := ""
		if route := index.Route("h.EXAMPLE:80", path); route != nil {
			got = route.Name
		}
		if got != want {
			t.Errorf("%s goes to %q, want %q", path, got, want)
		}
	}
	if index.Route("other.example", "/a/") != nil {
		t.Error("another host's route is used")
	}
}

func TestAccountsPriorityGoesBeforeTheRoutes(t *testing.T) {
	urgent, usual := 0, 1
	index := NewIndex(&Configuration{
		Routes: []Route{
			{PathPrefix: "/a/", Priority: 1, Destinations: []Destination{{Service: "s", Weight: 1}}},
			{PathPrefix: "/b/", Priority: 4, Destinations: []Destination{{Service: "s", Weight: 1}}},
		},
		Accounts: []Account{{Name: "urgent", Priority: &urgent}, {Name: "usual", Priority: &usual}, {Name: "none"}},
	})
	routes, accounts := index.Configuration.Routes, index.Configuration.Accounts
	for _, test := range []struct {
		route   *Route
		account *Account
		want    int
	}{
		{&routes[1], &accounts[0], 0},
		{&routes[1], &accounts[1], 1},
		{&routes[0], &accounts[2], 1},
		{&routes[1], &accounts[2], 2},
		{&routes[1], nil, 2},
	} {
		if got := index.Rank("s", test.route, test.account); got != test.want {
			t.Errorf("%s of %+v: rank %d, want %d", test.route.PathPrefix, test.account, got, test.want)
		}
	}
}

func TestDestinationsByWeight(t *testing.T) {
	route := Route{Destinations: []Destination{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c", Weight: 0}}}
	for point, want := range map[float64]string{0: "a", 0.89: "a", 0.91: "b", 0.999999: "b"} {
		if got, ok := route.Destination(point); !ok || string(got) != want {
			t.Errorf("%v goes to %q, want %q", point, got, want)
		}
	}
	if _, ok := (&Route{}).Destination(0); ok {
		t.Error("a route without services has a destination")
	}
}

// Symptom: a caller sees a withdrawn route again.
// Events: a peer or a slow answer of the store brings an older version.
// Cause: the newest message won, not the newest version.
func TestVersionsNeverFall(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := NewState()
		highest := uint64(0)
		for range rapid.IntRange(1, 20).Draw(t, "messages") {
			version := rapid.Uint64Range(1, 10).Draw(t, "version")
			state.SetConfiguration(configuration(version), boottime.Instant(rapid.Int64Range(1, 100).Draw(t, "at")))
			highest = max(highest, version)
			if got := state.View().Version(); got != highest {
				t.Fatalf("version %d in force, want %d", got, highest)
			}
		}
	})
}

// A confirmation of another version says nothing about the one in force.
func TestConfirmationNeedsTheVersion(t *testing.T) {
	state := NewState()
	state.SetConfiguration(configuration(2), 10)
	state.ConfirmConfiguration(1, 50)
	if got := state.View().Configured; got != 10 {
		t.Errorf("confirmed at %v by another version", got)
	}
	state.ConfirmConfiguration(2, 50)
	state.ConfirmConfiguration(2, 30)
	if got := state.View().Configured; got != 50 {
		t.Errorf("confirmed at %v, want 50", got)
	}
}

func ids(view *View) map[string]bool {
	listed := make(map[string]bool)
	for id := range view.Backends {
		listed[id] = true
	}
	return listed
}

func TestRemovedBackendGoesAtOnce(t *testing.T) {
	state := NewState()
	now := boottime.Now()
	state.SetBackends([]Backend{{ID: "a"}, {ID: "b"}}, 5, now)
	state.SetBackends([]Backend{{ID: "a"}}, 6, now.Add(time.Second))
	if listed := ids(state.View()); listed["b"] || !listed["a"] {
		t.Errorf("listed: %v", listed)
	}
}

// Symptom: requests are refused for two seconds after an outage of the store.
// Events: entries lapse during the outage; the first list after it lacks them,
// though their backend servers live and come back.
// Cause: the first list was taken for the whole truth.
func TestBackendsThatLapsedInAnOutageAreKeptForAWhile(t *testing.T) {
	state := NewState()
	now := boottime.Now()
	state.SetBackends([]Backend{{ID: "a"}, {ID: "b"}}, 5, now.Add(-10*time.Second))
	state.SetBackends([]Backend{{ID: "a"}}, 6, now)
	view := state.View()
	if _, absent := view.Absent["b"]; !absent || !ids(view)["b"] {
		t.Fatalf("b is gone at once: %v", ids(view))
	}
	state.SetBackends([]Backend{{ID: "a"}, {ID: "b"}}, 7, now)
	if view := state.View(); len(view.Absent) != 0 || !ids(view)["b"] {
		t.Errorf("b came back, absent: %v", view.Absent)
	}
}

func TestBackendsThatDoNotComeBackGo(t *testing.T) {
	state := NewState()
	now := boottime.Now()
	state.SetBackends([]Backend{{ID: "b"}}, 5, now.Add(-10*time.Second))
	state.SetBackends(nil, 6, now)
	state.update(func(view *View) bool {
		view.Absent["b"] = now.Add(-lapseGrace)
		return false
	})
	state.SetBackends(nil, 7, now)
	if listed := ids(state.View()); listed["b"] {
		t.Error("b is still listed")
	}
}

func TestOlderListIsIgnored(t *testing.T) {
	state := NewState()
	now := boottime.Now()
	state.SetBackends([]Backend{{ID: "a", Leaving: true}}, 6, now)
	state.SetBackends([]Backend{{ID: "a"}}, 5, now)
	state.SetBackend(Backend{ID: "a"}, 6)
	if !state.View().Backends["a"].Leaving {
		t.Error("a backend server that leaves came back by an older list")
	}
}

// Symptom: a backend server that crashed is taken for alive, or one that is
// back for leaving.
// Events: news of two incarnations under one id come in any order, by changes
// and by lists, some of which don't tell when it started.
// Cause: the newest message won, not the newest incarnation.
func TestIncarnationsNeverFall(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := NewState()
		state.SetBackends(nil, 1, boottime.Now())
		newest := int64(0)
		for revision := range uint64(rapid.IntRange(1, 20).Draw(t, "news")) {
			born := rapid.Int64Range(0, 4).Draw(t, "born")
			told := Backend{ID: "a", Born: born, Slots: int(born)}
			if rapid.Bool().Draw(t, "list") {
				state.SetBackends([]Backend{told}, revision+2, boottime.Now())
			} else {
				state.SetBackend(told, revision+2)
			}
			newest = max(newest, born)
			got := state.View().Backends["a"]
			if got.Born != newest || got.Incarnation != incarnation("a", newest) {
				t.Fatalf("%+v is in force, want start %d", got, newest)
			}
		}
	})
}
