package policy

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/selection"
)

const (
	replayRouters = 20
	replayServers = 3
	replaySlots   = 6
	replayDelay   = 200 // milliseconds until other routers know of a request
	replayTarget  = 300 * time.Millisecond
)

// replayJob is a request at a server.
type replayJob struct {
	router, server int
	failed         bool
	sent           *SentPlainRequest
	endsAt         int // milliseconds, 0 while it waits
}

// replayCaller is a caller that has been trying since the given time.
type replayCaller struct {
	idempotent bool
	since      int
}

// replay simulates routers in front of a few plain servers in steps of a millisecond.
type replay struct {
	load      float64 // offered load as a multiple of the servers' capacity
	admission bool
	work      func(server, now int) int // milliseconds that one request takes
	failing   int                       // server that fails requests immediately, -1 for none
	patience  int                       // milliseconds for which refused callers retry

	rng       *rand.Rand
	ownCounts [replayDelay + 1][replayRouters][replayServers]int // by time
	loads     [replayRouters][replayServers]PlainLoad
	times     [replayRouters][replayServers]ServiceTime
	latency   [replayRouters][replayServers]float64 // seconds, used without admission control
	jobs      [replayServers][]*replayJob
	callers   map[int][]replayCaller // retrying callers, by time of the retry
	requested map[bool]int           // by whether it is idempotent
	refused   map[bool]int
	answered  [replayServers]int
	late      [replayServers]int
	errors    int
	worst     time.Duration
}

func (r *replay) run(length time.Duration) *replay {
	r.rng = rand.New(rand.NewPCG(1, 2))
	r.requested, r.refused = map[bool]int{}, map[bool]int{}
	r.callers = map[int][]replayCaller{}
	for now := 1; now <= int(length.Milliseconds()); now++ {
		r.ownCounts[now%len(r.ownCounts)] = r.ownCounts[(now-1)%len(r.ownCounts)]
		for server := range replayServers {
			r.serve(server, now)
		}
		for router := range replayRouters {
			capacity := float64(replayServers*replaySlots) / 60
			if r.rng.Float64() < r.load*capacity/replayRouters {
				caller := replayCaller{idempotent: r.rng.IntN(2) == 0, since: now}
				r.requested[caller.idempotent]++
				r.arrive(router, caller, now)
			}
		}
		for _, caller := range r.callers[now] {
			r.arrive(r.rng.IntN(replayRouters), caller, now)
		}
		delete(r.callers, now)
	}
	return r
}

func instant(milliseconds int) boottime.Instant {
	return boottime.Instant(time.Duration(milliseconds) * time.Millisecond)
}

func (r *replay) serve(server, now int) {
	remaining := r.jobs[server][:0]
	for position, job := range r.jobs[server] {
		if job.endsAt == 0 && position < replaySlots { // in the order of arrival
			job.endsAt = now + r.work(server, now)
		}
		if job.endsAt == 0 || now < job.endsAt {
			remaining = append(remaining, job)
			continue
		}
		r.ownCounts[now%len(r.ownCounts)][job.router][server]--
		times := &r.times[job.router][server]
		times.End(job.sent)
		if job.failed {
			continue
		}
		elapsed := instant(now).Sub(job.sent.At)
		times.Observe(job.sent, elapsed)
		latency := &r.latency[job.router][server]
		*latency += (elapsed.Seconds() - *latency) * 0.1
		r.answered[server]++
		if elapsed > replayTarget {
			r.late[server]++
		}
		r.worst = max(r.worst, elapsed)
	}
	r.jobs[server] = remaining
}

// arrive places a request as a router does.
func (r *replay) arrive(router int, caller replayCaller, now int) {
	current, delayed := &r.ownCounts[now%len(r.ownCounts)], &r.ownCounts[(now+1)%len(r.ownCounts)]
	jitter, offset := r.rng.Float64(), r.rng.IntN(replayServers)
	servers := make([]PlainServer, replayServers)
	reported := make([]int, replayServers)
	plain := make([]selection.Server, replayServers)
	for server := range servers {
		others := -delayed[router][server]
		for other := range replayRouters {
			others += delayed[other][server]
		}
		own := current[router][server]
		reported[server] = own + others
		expected := r.loads[router][server].Estimate(PlainCounts{own, others, replaySlots, replayRouters}, jitter, instant(now))
		near, times := router%replayServers == server, &r.times[router][server]
		servers[server] = PlainServer{expected, replaySlots, near, times.At(instant(now), 0), 1}
		plain[server] = selection.Server{Running: own + others, Slots: replaySlots, SameZone: near, Latency: r.latency[router][server]}
	}
	request := PlainRequest{Target: replayTarget, Remaining: 3 * time.Second, Idempotent: caller.idempotent, Jitter: jitter, Offset: offset}
	choice := settings.ChoosePlain(request, servers)
	if !r.admission {
		choice = PlainChoice{Server: selection.ChooseServer(plain, offset), Fits: true}
	}
	if !choice.Fits {
		again := now + int(choice.RetryAfter.Milliseconds())
		if again > caller.since+r.patience {
			r.refused[caller.idempotent]++
			return
		}
		r.callers[again] = append(r.callers[again], caller)
		return
	}
	r.send(router, choice.Server, reported[choice.Server], now)
}

