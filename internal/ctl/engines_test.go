package ctl

import (
	"net/http"
	"strings"
	"testing"

	"github.com/bluebellchute/bluebellchute/internal/peering/peeringpb"
	"github.com/bluebellchute/bluebellchute/platform"
	"github.com/bluebellchute/bluebellchute/platform/standin"
)

// newEngineWorld has one router that knows three engines.
func newEngineWorld(t *testing.T) *routerWorld {
	w := newRouterWorld(t)
	w.router.engines = []*peeringpb.EnginePace{
		{Id: "i-1", Service: "lm", Zone: "z1", Usual: 0.55, Now: 1.38, TokensPerS: 61250.4, Late: 0.058, Age: 12e6, Running: 7},
		{Id: "i-2", Service: "lm", Zone: "z2", Usual: 1.2, Now: 1.2, TokensPerS: 27800, Late: 0.45, Age: 1500e6, Running: 13},
		{Id: "i-3", Service: "other", Usual: 1, Now: 1, Age: 4e6},
	}
	return w
}

// Guards against an order in which an engine that is slow for a moment comes before one
// that always is, and against rates and shares that are printed as 0 when unknown.
func TestEnginesAreListedSlowestFirst(t *testing.T) {
	w := newEngineWorld(t)
	w.want(ExitSuccess, "ENGINE  SERVICE  ZONE  USUAL  NOW   TOKENS/S  LATE  AGE   RUNNING\n"+
		"i-2     lm       z2    1.20   1.20  27800     45%   1.5s  13\n"+
		"i-3     other    -     1.00   1.00  -         0%    4ms   0\n"+
		"i-1     lm       z1    0.55   1.38  61250     6%    12ms  7\n", "engines")
	if out, _ := w.run("engines", "--service", "other"); strings.Contains(out, "i-1") || !strings.Contains(out, "i-3") {
		t.Errorf("engines of another service are listed: %s", out)
	}
	w.want(ExitSuccess, `[{"engine":"i-2","service":"lm","zone":"z2","usual":1.2,"now":1.2,"tokens_per_s":27800,"late":0.45,"age_ns":1500000000,"running":13},`,
		"engines", "--service", "lm", "--output", "json")
}

// Guards against an empty table that does not say whether the fleet reports nothing or
// the name of the service is wrong.
func TestNoEnginesAreExplained(t *testing.T) {
	w := newEngineWorld(t)
	w.want(ExitSuccess, "knows no work time of an engine of service ml; it knows 3 of other services", "engines", "--service", "ml")
	w.want(ExitSuccess, "[]\n", "engines", "--service", "ml", "--output", "json")
	w.router.engines = nil
	w.want(ExitSuccess, "router "+w.address+" knows no work time of any engine", "engines")
	w.want(ExitSuccess, "knows no work time of any engine", "engines", "--service", "ml")
	w.want(ExitSuccess, "[]\n", "engines", "--output", "json")
}

// Guards against a listed router that is gone, or an outage of the store, hiding what the
// other routers know.
func TestEnginesAreAskedOfARouterThatAnswers(t *testing.T) {
	w := newEngineWorld(t)
	w.store.Put(platform.KindRouters, "vm-0", map[string]any{"address": "127.0.0.1:1", "zone": "z1"})
	w.want(ExitSuccess, "i-2", "engines")
	w.want(ExitFailure, "asking router 127.0.0.1:1", "engines", "--router", "127.0.0.1:1")
	w.store.SetFaults(standin.Faults{Status: http.StatusServiceUnavailable})
	w.want(ExitFailure, "--router names them", "engines")
	w.want(ExitSuccess, "i-2", "engines", "--router", w.address)
}

func TestEnginesWithoutAnyRouter(t *testing.T) {
	w := newEngineWorld(t)
	w.store.Remove(platform.KindRouters, "vm-1")
	w.want(ExitFailure, "the store lists no routers", "engines")
}
