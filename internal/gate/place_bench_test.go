package gate

import (
	"fmt"
	"testing"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
	"github.com/bluebellchute/bluebellchute/internal/policy"
	"github.com/bluebellchute/bluebellchute/internal/shares"
)

// sizes are those of small and large fleets: backend servers, routers, accounts.
var sizes = []struct{ backends, routers, accounts int }{{10, 5, 16}, {45, 24, 16}, {630, 350, 1700}}

// benchAdmission returns an admission that knows a fleet of the size with the load
// at each backend server, and a request of one of its accounts.
func benchAdmission(backends, routers, accounts int, load BackendLoad) (*admission, *knowledge.View, *Request) {
	configuration := &knowledge.Configuration{
		Version:  1,
		Routes:   []knowledge.Route{{PathPrefix: "/", TargetLatency: time.Second, Destinations: []knowledge.Destination{{Service: "s", Weight: 1}}}},
		Services: []knowledge.ServiceSettings{{Name: "s", KVCapacity: 300_000, Fetches: true}},
		Limits:   knowledge.Limits{TokensPerSecond: 50_000 * float64(backends)},
	}
	for i := range accounts {
		configuration.Accounts = append(configuration.Accounts, knowledge.Account{Name: fleet.Account(fmt.Sprint("account", i))})
	}
	state := knowledge.NewState()
	state.SetConfiguration(configuration, boottime.Now())
	listed := make([]knowledge.Backend, backends)
	for i := range listed {
		listed[i] = knowledge.Backend{ID: fmt.Sprint("i-", i), Service: "s", Address: fleet.Address(fmt.Sprint("10.0.0.1:", i+1)), Slots: 64, Zone: "z"}
	}
	state.SetBackends(listed, knowledge.Position{Revision: 1}, boottime.Now())
	settings := newCurrentSettings(Settings{Admission: policy.Defaults()})
	a := newAdmission(settings, "z", fleetOf(routers))
	for router := range routers - 1 {
		uses := make(map[fleet.Account]shares.Use)
		for i := range min(accounts, 40) {
			uses[fleet.Account(fmt.Sprint("account", (router*7+i)%accounts))] = shares.Use{Asked: 5000, Got: 3000}
		}
		a.ledger.SetOther(fmt.Sprint("10.0.1.", router), uses, boottime.Now())
	}
	view := state.View()
	for _, backend := range view.Backends {
		a.loads.begin(backend.Incarnation, load)
	}
	request := &Request{
		Route:   &view.Index.Configuration.Routes[0],
		Account: &view.Index.Configuration.Accounts[0],
		Service: "s",
		Prompt:  Prompt{Tokens: 3000, MaxOutput: 200, Parts: []PromptPart{{"a", 800}, {"b", 410}, {"c", 1790}}},
	}
	return a, view, request
}

// Microseconds a decision at 10, 45 and 630 backend servers: 5.2, 10.9 and 195 when
// each request listed all engines and added up all routers; 2.0, 2.6 and 10.4 since
// it looks at two candidates and at sums that are added up every 50 ms. With all
// engines full, when up to eight are looked at: 2.2, 2.5 and 5.9 (refusing is less
// work than placing).
func BenchmarkPlaceModel(b *testing.B) {
	for _, size := range sizes {
		for name, load := range map[string]BackendLoad{"room": {Running: 3, Pending: 400}, "full": {Running: 64, Pending: 400}} {
			b.Run(fmt.Sprintf("%d-%s", size.backends, name), func(b *testing.B) {
				a, view, request := benchAdmission(size.backends, size.routers, size.accounts, load)
				b.ReportAllocs()
				for b.Loop() {
					a.asked(request)
					placed, refusal := a.place(request, view, nil)
					if refusal == nil {
						a.ended(request, placed, false)
					}
				}
			})
		}
	}
}

// fleetOf is a fleet of so many routers.
func fleetOf(count int) Peers { return routers(count) }
