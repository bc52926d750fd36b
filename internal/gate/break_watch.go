package gate

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
)

const (
	// silenceTimeout is how long a backend server must show no sign of life after a broken
	// connection before it counts as down.
	silenceTimeout = 1500 * time.Millisecond
	// reportedSilenceTimeout is that time where requests have been reported as running there. A router
	// sees only a part of the answers, and what others report of a crashed server is more
	// than a second old only when those routers have stopped.
	reportedSilenceTimeout = 2500 * time.Millisecond
	// reportWindow is the last part of both times, in which reports count. In the first
	// part they may be older than the crash.
	reportWindow = 500 * time.Millisecond
	// minReportedRunning is how much of breakRecent requests must be reported as running for
	// the server to count as alive. A request that is just being refused a connection
	// shows in one report, which holds for a round of beats, 100 ms.
	minReportedRunning = 150 * time.Millisecond
	// maxJudgeGap bounds the time between two calls of judge that counts as watched. A
	// router that was suspended has seen no sign of life, whatever the server did.
	maxJudgeGap = 200 * time.Millisecond
	// oldConnectionMargin is the time after which data on a connection older than the break shows
	// that its server lives, counted anew after each suspension of the router. Data
	// received before a crash may be read later.
	oldConnectionMargin = 250 * time.Millisecond
	// maxPendingResets bounds the breaks without a verdict. A crash of a backend server adds
	// all requests that it ran.
	maxPendingResets = 4096
)

// resetVerdict tells what a broken connection was found to mean. Its values are those of
// the metric's label.
type resetVerdict string

const (
	resetServerWentOn resetVerdict = "server_went_on"
	resetServerDown   resetVerdict = "server_down"
)

// pendingReset is a connection that broke while a request ran, before the verdict.
type pendingReset struct {
	fingerprint     uint64           // fingerprint of the request
	noticedAt       boottime.Instant // when it was noticed
	watched         time.Duration    // since then, suspensions excluded
	sinceSuspension time.Duration    // part of it since the last suspension
	reportedRunning time.Duration    // part of breakRecent in which requests were reported there
	extended        bool             // whether breakDoubt applies
	refused         bool             // whether the server refused a connection afterwards
}

// judgedResets are breaks at one backend server that got their verdict together.
type judgedResets struct {
	incarnation  string
	verdict      resetVerdict
	fingerprints []uint64
}

// crashDetector decides which broken connections are crashes of backend servers. A break
// gets its verdict when its server shows that it lives, or when it has shown no sign of
// life for some time. Moments and what else it rests on are parameters. Its methods may
// be called concurrently.
type crashDetector struct {
	mu           sync.Mutex
	byServer     map[string][]pendingReset // by incarnation
	byRequest    map[uint64]int            // how many of them are of a request, by fingerprint
	lastJudged   boottime.Instant          // last call of judge
	pendingCount atomic.Int64              // breaks in servers
}

func newCrashDetector() *crashDetector {
	return &crashDetector{byServer: make(map[string][]pendingReset), byRequest: make(map[uint64]int)}
}

// addReset notes that a connection broke while the request ran that was sent at the moment.
// Copies of a request that break together are one piece of evidence. It does nothing when
// too many breaks are pending.
func (w *crashDetector) addReset(incarnation string, print uint64, sent, now boottime.Instant) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.pendingCount.Load() >= maxPendingResets {
		return
	}
	for _, known := range w.byServer[incarnation] {
		if known.fingerprint == print && sent <= known.noticedAt {
			return
		}
	}
	w.byServer[incarnation] = append(w.byServer[incarnation], pendingReset{fingerprint: print, noticedAt: now})
	w.byRequest[print]++
	w.pendingCount.Add(1)
}

// dataReceived notes data of the server's that were read now, on the connection of a request
// that was sent at the moment. It returns the breaks that were no crashes. Most calls find
// no break pending and take no lock.
func (w *crashDetector) dataReceived(incarnation string, sent, now boottime.Instant) judgedResets {
	if w.pendingCount.Load() == 0 {
		return judgedResets{}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	old := now.Sub(w.lastJudged) > maxJudgeGap // the data may have waited for the router
	return w.resolve(incarnation, resetServerWentOn, func(b *pendingReset) bool {
		if sent > b.noticedAt {
			// After a refused connection the answer is that of the server's successor.
			return !b.refused
		}
		return !old && b.sinceSuspension >= oldConnectionMargin
	})
}

// connectionRefused notes that the server refused a connection for a request that was placed at the
// moment: nothing listens there.
func (w *crashDetector) connectionRefused(incarnation string, placed boottime.Instant) {
	w.mu.Lock()
	defer w.mu.Unlock()
	breaks := w.byServer[incarnation]
	for i := range breaks {
		if placed > breaks[i].noticedAt {
			breaks[i].refused = true
		}
	}
}

// due tells whether judge is to be called.
func (w *crashDetector) due(now boottime.Instant) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return now.Sub(w.lastJudged) >= judgeInterval/2
}

