package ctl

import (
	"net/http"
	"strings"
	"testing"

	"github.com/bluebellchute/bluebellchute/internal/peering/peeringpb"
	"github.com/bluebellchute/bluebellchute/platform"
	"github.com/bluebellchute/bluebellchute/platform/standin"
)

// newEngineEnv returns an environment with one router that knows three engines.
func newEngineEnv(t *testing.T) *routerEnv {
	e := newRouterEnv(t)
	e.router.engines = []*peeringpb.EnginePace{
		{Id: "i-1", Service: "lm", Zone: "z1", Usual: 0.55, Now: 1.38, TokensPerS: 61250.4, Late: 0.058, Age: 12e6, Running: 7},
		{Id: "i-2", Service: "lm", Zone: "z2", Usual: 1.2, Now: 1.2, TokensPerS: 27800, Late: 0.45, Age: 1500e6, Running: 13},
		{Id: "i-3", Service: "other", Usual: 1, Now: 1, Age: 4e6},
	}
	return e
}

// Guards against listing an engine that is briefly slow before one that is always slow,
// and against printing an unknown rate as 0.
func TestEnginesAreListedSlowestFirst(t *testing.T) {
	e := newEngineEnv(t)
	e.expect(ExitSuccess, "ENGINE  SERVICE  ZONE  USUAL  NOW   TOKENS/S  LATE  AGE   RUNNING\n"+
		"i-2     lm       z2    1.20   1.20  27800     45%   1.5s  13\n"+
		"i-3     other    -     1.00   1.00  -         0%    4ms   0\n"+
		"i-1     lm       z1    0.55   1.38  61250     6%    12ms  7\n", "engines")
	if out, _ := e.run("engines", "--service", "other"); strings.Contains(out, "i-1") || !strings.Contains(out, "i-3") {
		t.Errorf("engines of another service are listed: %s", out)
	}
	e.expect(ExitSuccess, `[{"engine":"i-2","service":"lm","zone":"z2","usual":1.2,"now":1.2,"tokens_per_s":27800,"late":0.45,"age_ns":1500000000,"running":13},`,
		"engines", "--service", "lm", "--output", "json")
}

// Guards against an empty table that doesn't show whether no engine reports work times or
// the service name is wrong.
func TestNoEnginesAreExplained(t *testing.T) {
	e := newEngineEnv(t)
	e.expect(ExitSuccess, "has no work time of an engine of service ml; it has 3 of other services", "engines", "--service", "ml")
	e.expect(ExitSuccess, "[]\n", "engines", "--service", "ml", "--output", "json")
	e.router.engines = nil
	e.expect(ExitSuccess, "router "+e.address+" has no work time of any engine", "engines")
	e.expect(ExitSuccess, "has no work time of any engine", "engines", "--service", "ml")
	e.expect(ExitSuccess, "[]\n", "engines", "--output", "json")
}

// Guards against a command that fails because a listed router no longer exists or the
// store is down, although other routers could reply.
func TestEnginesAreReadFromAnyReachableRouter(t *testing.T) {
	e := newEngineEnv(t)
	e.store.Put(platform.KindRouters, "vm-0", map[string]any{"address": "127.0.0.1:1", "zone": "z1"})
	e.expect(ExitSuccess, "i-2", "engines")
	e.expect(ExitFailure, "querying router 127.0.0.1:1", "engines", "--router", "127.0.0.1:1")
	e.store.SetFaults(standin.Faults{Status: http.StatusServiceUnavailable})
	e.expect(ExitFailure, "--router names them", "engines")
	e.expect(ExitSuccess, "i-2", "engines", "--router", e.address)
}

func TestEnginesWithoutRouters(t *testing.T) {
	e := newEngineEnv(t)
	e.store.Remove(platform.KindRouters, "vm-1")
	e.expect(ExitFailure, "the store lists no routers", "engines")
}
