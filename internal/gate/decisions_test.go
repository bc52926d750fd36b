package gate

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
	"github.com/bluebellchute/bluebellchute/internal/pace"
)

// routers is a fleet with this number of routers.
type routers int

func (routers) Load(uint32) BackendLoad                            { return BackendLoad{} }
func (routers) Paces(boottime.Instant) map[uint32]pace.Observation { return nil }
func (routers) StoreContact() boottime.Instant                     { return boottime.Now() }
func (routers) WatchesStore() bool                                 { return true }
func (r routers) Routers() int                                     { return int(r) }
func (routers) Unheard(boottime.Instant) int                       { return 0 }
func (r routers) Order(uint64) (int, int)                          { return 0, int(r) }
func (routers) Settled() bool                                      { return true }

func knownView(configured boottime.Instant) *knowledge.View {
	state := knowledge.NewState()
	state.SetConfiguration(&knowledge.Configuration{
		Version:      1,
		KeysRequired: true,
		Routes: []knowledge.Route{
			{Host: "h", PathPrefix: "/a/", Timeout: time.Second, Destinations: []knowledge.Destination{{Service: "s", Weight: 1}}},
			{Host: "h", PathPrefix: "/p/", Public: true, Destinations: []knowledge.Destination{{Service: "s", Weight: 1}}},
		},
		Accounts: []knowledge.Account{{Name: "kitchen", Keys: []string{"key", ""}}},
	}, configured)
	state.SetBackends(nil, knowledge.Position{Revision: 1}, boottime.Now())
	return state.View()
}

// Guards against accepting a withdrawn key, or denying a new route permanently, when the
// configuration changes while the router is cut off from the store.
func TestStaleConfigurationDeniesNothingAndAcceptsNoKey(t *testing.T) {
	fresh := Freshness{KeyMaxAge: 4 * time.Second, DenialMaxAge: 1800 * time.Millisecond}
	for _, test := range []struct {
		age       time.Duration
		path, key string
		status    int // 0 for none
	}{
		{0, "/a/x", "key", 0},
		{3 * time.Second, "/a/x", "key", 0},
		{5 * time.Second, "/a/x", "key", 503},
		{5 * time.Second, "/p/x", "", 0},
		{0, "/none/x", "key", 404},
		{2 * time.Second, "/none/x", "key", 503},
		{0, "/a/x", "other", 401},
		{2 * time.Second, "/a/x", "other", 503},
		{0, "/a/x", "", 401},
	} {
		t.Run(fmt.Sprintf("%v %s %s", test.age, test.path, test.key), func(t *testing.T) {
			request := &Request{Host: "h", Path: test.path, Key: test.key}
			refusal := identify(request, knownView(boottime.Now().Add(-test.age)), fresh, 0)
			status := 0
			if refusal != nil {
				status = refusal.Status
			}
			if status != test.status {
				t.Errorf("status %d, want %d", status, test.status)
			}
		})
	}
}

func TestNoStateReceived(t *testing.T) {
	refusal := identify(&Request{Host: "h", Path: "/a/x"}, knowledge.NewState().View(), Freshness{}, 0)
	if refusal == nil || refusal.Status != http.StatusServiceUnavailable || refusal.RetryAfter == 0 {
		t.Errorf("%+v, want 503 with a retry delay", refusal)
	}
}

// Guards against more retries than agreed when all backend servers of a service fail and
// each router uses the budget of the whole fleet.
func TestBudgetIsSharedByTheRouters(t *testing.T) {
	settings := newCurrentSettings(Settings{Budget: RetryBudgetSettings{Ratio: 0.2, Extra: 50, Window: 10 * time.Second}})
	const fleetSize = 5
	total := 0
	for range fleetSize {
		budget := newRetryBudget(settings, routers(fleetSize))
		for range 100 {
			budget.credit("s")
			for budget.spend("s") {
				total++
			}
		}
	}
	if most := 50 + 0.2*100*fleetSize; float64(total) > most {
		t.Errorf("%d retries, at most %v are agreed", total, most)
	}
	if total == 0 {
		t.Error("no retries at all")
	}
}

