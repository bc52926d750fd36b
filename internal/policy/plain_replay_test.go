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
	ends           int // milliseconds, 0 while it waits
}

// replayCaller is a caller that has a request since a moment.
type replayCaller struct {
	read  bool
	since int
}

// replay plays routers before a few plain servers in steps of a millisecond.
type replay struct {
	load      float64 // of what the servers can do
	admission bool
	work      func(server, now int) int // milliseconds that one request takes
	failing   int                       // server that answers errors at once, -1 for none
	patience  int                       // milliseconds for which refused callers come back

	random  *rand.Rand
	own     [replayDelay + 1][replayRouters][replayServers]int // by time
	loads   [replayRouters][replayServers]PlainLoad
	times   [replayRouters][replayServers]ServiceTime
	latency [replayRouters][replayServers]float64 // seconds, as without admission
	jobs    [replayServers][]*replayJob
	callers map[int][]replayCaller // that come back, by when
	asked   map[bool]int           // by whether it is a read
	refused map[bool]int
	given   [replayServers]int
	late    [replayServers]int
	errors  int
	worst   time.Duration
}

func (r *replay) run(length time.Duration) *replay {
	r.random = rand.New(rand.NewPCG(1, 2))
	r.asked, r.refused = map[bool]int{}, map[bool]int{}
	r.callers = map[int][]replayCaller{}
	for now := 1; now <= int(length.Milliseconds()); now++ {
		r.own[now%len(r.own)] = r.own[(now-1)%len(r.own)]
		for server := range replayServers {
			r.serve(server, now)
		}
		for router := range replayRouters {
			capacity := float64(replayServers*replaySlots) / 60
			if r.random.Float64() < r.load*capacity/replayRouters {
				caller := replayCaller{read: r.random.IntN(2) == 0, since: now}
				r.asked[caller.read]++
				r.arrive(router, caller, now)
			}
		}
		for _, caller := range r.callers[now] {
			r.arrive(r.random.IntN(replayRouters), caller, now)
		}
		delete(r.callers, now)
	}
	return r
}

func instant(milliseconds int) boottime.Instant {
	return boottime.Instant(time.Duration(milliseconds) * time.Millisecond)
}

func (r *replay) serve(server, now int) {
	rest := r.jobs[server][:0]
	for place, job := range r.jobs[server] {
		if job.ends == 0 && place < replaySlots { // in the order of arrival
			job.ends = now + r.work(server, now)
		}
		if job.ends == 0 || now < job.ends {
			rest = append(rest, job)
			continue
		}
		r.own[now%len(r.own)][job.router][server]--
		times := &r.times[job.router][server]
		times.End(job.sent)
		if job.failed {
			continue
		}
		took := instant(now).Sub(job.sent.At)
		times.Observe(job.sent, took)
		latency := &r.latency[job.router][server]
		*latency += (took.Seconds() - *latency) * 0.1
		r.given[server]++
		if took > replayTarget {
			r.late[server]++
		}
		r.worst = max(r.worst, took)
	}
	r.jobs[server] = rest
}

// arrive places a request as a gate does.
func (r *replay) arrive(router int, caller replayCaller, now int) {
	current, heard := &r.own[now%len(r.own)], &r.own[(now+1)%len(r.own)]
	draw, offset := r.random.Float64(), r.random.IntN(replayServers)
	servers := make([]PlainServer, replayServers)
	heardAt := make([]int, replayServers)
	plain := make([]selection.Server, replayServers)
	for server := range servers {
		others := -heard[router][server]
		for other := range replayRouters {
			others += heard[other][server]
		}
		own := current[router][server]
		heardAt[server] = own + others
		expected := r.loads[router][server].Estimate(PlainCounts{own, others, replaySlots, replayRouters}, draw, instant(now))
		near, times := router%replayServers == server, &r.times[router][server]
		servers[server] = PlainServer{expected, replaySlots, near, times.At(instant(now), 0), 1}
		plain[server] = selection.Server{Running: own + others, Slots: replaySlots, SameZone: near, Latency: r.latency[router][server]}
	}
	request := PlainRequest{Target: replayTarget, Remaining: 3 * time.Second, Idempotent: caller.read, Jitter: draw, Offset: offset}
	choice := settings.ChoosePlain(request, servers)
	if !r.admission {
		choice = PlainChoice{Server: selection.ChooseServer(plain, offset), Fits: true}
	}
	if !choice.Fits {
		again := now + int(choice.RetryAfter.Milliseconds())
		if again > caller.since+r.patience {
			r.refused[caller.read]++
			return
		}
		r.callers[again] = append(r.callers[again], caller)
		return
	}
	r.send(router, choice.Server, heardAt[choice.Server], now)
}

