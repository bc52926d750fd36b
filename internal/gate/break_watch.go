package gate

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
)

const (
	// breakSilence is how long a backend server must show no sign of life after a broken
	// connection before it counts as down.
	breakSilence = 1500 * time.Millisecond
	// breakDoubt is that time where requests have been reported as running there. A router
	// sees only a part of the answers, and what others report of a crashed server is more
	// than a second old only when those routers have stopped.
	breakDoubt = 2500 * time.Millisecond
	// breakRecent is the last part of both times, in which reports count. In the first
	// part they may be older than the crash.
	breakRecent = 500 * time.Millisecond
	// breakRanLeast is how much of breakRecent requests must be reported as running for
	// the server to count as alive. A request that is just being refused a connection
	// shows in one report, which holds for a round of beats, 100 ms.
	breakRanLeast = 150 * time.Millisecond
	// breakStepMost bounds the time between two calls of judge that counts as watched. A
	// router that was suspended has seen no sign of life, whatever the server did.
	breakStepMost = 200 * time.Millisecond
	// breakMargin is the time after which data on a connection older than the break shows
	// that its server lives, counted anew after each suspension of the router. Data
	// received before a crash may be read later.
	breakMargin = 250 * time.Millisecond
	// pendingMost bounds the breaks without a verdict. A crash of a backend server adds
	// all requests that it ran.
	pendingMost = 4096
)

// breakVerdict tells what a broken connection was found to mean. Its values are those of
// the metric's label.
type breakVerdict string

const (
	breakServerWentOn breakVerdict = "server_went_on"
	breakServerDown   breakVerdict = "server_down"
)

// pendingBreak is a connection that broke while a request ran, before the verdict.
type pendingBreak struct {
	print   uint64           // fingerprint of the request
	at      boottime.Instant // when it was noticed
	watched time.Duration    // since then, suspensions excluded
	steady  time.Duration    // part of it since the last suspension
	ran     time.Duration    // part of breakRecent in which requests were reported there
	doubted bool             // whether breakDoubt applies
	refused bool             // whether the server refused a connection afterwards
}

// judgedBreaks are breaks at one backend server that got their verdict together.
type judgedBreaks struct {
	incarnation string
	verdict     breakVerdict
	prints      []uint64
}

// breakWatch decides which broken connections are crashes of backend servers. A break
// gets its verdict when its server shows that it lives, or when it has shown no sign of
// life for some time. Moments and what else it rests on are parameters. Its methods may
// be called concurrently.
type breakWatch struct {
	mu      sync.Mutex
	servers map[string][]pendingBreak // by incarnation
	prints  map[uint64]int            // how many of them are of a request, by fingerprint
	last    boottime.Instant          // last call of judge
	count   atomic.Int64              // breaks in servers
}

func newBreakWatch() *breakWatch {
	return &breakWatch{servers: make(map[string][]pendingBreak), prints: make(map[uint64]int)}
}

// broke notes that a connection broke while the request ran that was sent at the moment.
// Copies of a request that break together are one piece of evidence. It does nothing when
// too many breaks are pending.
func (w *breakWatch) broke(incarnation string, print uint64, sent, now boottime.Instant) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.count.Load() >= pendingMost {
		return
	}
	for _, known := range w.servers[incarnation] {
		if known.print == print && sent <= known.at {
			return
		}
	}
	w.servers[incarnation] = append(w.servers[incarnation], pendingBreak{print: print, at: now})
	w.prints[print]++
	w.count.Add(1)
}

