package policy

import (
	"testing"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
)

const work = 60 * time.Millisecond

// Guards against a router that starts beside busy servers taking the wait there,
// of which it has not heard, for work.
func TestFirstAnswersDoNotCountTheirWait(t *testing.T) {
	var times ServiceTime
	for _, rounds := range []int{5, 3, 1, 4, 6} {
		times.Observe(&SentPlainRequest{Rounds: 1}, time.Duration(rounds)*work)
	}
	if got := times.Learned(); got != work {
		t.Errorf("%v, want %v", got, work)
	}
}

// Guards against the known wait counting as work, and against a changed time never
// being learned.
func TestServiceTimeFollowsAnswers(t *testing.T) {
	var times ServiceTime
	for range 20 {
		rounds := PlainRounds(17, 6)
		times.Observe(&SentPlainRequest{Rounds: rounds}, share(work, rounds))
	}
	if got := times.Learned().Round(time.Millisecond); got != work {
		t.Errorf("%v, want %v", got, work)
	}
	for range 50 {
		times.Observe(&SentPlainRequest{Rounds: 1}, 3*work)
	}
	if got := times.Learned(); got < 2*work || got > 3*work {
		t.Errorf("%v after answers of %v", got, 3*work)
	}
}

// Guards against a server that hangs counting as fast until its first answer.
func TestOpenRequestsRaiseTheServiceTime(t *testing.T) {
	var times ServiceTime
	start := boottime.Instant(time.Hour)
	sent := &SentPlainRequest{At: start, Rounds: 2}
	times.Begin(sent)
	if got := times.At(start, work); got != work {
		t.Errorf("%v before anything is known, want what is assumed", got)
	}
	if got := times.At(start.Add(time.Second), work); got != time.Second/2 {
		t.Errorf("%v after a second for two rounds", got)
	}
	times.Observe(&SentPlainRequest{At: start.Add(time.Millisecond), Rounds: 1}, work)
	if got := times.At(start.Add(time.Second), 0); got != work {
		t.Errorf("%v, but the server went on with later requests", got)
	}
	times = ServiceTime{}
	times.Begin(sent)
	times.End(sent)
	if got := times.At(start.Add(time.Second), work); got != work {
		t.Errorf("%v after the end", got)
	}
}

// Guards against a request that failed at once leaving room that is not there.
func TestFailedRequestsCountUntilTheirAnswerWasDue(t *testing.T) {
	var times ServiceTime
	sent := &SentPlainRequest{At: boottime.Instant(time.Hour), Rounds: 2}
	if got := times.RemainingTime(sent, sent.At); got != 0 {
		t.Errorf("%v while nothing is known", got)
	}
	times.Observe(sent, 2*work)
	if got := times.RemainingTime(sent, sent.At.Add(work/2)); got != 3*work/2 {
		t.Errorf("%v, want %v", got, 3*work/2)
	}
	if got := times.RemainingTime(sent, sent.At.Add(time.Second)); got != 0 {
		t.Errorf("%v after it was due", got)
	}
}

// Guards against a lone router refusing by what it only estimates: it knows all
// requests.
func TestLoneRouterCountsExactly(t *testing.T) {
	var load PlainLoad
	now := boottime.Instant(time.Hour)
	for step := range 1000 {
		now = now.Add(10 * time.Millisecond)
		own := step % 20
		if got := load.Estimate(PlainCounts{Own: own, Slots: 6, Routers: 1}, 0.999, now); got != own {
			t.Fatalf("%d expected, there are %d", got, own)
		}
	}
}

// Guards against a router going by figures 0.2 s old while others send: it scales
// its own requests by its part.
func TestCrowdedServerIsJudgedByOwnRequests(t *testing.T) {
	var load PlainLoad
	now := boottime.Instant(time.Hour)
	seen := PlainCounts{Own: 2, Others: 38, Slots: 6, Routers: 20}
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		load.Estimate(seen, 0, now)
	}
	seen.Own = 4
	if got := load.Estimate(seen, 0, now); got < 76 || got > 80 {
		t.Errorf("%d expected, want about 80", got)
	}
}

// Guards against averages that become negative when a request is decided by a moment
// before that of the last one, as it was suspended before it got the lock.
func TestEarlierMomentLeavesTheAveragesAlone(t *testing.T) {
	var load PlainLoad
	now := boottime.Instant(time.Hour)
	seen := PlainCounts{Own: 2, Others: 38, Slots: 6, Routers: 20}
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		load.Estimate(seen, 0, now)
	}
	seen.Own = 4
	for _, moment := range []boottime.Instant{now.Add(-10 * time.Second), now} {
		if got := load.Estimate(seen, 0, moment); got < 76 || got > 80 {
			t.Errorf("%d expected %v before, want about 80", got, now.Sub(moment))
		}
	}
}

// Guards against a router that refuses what its servers have room for after it was
// suspended: answers that waited meanwhile seemed to have taken seconds.
func TestAnswersReadAfterASuspensionRaiseTheServiceTimeLittle(t *testing.T) {
	var learned ServiceTime
	now := boottime.Instant(time.Hour)
	for range 20 {
		learned.Observe(&SentPlainRequest{At: now, Rounds: 1}, 60*time.Millisecond)
	}
	for range 3 {
		learned.Observe(&SentPlainRequest{At: now, Rounds: 1}, 5*time.Second)
	}
	if got := learned.Learned(); got > 150*time.Millisecond {
		t.Errorf("%v learned, want some 60 ms", got)
	}
}