func (r *replay) send(router, server, running, now int) {
	job := &replayJob{router: router, server: server}
	job.sent = &SentPlainRequest{At: instant(now), Rounds: PlainRounds(running, replaySlots)}
	times := &r.times[router][server]
	if server == r.failing && now > 5000 {
		r.errors++
		job.failed = true
		job.endsAt = now + 1 + int(times.RemainingTime(job.sent, instant(now)).Milliseconds())
	} else {
		times.Begin(job.sent)
	}
	r.ownCounts[now%len(r.ownCounts)][router][server]++
	r.jobs[server] = append(r.jobs[server], job)
}

func constantWork(int, int) int { return 60 }

// ratio returns some divided by total, 0 if both are 0.
func ratio(some, total int) float64 { return float64(some) / float64(max(total, 1)) }

func sumServers(counts [replayServers]int) int { return counts[0] + counts[1] + counts[2] }

// Guards against late answers of an overloaded plain service: three servers get twice
// what they can process, routers learn of each other's requests 0.2 s late, and without
// admission control every request is sent, however many wait.
func TestAnswersOfOverloadedPlainServersAreInTime(t *testing.T) {
	for _, load := range []float64{0.7, 1, 2, 3} {
		without := (&replay{load: load, work: constantWork, failing: -1}).run(20 * time.Second)
		with := (&replay{load: load, work: constantWork, failing: -1, admission: true}).run(20 * time.Second)
		late := ratio(sumServers(with.late), sumServers(with.answered))
		idempotent, others := ratio(with.refused[true], with.requested[true]), ratio(with.refused[false], with.requested[false])
		used := float64(sumServers(with.answered)) / (20 * 300)
		t.Logf("load %.1f: late %.3f without admission, %.3f with it; refused idempotent requests %.3f, others %.3f; capacity used %.3f; longest %v",
			load, ratio(sumServers(without.late), sumServers(without.answered)), late, idempotent, others, used, with.worst)
		if late > 0.08 || used < min(load, 1)*0.85 {
			t.Errorf("load %v: %.3f late, %.3f of the capacity used", load, late, used)
		}
		if load < 1 && idempotent+others > 0.02 {
			t.Errorf("load %v: %.3f of the idempotent requests and %.3f of the others were refused", load, idempotent, others)
		}
		if load > 1 && (others+0.1 > idempotent || ratio(sumServers(without.late), sumServers(without.answered)) < 0.8) {
			t.Errorf("load %v: refused idempotent requests %.3f, others %.3f", load, idempotent, others)
		}
	}
}

// Guards against late answers when refused callers retry ten times and more: with a new
// random decision at each attempt, all of them would be admitted in the end.
func TestRetryingCallersDoNotOverloadPlainServers(t *testing.T) {
	for _, load := range []float64{1.2, 2, 3} {
		with := (&replay{load: load, work: constantWork, failing: -1, admission: true, patience: 3000}).run(20 * time.Second)
		late := ratio(sumServers(with.late), sumServers(with.answered))
		idempotent, others := ratio(with.refused[true], with.requested[true]), ratio(with.refused[false], with.requested[false])
		t.Logf("load %.1f: late %.3f; abandoned idempotent requests %.3f, others %.3f; longest %v", load, late, idempotent, others, with.worst)
		if late > 0.15 || others+0.1 > idempotent {
			t.Errorf("load %v: %.3f late; abandoned idempotent requests %.3f, others %.3f", load, late, idempotent, others)
		}
	}
}

// Guards against waits of several seconds when one of three servers becomes ten times
// slower. If its service time were learned from answers alone, which come rarely then,
// and nothing were refused, requests would first pile up there, then at all servers.
func TestSlowPlainServerIsNotOverloaded(t *testing.T) {
	slow := func(server, now int) int {
		if server == 0 && now > 5000 {
			return 600
		}
		return 60
	}
	for _, load := range []float64{0.6, 1.5} {
		without := (&replay{load: load, work: slow, failing: -1}).run(20 * time.Second)
		with := (&replay{load: load, work: slow, failing: -1, admission: true}).run(20 * time.Second)
		others := ratio(with.late[1]+with.late[2], with.answered[1]+with.answered[2])
		t.Logf("load %.1f: answered %v, late %v, late at the others %.3f, longest %v; without admission answered %v, late %v, longest %v",
			load, with.answered, with.late, others, with.worst, without.answered, without.late, without.worst)
		if others > 0.02 || with.worst > 3*time.Second {
			t.Errorf("load %v: %.3f late at the other servers, longest %v", load, others, with.worst)
		}
	}
}

// Guards against a server that fails requests immediately attracting most of them: if a
// failed request no longer counted as running there, the server would always seem to have
// free slots.
func TestFastFailingPlainServerAttractsNoRequests(t *testing.T) {
	for _, load := range []float64{0.6, 2} {
		with := (&replay{load: load, work: constantWork, failing: 0, admission: true}).run(20 * time.Second)
		errors := ratio(with.errors, 15*100)
		t.Logf("load %.1f: %d errors, %.3f of the server's capacity; answered %v, late %v", load, with.errors, errors, with.answered, with.late)
		if errors > 1.2 {
			t.Errorf("load %v: the failing server got %.3f of its capacity", load, errors)
		}
	}
}
