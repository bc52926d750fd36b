package gate

import (
	"testing"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
	"github.com/bluebellchute/bluebellchute/internal/policy"
)

// Guards against a busy router that refuses streams which callers take up before new requests,
// because their accounts have been charged for them already.
func TestBusyRouterTakesStreamsThatGoOnAsWithinTheShare(t *testing.T) {
	const capacity = 1000
	a := newAdmission(newCurrentSettings(Settings{Admission: policy.Defaults()}), "z", routers(1))
	state := knowledge.NewState()
	state.SetConfiguration(&knowledge.Configuration{Version: 1, Limits: knowledge.Limits{TokensPerSecond: capacity}}, boottime.Now())
	request := &Request{
		Account: &knowledge.Account{Name: "kitchen"},
		Route:   &knowledge.Route{Stream: true, Repeat: knowledge.RepeatResume},
		Prompt:  Prompt{Tokens: capacity},
	}
	for range 10 {
		a.recordRequest(request)
	}
	a.ledger.AddGranted("kitchen", 3*capacity, boottime.Now()) // a share and a half
	if a.withinShare(request, state.View()) {
		t.Fatal("a new request counts as within the share")
	}
	request.LastEventID, request.Resumes = "1", "a1"
	if !a.withinShare(request, state.View()) {
		t.Error("a stream that is taken up counts as beyond the share")
	}
	a.ledger.AddGranted("kitchen", 10*capacity, boottime.Now())
	if a.withinShare(request, state.View()) {
		t.Error("streams that are taken up count as within the share without a bound")
	}
}

// Guards against a caller that takes one stream up many times at the same time, and against a
// stream whose precedence is lost by requests that brought nothing.
func TestStreamHasPrecedenceAFewTimes(t *testing.T) {
	c := newContinuations()
	for range maxContinuations {
		if !c.acquire(7) {
			t.Fatal("no precedence")
		}
	}
	if c.acquire(7) {
		t.Error("precedence without a bound")
	}
	c.release(7)
	if !c.acquire(7) || !c.acquire(8) {
		t.Error("precedence is lost")
	}
}