// alive notes data of the server's that were read now, on the connection of a request
// that was sent at the moment. It returns the breaks that were no crashes. Most calls find
// no break pending and take no lock.
func (w *breakWatch) alive(incarnation string, sent, now boottime.Instant) judgedBreaks {
	if w.count.Load() == 0 {
		return judgedBreaks{}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	old := now.Sub(w.last) > breakStepMost // the data may have waited for the router
	return w.settle(incarnation, breakServerWentOn, func(b *pendingBreak) bool {
		if sent > b.at {
			// After a refused connection the answer is that of the server's successor.
			return !b.refused
		}
		return !old && b.steady >= breakMargin
	})
}

// refused notes that the server refused a connection for a request that was placed at the
// moment: nothing listens there.
func (w *breakWatch) refused(incarnation string, placed boottime.Instant) {
	w.mu.Lock()
	defer w.mu.Unlock()
	breaks := w.servers[incarnation]
	for i := range breaks {
		if placed > breaks[i].at {
			breaks[i].refused = true
		}
	}
}

// due tells whether judge is to be called.
func (w *breakWatch) due(now boottime.Instant) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return now.Sub(w.last) >= judgeInterval/2
}

// incarnations returns those with pending breaks.
func (w *breakWatch) incarnations() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return lo.Keys(w.servers)
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
func (w *breakWatch) judge(now boottime.Instant, report func(incarnation string) serverReport) []judgedBreaks {
	w.mu.Lock()
	defer w.mu.Unlock()
	step := now.Sub(w.last)
	w.last = now
	var judged []judgedBreaks
	for incarnation, breaks := range w.servers {
		reported := report(incarnation)
		for i := range breaks {
			breaks[i].watch(step, now, reported == reportRunning)
		}
		for _, verdict := range []breakVerdict{breakServerDown, breakServerWentOn} {
			some := w.settle(incarnation, verdict, func(b *pendingBreak) bool { return b.verdict(reported) == verdict })
			if len(some.prints) > 0 {
				judged = append(judged, some)
			}
		}
	}
	return judged
}

// watch counts the time since the last look, or since the break if that was later.
func (b *pendingBreak) watch(step time.Duration, now boottime.Instant, running bool) {
	step = max(min(step, now.Sub(b.at)), 0)
	suspended := step > breakStepMost
	step = min(step, breakStepMost)
	b.watched += step
	b.steady += step
	if suspended {
		b.steady = 0
	}
	if running {
		// Only the part of the step that lies in breakRecent counts.
		limit := b.limit()
		b.ran += max(min(b.watched, limit)-max(b.watched-step, limit-breakRecent), 0)
	}
	if !b.doubted && b.ran > 0 && b.watched >= breakSilence {
		b.doubted, b.ran = true, 0
	}
}

// limit returns how long the server may show no sign of life.
func (b *pendingBreak) limit() time.Duration {
	if b.doubted {
		return breakDoubt
	}
	return breakSilence
}

// verdict returns what the break means by now, "" while that is open.
func (b *pendingBreak) verdict(reported serverReport) breakVerdict {
	switch {
	case b.watched < breakSilence:
		return ""
	case b.refused || reported == reportUnlisted:
		return breakServerDown
	case b.watched < b.limit():
		return ""
	case b.ran >= breakRanLeast:
		return breakServerWentOn
	}
	return breakServerDown
}

// settle removes the breaks at a server to which the verdict applies and returns them.
func (w *breakWatch) settle(incarnation string, verdict breakVerdict, applies func(b *pendingBreak) bool) judgedBreaks {
	judged := judgedBreaks{incarnation: incarnation, verdict: verdict}
	breaks := w.servers[incarnation]
	if len(breaks) == 0 {
		return judged
	}
	kept := breaks[:0]
	for _, b := range breaks {
		if applies(&b) {
			judged.prints = append(judged.prints, b.print)
			w.forget(b.print)
			continue
		}
		kept = append(kept, b)
	}
	w.servers[incarnation] = kept
	if len(kept) == 0 {
		delete(w.servers, incarnation)
	}
	w.count.Add(-int64(len(judged.prints)))
	return judged
}

// forget counts a break of the request out.
func (w *breakWatch) forget(print uint64) {
	w.prints[print]--
	if w.prints[print] == 0 {
		delete(w.prints, print)
	}
}

// pending returns how many breaks of the request have no verdict yet.
func (w *breakWatch) pending(print uint64) int {
	if w.count.Load() == 0 {
		return 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.prints[print]
}
