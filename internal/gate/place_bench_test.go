package gate

import (
	"fmt"
	"testing"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
	"github.com/bluebellchute/bluebellchute/internal/pace"
	"github.com/bluebellchute/bluebellchute/internal/policy"
	"github.com/bluebellchute/bluebellchute/internal/shares"
)

// sizes are those of small and large fleets.
var sizes = []struct{ backends, routers, accounts int }{{10, 5, 16}, {45, 24, 16}, {630, 350, 1700}}

// benchAdmission returns the admission of a router in a fleet of this size, with the given
// load at each backend server, and a request of one of its accounts. All backend servers
// are in the router's availability zone.
func benchAdmission(backends, routers, accounts int, load BackendLoad) (*admission, *knowledge.View, *Request) {
	return benchAdmissionInZones(backends, routers, accounts, load, []fleet.Zone{"z"})
}

// benchAdmissionInZones is like benchAdmission, with backend servers in several
// availability zones, of which the first one is the router's own.
func benchAdmissionInZones(backends, routers, accounts int, load BackendLoad, zones []fleet.Zone) (*admission, *knowledge.View, *Request) {
	configuration := &knowledge.Configuration{
		Version:  1,
		Routes:   []knowledge.Route{{PathPrefix: "/", TargetLatency: time.Second, TargetGap: 300 * time.Millisecond, Destinations: []knowledge.Destination{{Service: "s", Weight: 1}}}},
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
		listed[i] = knowledge.Backend{ID: fmt.Sprint("i-", i), Service: "s", Address: fleet.Address(fmt.Sprint("10.0.0.1:", i+1)), Slots: 64, Zone: zones[i%len(zones)]}
	}
	state.SetBackends(listed, knowledge.Position{Revision: 1}, boottime.Now())
	settings := newCurrentSettings(Settings{Admission: policy.Defaults()})
	a := newAdmission(settings, zones[0], fleetOf(routers))
	for router := range routers - 1 {
		usages := make(map[fleet.Account]shares.Usage)
		for i := range min(accounts, 40) {
			usages[fleet.Account(fmt.Sprint("account", (router*7+i)%accounts))] = shares.Usage{Requested: 5000, Granted: 3000}
		}
		a.ledger.SetOther(fmt.Sprint("10.0.1.", router), usages, boottime.Now())
	}
	view := state.View()
	for _, backend := range view.Backends {
		a.loads.begin(backend.Incarnation, load)
	}
	request := &Request{
		Route:   &view.Index.Configuration.Routes[0],
		Account: &view.Index.Configuration.Accounts[0],
		Service: "s",
		Prompt:  Prompt{Tokens: 3000, MaxOutput: 200, Segments: []PromptSegment{{"a", 800}, {"b", 410}, {"c", 1790}}},
	}
	return a, view, request
}

// BenchmarkPlaceModel measures a decision in fleets of several sizes, with room at all
// engines and with all of them full. The cost must not grow with the number of routers, and
// hardly with the number of engines: a decision considers few candidates and uses sums that
// are kept up to date.
func BenchmarkPlaceModel(b *testing.B) {
	for _, size := range sizes {
		for name, load := range map[string]BackendLoad{"room": {Running: 3, Pending: 400}, "full": {Running: 64, Pending: 400}} {
			b.Run(fmt.Sprintf("%d-%s", size.backends, name), func(b *testing.B) {
				a, view, request := benchAdmission(size.backends, size.routers, size.accounts, load)
				b.ReportAllocs()
				for b.Loop() {
					a.recordRequest(request)
					placed, refusal := a.place(request, view, nil)
					if refusal == nil {
						a.release(request, placed, false)
					}
				}
			})
		}
	}
}

// BenchmarkPlaceModelByPace is like BenchmarkPlaceModel with the settings of section
// [engines] switched on, where all engines report a work time. In the case "shunned", one
// engine is ejected, so that the list of usable engines is built for each request.
func BenchmarkPlaceModelByPace(b *testing.B) {
	for _, size := range sizes {
		for name, load := range map[string]BackendLoad{"room": {Running: 3, Pending: 400}, "full": {Running: 64, Pending: 400}, "shunned": {Running: 3, Pending: 400}} {
			b.Run(fmt.Sprintf("%d-%s", size.backends, name), func(b *testing.B) {
				a, view, request := benchAdmissionInZones(size.backends, size.routers, size.accounts, load, []fleet.Zone{"z", "y", "x"})
				reportWorkTimes(a, view)
				if name == "shunned" {
					a.loads.ejected[view.Backends["i-1"].Incarnation] = boottime.Now().Add(time.Hour)
				}
				b.ReportAllocs()
				for b.Loop() {
					a.recordRequest(request)
					placed, refusal := a.place(request, view, nil)
					if refusal == nil {
						a.release(request, placed, false)
					}
				}
			})
		}
	}
}

// reportWorkTimes switches the settings of section [engines] on and makes each backend
// server report a work time; a quarter of them report that of fast machines.
func reportWorkTimes(a *admission, view *knowledge.View) {
	settings := *a.settings.get()
	settings.Engines = EngineSettings{Pace: true, OwnZoneFirst: true}
	settings.Admission.GapShare = 0.7
	a.settings.set(settings)
	a.paces.setBackends(view.Backends)
	for i, backend := range view.Serving["s"] {
		workTime := 1.2
		if i%4 == 0 {
			workTime = 0.55
		}
		a.paces.recordReport(backend, Reply{Load: pace.Report{Slots: backend.Slots, WorkTime: workTime}}, boottime.Now())
	}
}

// fleetOf returns a fleet with this number of routers.
func fleetOf(count int) Peers { return routers(count) }