// incarnations returns those with pending breaks.
func (w *crashDetector) incarnations() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return lo.Keys(w.byServer)
}

// serverReport is what is known of an incarnation without its answers.
type serverReport int

const (
	reportIdle     serverReport = iota // no router reports requests there
	reportRunning                      // this router or another has requests there
	reportUnlisted                     // its entry is gone, or replaced by a later start
)

// judge returns the breaks that get their verdict now. Time counts as watched only while
// it is called at least once in breakStepMost.
func (w *crashDetector) judge(now boottime.Instant, report func(incarnation string) serverReport) []judgedResets {
	w.mu.Lock()
	defer w.mu.Unlock()
	step := now.Sub(w.lastJudged)
	w.lastJudged = now
	var judged []judgedResets
	for incarnation, breaks := range w.byServer {
		reported := report(incarnation)
		for i := range breaks {
			breaks[i].advance(step, now, reported == reportRunning)
		}
		for _, verdict := range []resetVerdict{resetServerDown, resetServerWentOn} {
			some := w.resolve(incarnation, verdict, func(b *pendingReset) bool { return b.verdict(reported) == verdict })
			if len(some.fingerprints) > 0 {
				judged = append(judged, some)
			}
		}
	}
	return judged
}

// advance counts the time since the last look, or since the break if that was later.
func (b *pendingReset) advance(step time.Duration, now boottime.Instant, running bool) {
	step = max(min(step, now.Sub(b.noticedAt)), 0)
	suspended := step > maxJudgeGap
	step = min(step, maxJudgeGap)
	b.watched += step
	b.sinceSuspension += step
	if suspended {
		b.sinceSuspension = 0
	}
	if running {
		// Only the part of the step that lies in breakRecent counts.
		limit := b.silenceLimit()
		b.reportedRunning += max(min(b.watched, limit)-max(b.watched-step, limit-reportWindow), 0)
	}
	if !b.extended && b.reportedRunning > 0 && b.watched >= silenceTimeout {
		b.extended, b.reportedRunning = true, 0
	}
}

// silenceLimit returns how long the server may show no sign of life.
func (b *pendingReset) silenceLimit() time.Duration {
	if b.extended {
		return reportedSilenceTimeout
	}
	return silenceTimeout
}

// verdict returns what the break means by now, "" while that is open.
func (b *pendingReset) verdict(reported serverReport) resetVerdict {
	switch {
	case b.watched < silenceTimeout:
		return ""
	case b.refused || reported == reportUnlisted:
		return resetServerDown
	case b.watched < b.silenceLimit():
		return ""
	case b.reportedRunning >= minReportedRunning:
		return resetServerWentOn
	}
	return resetServerDown
}

// resolve removes the breaks at a server to which the verdict applies and returns them.
func (w *crashDetector) resolve(incarnation string, verdict resetVerdict, applies func(b *pendingReset) bool) judgedResets {
	judged := judgedResets{incarnation: incarnation, verdict: verdict}
	breaks := w.byServer[incarnation]
	if len(breaks) == 0 {
		return judged
	}
	kept := breaks[:0]
	for _, b := range breaks {
		if applies(&b) {
			judged.fingerprints = append(judged.fingerprints, b.fingerprint)
			w.forget(b.fingerprint)
			continue
		}
		kept = append(kept, b)
	}
	w.byServer[incarnation] = kept
	if len(kept) == 0 {
		delete(w.byServer, incarnation)
	}
	w.pendingCount.Add(-int64(len(judged.fingerprints)))
	return judged
}

// forget counts a break of the request out.
func (w *crashDetector) forget(print uint64) {
	w.byRequest[print]--
	if w.byRequest[print] == 0 {
		delete(w.byRequest, print)
	}
}

// pendingFor returns how many breaks of the request have no verdict yet.
func (w *crashDetector) pendingFor(print uint64) int {
	if w.pendingCount.Load() == 0 {
		return 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.byRequest[print]
}
