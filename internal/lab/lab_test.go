package lab

import (
	"testing"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/emulator"
	"github.com/bluebellchute/bluebellchute/internal/inifile"
	"github.com/bluebellchute/bluebellchute/internal/policy"
)

const length = 8 * time.Second

// flooded is a fleet whose largest account asks for several times what the
// operator states, beside small ones, before engines that can do more.
func flooded() Deployment {
	engine := emulator.DefaultConfig()
	engine.PrefillTokensPerMS = 90
	return Deployment{
		Routers: 3, Engines: 6, Engine: engine, Stated: 150_000, PerSecond: 220,
		Kinds: []Kind{
			{Share: 0.4, Shared: 2000, Parts: 40, Own: 1500, Output: 50, Target: 500 * time.Millisecond, Gap: 300 * time.Millisecond, Timeout: 5 * time.Second},
			{Share: 0.6, Shared: 300, Parts: 40, Own: 400, Output: 100, Target: time.Second, Gap: 300 * time.Millisecond, Timeout: 9 * time.Second},
		},
		Accounts: []float64{10, 2, 0.5, 0.5, 0.5},
	}
}

// Symptom: callers are refused while engines stand idle.
// Events: an account asks for several times its share; the engines can do more
// than the operator states.
// Cause: nothing beyond the shares was sent.
func TestIdleEnginesServeWhatIsBeyondTheShares(t *testing.T) {
	with := policy.Defaults()
	without := with
	without.IdleSlots = 0
	all, shares := Run(flooded(), with, 1, length), Run(flooded(), without, 1, length)
	t.Logf("with the idle tier %+v, without %+v", all, shares)
	if float64(all.InTime) < 1.2*float64(shares.InTime) {
		t.Errorf("%d in time with the idle tier, %d without", all.InTime, shares.InTime)
	}
	if all.Worst < shares.Worst-0.1 {
		t.Errorf("the worst account gets %.2f of what it is owed, %.2f without", all.Worst, shares.Worst)
	}
}

// Symptom: engines stand idle while accounts that have had little are refused.
// Events: accounts ask for several times the stated capacity in long and short
// prompts; the long ones don't fit into the little that the idle tier may have ahead.
// Cause: the bounds of the idle tier were as narrow for accounts that had had little
// as for those that had had most.
func TestAccountsThatHadLittleFindRoom(t *testing.T) {
	wide := policy.Defaults()
	narrow := wide
	narrow.IdleWide, narrow.IdleWideSlots, narrow.IdleMost = narrow.IdleShare, narrow.IdleSlots, 1
	inTime, before := 0, 0
	for seed := range uint64(6) {
		after, narrowly := Run(flooded(), wide, seed, length), Run(flooded(), narrow, seed, length)
		t.Logf("wide %+v, narrow %+v", after, narrowly)
		inTime, before = inTime+after.InTime, before+narrowly.InTime
		if after.Worst < narrowly.Worst-0.1 {
			t.Errorf("the worst account gets %.2f of what it is owed, %.2f with narrow bounds", after.Worst, narrowly.Worst)
		}
	}
	if float64(inTime) < 1.05*float64(before) {
		t.Errorf("%d in time, %d with narrow bounds", inTime, before)
	}
}

// Symptom: nearly every answer is late.
// Events: engines do two fifths of what the operator states.
// Cause: as much was let in as ever.
func TestSlowEnginesServeWhatTheyCanInTime(t *testing.T) {
	slow := flooded()
	slow.Engine.PrefillTokensPerMS, slow.Engine.Step = 20, 8*time.Millisecond
	slow.Stated, slow.PerSecond = 400_000, 300
	with := policy.Defaults()
	without := with
	without.LeastHeadroom, without.ObservedCapacity = 1, false
	adapted, stated := Run(slow, with, 1, length), Run(slow, without, 1, length)
	t.Logf("adapted %+v, as stated %+v", adapted, stated)
	if float64(adapted.InTime) < 1.15*float64(stated.InTime) {
		t.Errorf("%d in time, %d by the stated capacity", adapted.InTime, stated.InTime)
	}
	if adapted.Worst < stated.Worst-0.05 {
		t.Errorf("the worst account gets %.2f of what it is owed, %.2f by the stated capacity", adapted.Worst, stated.Worst)
	}
}

// The same seed gives the same run, so that policies differ by themselves only.
func TestRunsRepeat(t *testing.T) {
	a, b := Run(Draw(5), policy.Defaults(), 1, length/2), Run(Draw(5), policy.Defaults(), 1, length/2)
	if a.InTime != b.InTime || a.Worst != b.Worst {
		t.Errorf("%+v and %+v", a, b)
	}
}

// Every caller ends in one way.
func TestNobodyIsLost(t *testing.T) {
	for seed := range uint64(10) {
		r := Run(Draw(seed), policy.Defaults(), seed, 3*time.Second)
		if r.InTime+r.Late+r.Refused != r.Asked {
			t.Errorf("deployment %d: %+v", seed, r)
		}
	}
}

// The settings that tests and the lab take for granted are those of a gate whose
// file says nothing.
func TestDefaultsAreThoseOfTheFile(t *testing.T) {
	var config Config
	if err := inifile.Parse("test", []byte("[policy.plain]\n"), &config); err != nil {
		t.Fatal(err)
	}
	if got := config.Policies[0].Policy(); got != policy.Defaults() {
		t.Errorf("file %+v, defaults %+v", got, policy.Defaults())
	}
}