func TestEngineRateIsLearned(t *testing.T) {
	loads := newLoads()
	const assumed, real = 20_000.0, 57_000.0
	tokens := 5000.0
	for range 300 {
		loads.begin("i", BackendLoad{Running: 1, Pending: tokens})
		loads.removePending("i", tokens)
		loads.recordReading("s", tokens, time.Duration(tokens/real*float64(time.Second)))
	}
	if got := loads.rate("s", assumed); got < 0.85*real || got > real {
		t.Errorf("%v prompt tokens per second, want %v", got, real)
	}
	if got := loads.rate("other", assumed); got != assumed {
		t.Errorf("%v without an observation, want %v", got, assumed)
	}
}

// Guards against sending requests to a backend server that answers with errors while its
// health check passes.
func TestFailingBackendIsEjectedForATime(t *testing.T) {
	loads := newLoads()
	now := boottime.Now()
	for range 10 {
		loads.recordAnswer("i", false, 0)
	}
	if !loads.ejectedAt(now)["i"] {
		t.Error("not ejected")
	}
	if loads.ejectedAt(now.Add(2 * ejectionTime))["i"] {
		t.Error("never tried again")
	}
	for i := range 50 {
		loads.recordAnswer("j", i%7 != 0, time.Millisecond)
	}
	if loads.ejectedAt(now)["j"] {
		t.Error("a seventh of failures is usual for some services")
	}
}

func TestLoadsReturnToZero(t *testing.T) {
	loads := newLoads()
	load := BackendLoad{Running: 1, Pending: 10, Memory: 20}
	loads.begin("i", load)
	loads.removePending("i", 10)
	loads.recordReading("s", 10, time.Millisecond)
	load.Pending = 0
	loads.end("i", load)
	if got, _ := loads.get("i"); got != (BackendLoad{}) {
		t.Errorf("%+v is left", got)
	}
	loads.prune(map[string]*knowledge.Backend{})
	if got := len(loads.snapshot()); got != 0 {
		t.Errorf("%d are reported to others", got)
	}
}

func TestPromptSegments(t *testing.T) {
	prompt := Prompt{Tokens: 1460, MaxOutput: 80, ExpectedOutput: 50, Segments: []PromptSegment{{"a", 800}, {"b", 410}, {"c", 250}}}
	if got := prompt.SharedSegment(); got != "b" {
		t.Errorf("shared segment %q", got)
	}
	if got := prompt.SharedTokens(); got != 1210 {
		t.Errorf("%d shared tokens", got)
	}
	if got := prompt.Cost(); got != 1560 {
		t.Errorf("cost %v", got)
	}
	if got := (Prompt{Tokens: 5, Segments: []PromptSegment{{"a", 5}}}).SharedSegment(); got != "a" {
		t.Errorf("shared segment %q of one", got)
	}
	if (Prompt{}).SharedSegment() != "" || (Prompt{}).SharedTokens() != 0 {
		t.Error("an empty prompt has shared segments")
	}
}

var _ Peers = routers(0)

// unheardRouters are peers of which as many have not been heard.
type unheardRouters struct{ routers }

func (r unheardRouters) Unheard(boottime.Instant) int { return int(r.routers) }

// Guards against routers that have just started and each let an account have its whole share.
func TestUnheardRoutersCountAgainstTheShare(t *testing.T) {
	const others = 9
	a, view, request := benchAdmission(10, 1, 2, BackendLoad{})
	a.peers = unheardRouters{others}
	granted := 0.0
	for range 2000 {
		a.recordRequest(request)
		if !a.withinShare(request, view) {
			continue
		}
		if _, refusal := a.place(request, view, nil); refusal == nil {
			granted += request.Prompt.Cost()
		}
	}
	// The sums cover two seconds.
	part := 2 * view.Index.Configuration.Limits.TokensPerSecond / (1 + others)
	if granted < 0.8*part || granted > 1.2*part {
		t.Errorf("%v granted, of a part of %v", granted, part)
	}
}
