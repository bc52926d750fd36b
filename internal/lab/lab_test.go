package lab

import (
	"testing"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/emulator"
	"github.com/bluebellchute/bluebellchute/internal/inifile"
	"github.com/bluebellchute/bluebellchute/internal/policy"
)

const simulatedTime = 8 * time.Second

// overloadedDeployment returns a fleet in which the largest account requests
// several times the stated capacity, beside small accounts. The engines can
// serve more than the stated capacity.
func overloadedDeployment() Deployment {
	engine := emulator.DefaultConfig()
	engine.PrefillTokensPerMS = 90
	return Deployment{
		Routers: 3, Engines: 6, Engine: engine, StatedCapacity: 150_000, RequestsPerSecond: 220,
		Kinds: []Kind{
			{Share: 0.4, SharedTokens: 2000, SharedPrompts: 40, MeanOwnTokens: 1500, OutputTokens: 50, TargetLatency: 500 * time.Millisecond, TargetGap: 300 * time.Millisecond, Timeout: 5 * time.Second},
			{Share: 0.6, SharedTokens: 300, SharedPrompts: 40, MeanOwnTokens: 400, OutputTokens: 100, TargetLatency: time.Second, TargetGap: 300 * time.Millisecond, Timeout: 9 * time.Second},
		},
		AccountWeights: []float64{10, 2, 0.5, 0.5, 0.5},
	}
}

// Guards against refusals while engines are idle: an account requests several
// times its share, the engines can serve more than the stated capacity, and
// nothing beyond the shares is sent.
func TestIdleEnginesServeWhatIsBeyondTheShares(t *testing.T) {
	with := policy.Defaults()
	without := with
	without.IdleSlots = 0
	all, shares := Run(overloadedDeployment(), with, 1, simulatedTime), Run(overloadedDeployment(), without, 1, simulatedTime)
	t.Logf("with the idle tier %+v, without %+v", all, shares)
	if float64(all.InTime) < 1.2*float64(shares.InTime) {
		t.Errorf("%d in time with the idle tier, %d without", all.InTime, shares.InTime)
	}
	if all.Worst < shares.Worst-0.1 {
		t.Errorf("the worst account gets %.2f of its fair share, %.2f without", all.Worst, shares.Worst)
	}
}

// Guards against idle engines while accounts that were served little are
// refused. Under overload with long and short prompts, the long ones don't fit
// within the idle tier's narrow bounds, so these bounds must be wider for
// accounts that were served little than for those that were served most.
func TestAccountsThatHadLittleFindRoom(t *testing.T) {
	wide := policy.Defaults()
	narrow := wide
	narrow.IdleWide, narrow.IdleWideSlots, narrow.IdleMost = narrow.IdleShare, narrow.IdleSlots, 1
	inTime, before := 0, 0
	for seed := range uint64(6) {
		after, narrowly := Run(overloadedDeployment(), wide, seed, simulatedTime), Run(overloadedDeployment(), narrow, seed, simulatedTime)
		t.Logf("wide %+v, narrow %+v", after, narrowly)
		inTime, before = inTime+after.InTime, before+narrowly.InTime
		if after.Worst < narrowly.Worst-0.1 {
			t.Errorf("the worst account gets %.2f of its fair share, %.2f with narrow bounds", after.Worst, narrowly.Worst)
		}
	}
	if float64(inTime) < 1.05*float64(before) {
		t.Errorf("%d in time, %d with narrow bounds", inTime, before)
	}
}

// Guards against late answers throughout when engines serve only two fifths of
// the stated capacity and the router admits as much as before.
func TestAdmissionAdaptsToSlowEngines(t *testing.T) {
	slow := overloadedDeployment()
	slow.Engine.PrefillTokensPerMS, slow.Engine.Step = 20, 8*time.Millisecond
	slow.StatedCapacity, slow.RequestsPerSecond = 400_000, 300
	with := policy.Defaults()
	without := with
	without.LeastHeadroom, without.ObservedCapacity = 1, false
	adapted, stated := Run(slow, with, 1, simulatedTime), Run(slow, without, 1, simulatedTime)
	t.Logf("adapted %+v, as stated %+v", adapted, stated)
	if float64(adapted.InTime) < 1.15*float64(stated.InTime) {
		t.Errorf("%d in time, %d by the stated capacity", adapted.InTime, stated.InTime)
	}
	if adapted.Worst < stated.Worst-0.05 {
		t.Errorf("the worst account gets %.2f of its fair share, %.2f by the stated capacity", adapted.Worst, stated.Worst)
	}
}

// Runs with the same seed must be equal, so that a comparison of policies shows
// nothing but the policies.
func TestRunsAreDeterministic(t *testing.T) {
	a, b := Run(RandomDeployment(5), policy.Defaults(), 1, simulatedTime/2), Run(RandomDeployment(5), policy.Defaults(), 1, simulatedTime/2)
	if a.InTime != b.InTime || a.Worst != b.Worst {
		t.Errorf("%+v and %+v", a, b)
	}
}

// Every caller must be answered in time, answered late or refused.
func TestEveryCallerHasOneOutcome(t *testing.T) {
	for seed := range uint64(10) {
		r := Run(RandomDeployment(seed), policy.Defaults(), seed, 3*time.Second)
		if r.InTime+r.Late+r.Refused != r.Requested {
			t.Errorf("deployment %d: %+v", seed, r)
		}
	}
}

// policy.Defaults, which tests use, must match the settings of a router whose
// file sets nothing.
func TestDefaultsMatchTheINIDefaults(t *testing.T) {
	var config Config
	if err := inifile.Parse("test", []byte("[policy.plain]\n"), &config); err != nil {
		t.Fatal(err)
	}
	if got := config.Policies[0].Policy(); got != policy.Defaults() {
		t.Errorf("file %+v, defaults %+v", got, policy.Defaults())
	}
}