func (r *replay) send(router, server, heard, now int) {
	job := &replayJob{router: router, server: server}
	job.sent = &SentPlainRequest{At: instant(now), Rounds: PlainRounds(heard, replaySlots)}
	times := &r.times[router][server]
	if server == r.failing && now > 5000 {
		r.errors++
		job.failed = true
		job.ends = now + 1 + int(times.RemainingTime(job.sent, instant(now)).Milliseconds())
	} else {
		times.Begin(job.sent)
	}
	r.own[now%len(r.own)][router][server]++
	r.jobs[server] = append(r.jobs[server], job)
}

func steady(int, int) int { return 60 }

// part returns a part of a whole, 0 of none.
func part(some, whole int) float64 { return float64(some) / float64(max(whole, 1)) }

func sum(counts [replayServers]int) int { return counts[0] + counts[1] + counts[2] }

// Symptom: every answer of a plain service is late.
// Events: callers ask three servers for twice what these can do; routers hear of
// each other's requests 0.2 s late.
// Cause: every request was sent, however many were waiting.
func TestAnswersOfCrowdedPlainServersAreInTime(t *testing.T) {
	for _, load := range []float64{0.7, 1, 2, 3} {
		without := (&replay{load: load, work: steady, failing: -1}).run(20 * time.Second)
		with := (&replay{load: load, work: steady, failing: -1, admission: true}).run(20 * time.Second)
		late := part(sum(with.late), sum(with.given))
		reads, commits := part(with.refused[true], with.asked[true]), part(with.refused[false], with.asked[false])
		used := float64(sum(with.given)) / (20 * 300)
		t.Logf("load %.1f: late %.3f without admission, %.3f with it; refused reads %.3f, others %.3f; capacity used %.3f; longest %v",
			load, part(sum(without.late), sum(without.given)), late, reads, commits, used, with.worst)
		if late > 0.08 || used < min(load, 1)*0.85 {
			t.Errorf("load %v: %.3f late, %.3f of the capacity used", load, late, used)
		}
		if load < 1 && reads+commits > 0.02 {
			t.Errorf("load %v: %.3f of the reads and %.3f of the others were refused", load, reads, commits)
		}
		if load > 1 && (commits+0.1 > reads || part(sum(without.late), sum(without.given)) < 0.8) {
			t.Errorf("load %v: refused reads %.3f, others %.3f", load, reads, commits)
		}
	}
}

// Symptom: answers are late under admission control.
// Events: refused callers come back, ten times and more each.
// Cause: each try drew anew whether there was room, until one was let in.
func TestCallersThatComeBackDoNotCrowdPlainServers(t *testing.T) {
	for _, load := range []float64{1.2, 2, 3} {
		with := (&replay{load: load, work: steady, failing: -1, admission: true, patience: 3000}).run(20 * time.Second)
		late := part(sum(with.late), sum(with.given))
		reads, commits := part(with.refused[true], with.asked[true]), part(with.refused[false], with.asked[false])
		t.Logf("load %.1f: late %.3f; given up reads %.3f, others %.3f; longest %v", load, late, reads, commits, with.worst)
		if late > 0.15 || commits+0.1 > reads {
			t.Errorf("load %v: %.3f late; given up reads %.3f, others %.3f", load, late, reads, commits)
		}
	}
}

// Symptom: requests wait for seconds at one of three servers, then at all.
// Events: one turns ten times slower.
// Cause: nothing was refused, and its service time was learned from answers alone,
// which came too seldom.
func TestSlowPlainServerGetsWhatItCanDo(t *testing.T) {
	slow := func(server, now int) int {
		if server == 0 && now > 5000 {
			return 600
		}
		return 60
	}
	for _, load := range []float64{0.6, 1.5} {
		without := (&replay{load: load, work: slow, failing: -1}).run(20 * time.Second)
		with := (&replay{load: load, work: slow, failing: -1, admission: true}).run(20 * time.Second)
		others := part(with.late[1]+with.late[2], with.given[1]+with.given[2])
		t.Logf("load %.1f: given %v, late %v, late at the others %.3f, longest %v; without admission given %v, late %v, longest %v",
			load, with.given, with.late, others, with.worst, without.given, without.late, without.worst)
		if others > 0.02 || with.worst > 3*time.Second {
			t.Errorf("load %v: %.3f late at the other servers, longest %v", load, others, with.worst)
		}
	}
}

// Symptom: one server gets most requests and fails them.
// Events: it answers errors at once, so that it always seems to have free slots.
// Cause: a failed request was no longer counted there.
func TestPlainServerThatFailsAtOnceDrawsNoRequests(t *testing.T) {
	for _, load := range []float64{0.6, 2} {
		with := (&replay{load: load, work: steady, failing: 0, admission: true}).run(20 * time.Second)
		errors := part(with.errors, 15*100)
		t.Logf("load %.1f: %d errors, %.3f of what the server could do; given %v, late %v", load, with.errors, errors, with.given, with.late)
		if errors > 1.2 {
			t.Errorf("load %v: the failing server got %.3f of what it could do", load, errors)
		}
	}
}
