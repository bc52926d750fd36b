package policy

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func drawPlain(t *rapid.T) (PlainRequest, []PlainServer) {
	duration := func(name string, maximum time.Duration) time.Duration {
		return time.Duration(rapid.Int64Range(0, int64(maximum)).Draw(t, name))
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

// Guards against refusals while a slot is free, waits beyond the budget or the caller's
// deadline, and retry delays that are too short or too long.
func TestPlainChoiceKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		request, servers := drawPlain(t)
		choice := settings.ChoosePlain(request, servers)
		chosen := servers[choice.Server]
		if choice.Wait != chosen.Wait() {
			t.Fatalf("choice.Wait = %v, but the server's wait is %v", choice.Wait, chosen.Wait())
		}
		for _, server := range servers {
			if server.HasFreeSlot() && !choice.Fits {
				t.Fatalf("%+v refused while %+v is free", choice, server)
			}
		}
		if choice.Fits {
			tooLate := choice.Wait+chosen.workTime() > request.Remaining
			if choice.RetryAfter != 0 || !chosen.HasFreeSlot() && (tooLate || choice.Wait > choice.Budget) {
				t.Fatalf("%+v for server %+v breaks a bound", choice, chosen)
			}
			return
		}
		shortest, longest := minRetryAfter, max(request.Remaining, minRetryAfter)
		if choice.RetryAfter < shortest || choice.RetryAfter > longest+scale(longest, plainMaxJitter) {
			t.Fatalf("retry after %v with %v remaining", choice.RetryAfter, request.Remaining)
		}
	})
}

// Guards against less urgent or idempotent requests displacing others.
func TestPlainBudgetsFollowUrgency(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		request, servers := drawPlain(t)
		request.Idempotent, request.Target = false, request.Target+1
		budget := settings.ChoosePlain(request, servers).Budget
		lessUrgent, idempotent := request, request
		lessUrgent.Rank++
		idempotent.Idempotent = true
		if got := settings.ChoosePlain(lessUrgent, servers).Budget; got > budget {
			t.Fatalf("budget %v at rank %d, %v at the next", budget, request.Rank, got)
		}
		if got := settings.ChoosePlain(idempotent, servers).Budget; got > budget/2+1 {
			t.Fatalf("budget %v, of an idempotent request %v", budget, got)
		}
	})
}

// Guards against callers that were refused together retrying together.
func TestPlainRetriesAreSpread(t *testing.T) {
	request := PlainRequest{Target: 300 * time.Millisecond, Remaining: 3 * time.Second}
	servers := []PlainServer{{Running: 60, Slots: 6, ServiceTime: 60 * time.Millisecond, Slowdown: 1}}
	first := settings.ChoosePlain(request, servers).RetryAfter
	request.Jitter = 0.999
	if last := settings.ChoosePlain(request, servers).RetryAfter; last < first+first/5 {
		t.Errorf("retry after %v to %v", first, last)
	}
}

// Guards against a request going to another zone while its own is as good, and against
// staying in its own zone when that is much worse.
func TestPlainPrefersItsZoneAmongEqualServers(t *testing.T) {
	request := PlainRequest{Target: 300 * time.Millisecond, Remaining: 3 * time.Second}
	servers := []PlainServer{
		{Running: 6, Slots: 6, ServiceTime: 60 * time.Millisecond, Slowdown: 1},
		{Running: 8, Slots: 6, ServiceTime: 60 * time.Millisecond, Slowdown: 1, SameZone: true},
	}
	for request.Offset = range 2 {
		if got := settings.ChoosePlain(request, servers).Server; got != 1 {
			t.Errorf("server %d while the one in its own zone is as good", got)
		}
	}
	servers[1].Running = 20
	if got := settings.ChoosePlain(request, servers).Server; got != 0 {
		t.Errorf("server %d, which is overloaded", got)
	}
}

// Guards against a wait estimated at the usual work time although the server reports that
// its work takes longer.
func TestReportedPaceLengthensTheWait(t *testing.T) {
	server := PlainServer{Running: 8, Slots: 6, ServiceTime: 60 * time.Millisecond, Slowdown: 1}
	usual := server.Wait()
	server.Slowdown = 2.5
	if got := server.Wait(); got != scale(usual, 2.5) {
		t.Errorf("wait %v, at the usual work time %v", got, usual)
	}
}
