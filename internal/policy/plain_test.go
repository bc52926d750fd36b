package policy

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func drawPlain(t *rapid.T) (PlainRequest, []PlainServer) {
	duration := func(name string, most time.Duration) time.Duration {
		return time.Duration(rapid.Int64Range(0, int64(most)).Draw(t, name))
	}
	request := PlainRequest{
		Target:     duration("target", time.Second),
		Remaining:  duration("left", 5*time.Second),
		Idempotent: rapid.Bool().Draw(t, "idempotent"),
		Rank:       rapid.IntRange(0, 9).Draw(t, "rank"),
		Jitter:     rapid.Float64Range(0, 0.999).Draw(t, "draw"),
		Offset:     rapid.IntRange(0, 100).Draw(t, "offset"),
	}
	servers := make([]PlainServer, rapid.IntRange(1, 6).Draw(t, "servers"))
	for i := range servers {
		servers[i] = PlainServer{
			Running:     rapid.IntRange(0, 200).Draw(t, "running"),
			Slots:       rapid.IntRange(0, 64).Draw(t, "slots"),
			SameZone:    rapid.Bool().Draw(t, "near"),
			ServiceTime: duration("service", 2*time.Second),
			Slowdown:    rapid.Float64Range(0.01, 100).Draw(t, "pace"),
		}
	}
	return request, servers
}

// Guards against refusals while a slot is free, waits beyond the budget or the
// caller's deadline, and times to come back that are too short or endless.
func TestPlainChoiceKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		request, servers := drawPlain(t)
		choice := settings.ChoosePlain(request, servers)
		chosen := servers[choice.Server]
		if choice.Wait != chosen.Wait() {
			t.Fatalf("wait %v, at the server %v", choice.Wait, chosen.Wait())
		}
		for _, server := range servers {
			if server.HasFreeSlot() && !choice.Fits {
				t.Fatalf("%+v refused while %+v is free", choice, server)
			}
		}
		if choice.Fits {
			hopeless := choice.Wait+chosen.work() > request.Remaining
			if choice.RetryAfter != 0 || !chosen.HasFreeSlot() && (hopeless || choice.Wait > choice.Budget) {
				t.Fatalf("%+v to %+v", choice, chosen)
			}
			return
		}
		least, most := leastRetry, max(request.Remaining, leastRetry)
		if choice.RetryAfter < least || choice.RetryAfter > most+share(most, plainJitter) {
			t.Fatalf("retry after %v, %v are left", choice.RetryAfter, request.Remaining)
		}
	})
}

// Guards against a less urgent request, or one that can safely be repeated, taking
// the place of another.
func TestPlainBudgetsFollowUrgency(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		request, servers := drawPlain(t)
		request.Idempotent, request.Target = false, request.Target+1
		budget := settings.ChoosePlain(request, servers).Budget
		less, read := request, request
		less.Rank++
		read.Idempotent = true
		if got := settings.ChoosePlain(less, servers).Budget; got > budget {
			t.Fatalf("budget %v at rank %d, %v at the next", budget, request.Rank, got)
		}
		if got := settings.ChoosePlain(read, servers).Budget; got > budget/2+1 {
			t.Fatalf("budget %v, of a read %v", budget, got)
		}
	})
}

// Guards against callers that were refused together coming back together.
func TestPlainRetriesAreSpread(t *testing.T) {
	request := PlainRequest{Target: 300 * time.Millisecond, Remaining: 3 * time.Second}
	servers := []PlainServer{{Running: 60, Slots: 6, ServiceTime: 60 * time.Millisecond, Slowdown: 1}}
	first := settings.ChoosePlain(request, servers).RetryAfter
	request.Jitter = 0.999
	if last := settings.ChoosePlain(request, servers).RetryAfter; last < first+first/5 {
		t.Errorf("retry after %v to %v", first, last)
	}
}

// Guards against a read going to another zone while its own is as good, and against
// staying there when it is much worse.
func TestPlainPrefersItsZoneAmongEqualServers(t *testing.T) {
	request := PlainRequest{Target: 300 * time.Millisecond, Remaining: 3 * time.Second}
	servers := []PlainServer{
		{Running: 6, Slots: 6, ServiceTime: 60 * time.Millisecond, Slowdown: 1},
		{Running: 8, Slots: 6, ServiceTime: 60 * time.Millisecond, Slowdown: 1, SameZone: true},
	}
	for request.Offset = range 2 {
		if got := settings.ChoosePlain(request, servers).Server; got != 1 {
			t.Errorf("server %d while its own zone's is as good", got)
		}
	}
	servers[1].Running = 20
	if got := settings.ChoosePlain(request, servers).Server; got != 0 {
		t.Errorf("server %d, which is crowded", got)
	}
}

// Guards against a server counting as fast as it was while it reports that its work
// takes longer.
func TestReportedPaceLengthensTheWait(t *testing.T) {
	server := PlainServer{Running: 8, Slots: 6, ServiceTime: 60 * time.Millisecond, Slowdown: 1}
	usual := server.Wait()
	server.Slowdown = 2.5
	if got := server.Wait(); got != share(usual, 2.5) {
		t.Errorf("wait %v, at the usual pace %v", got, usual)
	}
}
