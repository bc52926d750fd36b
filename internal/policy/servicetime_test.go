package policy

import (
	"testing"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
)

const work = 60 * time.Millisecond

// Guards against a router that starts beside busy servers taking unknown queueing there
// for work.
func TestFirstAnswersDoNotCountTheirWait(t *testing.T) {
	var times ServiceTime
	for _, rounds := range []int{5, 3, 1, 4, 6} {
		times.Observe(&SentPlainRequest{Rounds: 1}, time.Duration(rounds)*work)
	}
	if got := times.Learned(); got != work {
		t.Errorf("%v, want %v", got, work)
	}
}

// Guards against a known wait counting as work, and against a changed service time never
// being learned.
func TestServiceTimeFollowsAnswers(t *testing.T) {
	var times ServiceTime
	for range 20 {
		rounds := PlainRounds(17, 6)
		times.Observe(&SentPlainRequest{Rounds: rounds}, scale(work, rounds))
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

// Guards against a hanging server counting as fast until its first answer.
func TestOpenRequestsRaiseTheServiceTime(t *testing.T) {
	var times ServiceTime
	start := boottime.Instant(time.Hour)
	sent := &SentPlainRequest{At: start, Rounds: 2}
	times.Begin(sent)
	if got := times.At(start, work); got != work {
		t.Errorf("%v before the first answer, want the assumed time", got)
	}
	if got := times.At(start.Add(time.Second), work); got != time.Second/2 {
		t.Errorf("%v after a second for two rounds", got)
	}
	times.Observe(&SentPlainRequest{At: start.Add(time.Millisecond), Rounds: 1}, work)
	if got := times.At(start.Add(time.Second), 0); got != work {
		t.Errorf("%v although the server has answered later requests", got)
	}
	times = ServiceTime{}
	times.Begin(sent)
	times.End(sent)
	if got := times.At(start.Add(time.Second), work); got != work {
		t.Errorf("%v after the end", got)
	}
}

// Guards against a request that failed immediately leaving an apparently free slot.
func TestFailedRequestsCountUntilTheirAnswerWasDue(t *testing.T) {
	var times ServiceTime
	sent := &SentPlainRequest{At: boottime.Instant(time.Hour), Rounds: 2}
	if got := times.RemainingTime(sent, sent.At); got != 0 {
		t.Errorf("%v before the first answer", got)
	}
	times.Observe(sent, 2*work)
	if got := times.RemainingTime(sent, sent.At.Add(work/2)); got != 3*work/2 {
		t.Errorf("%v, want %v", got, 3*work/2)
	}
	if got := times.RemainingTime(sent, sent.At.Add(time.Second)); got != 0 {
		t.Errorf("%v after the expected answer", got)
	}
}

// Guards against a single router refusing by an estimate although it knows all requests.
func TestLoneRouterCountsExactly(t *testing.T) {
	var load PlainLoad
	now := boottime.Instant(time.Hour)
	for step := range 1000 {
		now = now.Add(10 * time.Millisecond)
		own := step % 20
		if got := load.Estimate(PlainCounts{Own: own, Slots: 6, Routers: 1}, 0.999, now); got != own {
			t.Fatalf("estimated %d, want %d", got, own)
		}
	}
}

// Guards against a router relying on reports that are 0.2 s old while others send: it has
// to scale up its own requests by its share.
func TestSaturatedServerIsEstimatedByOwnRequests(t *testing.T) {
	var load PlainLoad
	now := boottime.Instant(time.Hour)
	seen := PlainCounts{Own: 2, Others: 38, Slots: 6, Routers: 20}
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		load.Estimate(seen, 0, now)
	}
	seen.Own = 4
	if got := load.Estimate(seen, 0, now); got < 76 || got > 80 {
		t.Errorf("estimated %d, want about 80", got)
	}
}

// Guards against negative averages when a request is decided with an earlier time than
// the last one because it was suspended before it got the lock.
func TestEarlierTimeDoesNotChangeTheAverages(t *testing.T) {
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
			t.Errorf("estimated %d for a time %v earlier, want about 80", got, now.Sub(moment))
		}
	}
}

// Guards against refusals by a router that was suspended: answers that waited to be read
// meanwhile seem to have taken seconds.
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
		t.Errorf("learned %v, want about 60 ms", got)
	}
}
