package gate

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
)

const (
	// silenceTimeout is how long a backend server must show no sign of life after a
	// connection to it was reset before it counts as down.
	silenceTimeout = 1500 * time.Millisecond
	// reportedSilenceTimeout replaces silenceTimeout if routers report running requests at
	// the server: it may be answering other routers, whose answers this one does not see.
	// Reports from before a crash end by then. They are more than a second old only if the
	// routers that sent them have stopped.
	reportedSilenceTimeout = 2500 * time.Millisecond
	// reportWindow is the length of the final part of either timeout. Only reports in this
	// part count; earlier ones may be from before the crash.
	reportWindow = 500 * time.Millisecond
	// minReportedRunning is the time within reportWindow for which routers must report
	// running requests at the server for it to count as alive. It is longer than one
	// heartbeat interval (100 ms): a request also counts as running while its connection
	// is being refused, and then appears in one heartbeat.
	minReportedRunning = 150 * time.Millisecond
	// maxJudgeGap is the maximum time that one call of judge adds to the time for which a
	// server has shown no sign of life. A longer gap between calls means that the router
	// was suspended and would have missed any sign of life.
	maxJudgeGap = 200 * time.Millisecond
	// oldConnectionMargin is how long after a reset, or after a suspension of the router,
	// data on a connection from before the reset does not show that the server is alive:
	// the data may have arrived before a crash and been read only now.
	oldConnectionMargin = 250 * time.Millisecond
	// maxPendingResets bounds the resets without a verdict. A crash of a backend server
	// adds all requests that it was running.
	maxPendingResets = 4096
)

// resetVerdict says whether a backend server crashed when a connection to it was reset. Its
// values are those of the metric's label.
type resetVerdict string

const (
	resetServerWentOn resetVerdict = "server_went_on" // no crash: it was alive afterwards
	resetServerDown   resetVerdict = "server_down"    // it crashed
)

// pendingReset is a connection that was reset while a request was running, and has no
// verdict yet.
type pendingReset struct {
	fingerprint     uint64 // of the request
	noticedAt       boottime.Instant
	watched         time.Duration // time since noticedAt, suspensions excluded
	sinceSuspension time.Duration // part of watched since the last suspension
	reportedRunning time.Duration // part of reportWindow in which requests were reported there
	extended        bool          // whether reportedSilenceTimeout applies
	refused         bool          // whether the server refused a connection afterwards
}

// judgedResets are resets at one backend server that got the same verdict together.
type judgedResets struct {
	incarnation  string
	verdict      resetVerdict
	fingerprints []uint64
}

// crashDetector decides which reset connections are crashes of backend servers. A reset
// gets its verdict when its server shows that it is alive, or when it has shown no sign of
// life for some time. The current time and all other inputs are parameters. Its methods may
// be called concurrently.
type crashDetector struct {
	mu           sync.Mutex
	byServer     map[string][]pendingReset // by incarnation
	byRequest    map[uint64]int            // pending resets by fingerprint of the request
	lastJudged   boottime.Instant          // time of the last call of judge
	pendingCount atomic.Int64              // resets in byServer
}

func newCrashDetector() *crashDetector {
	return &crashDetector{byServer: make(map[string][]pendingReset), byRequest: make(map[uint64]int)}
}

// addReset records that a connection was reset while a request sent at the given time was
// running. Copies of a request whose connections are reset together count once. It does
// nothing when too many resets are pending.
func (d *crashDetector) addReset(incarnation string, fingerprint uint64, sentAt, now boottime.Instant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.pendingCount.Load() >= maxPendingResets {
		return
	}
	for _, pending := range d.byServer[incarnation] {
		if pending.fingerprint == fingerprint && sentAt <= pending.noticedAt {
			return
		}
	}
	d.byServer[incarnation] = append(d.byServer[incarnation], pendingReset{fingerprint: fingerprint, noticedAt: now})
	d.byRequest[fingerprint]++
	d.pendingCount.Add(1)
}

// dataReceived records that data from the server was read at now, on the connection of a
// request sent at the given time. It returns the resets that were not crashes. Most calls
// find no pending resets and take no lock.
func (d *crashDetector) dataReceived(incarnation string, sentAt, now boottime.Instant) judgedResets {
	if d.pendingCount.Load() == 0 {
		return judgedResets{}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	suspended := now.Sub(d.lastJudged) > maxJudgeGap // the data may have arrived before a suspension of the router
	return d.resolve(incarnation, resetServerWentOn, func(r *pendingReset) bool {
		if sentAt > r.noticedAt {
			// After a refused connection the answer comes from a restarted server.
			return !r.refused
		}
		return !suspended && r.sinceSuspension >= oldConnectionMargin
	})
}

// connectionRefused records that the server refused a connection for a request placed at
// the given time: nothing is listening there.
func (d *crashDetector) connectionRefused(incarnation string, placedAt boottime.Instant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	resets := d.byServer[incarnation]
	for i := range resets {
		if placedAt > resets[i].noticedAt {
			resets[i].refused = true
		}
	}
}

// due reports whether the last call of judge was at least half of judgeInterval ago.
func (d *crashDetector) due(now boottime.Instant) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return now.Sub(d.lastJudged) >= judgeInterval/2
}

// incarnations returns those with pending resets.
func (d *crashDetector) incarnations() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return lo.Keys(d.byServer)
}

// serverReport is what the list of backend servers and the routers' reports say about an
// incarnation.
type serverReport int

const (
	reportIdle     serverReport = iota // no router reports requests there
	reportRunning                      // this router or another has requests there
	reportUnlisted                     // it is no longer listed, or has restarted
)

// judge returns the resets that get their verdict now. It must be called at least once per
// maxJudgeGap; time beyond that does not count towards the timeouts.
func (d *crashDetector) judge(now boottime.Instant, report func(incarnation string) serverReport) []judgedResets {
	d.mu.Lock()
	defer d.mu.Unlock()
	step := now.Sub(d.lastJudged)
	d.lastJudged = now
	var judged []judgedResets
	for incarnation, resets := range d.byServer {
		reported := report(incarnation)
		for i := range resets {
			resets[i].advance(step, now, reported == reportRunning)
		}
		for _, verdict := range []resetVerdict{resetServerDown, resetServerWentOn} {
			resolved := d.resolve(incarnation, verdict, func(r *pendingReset) bool { return r.verdict(reported) == verdict })
			if len(resolved.fingerprints) > 0 {
				judged = append(judged, resolved)
			}
		}
	}
	return judged
}

// advance adds the time since the last call of judge, or since the reset if that was later,
// to the reset's durations. step is the time since the last call, and running says whether
// routers report running requests at the server.
func (r *pendingReset) advance(step time.Duration, now boottime.Instant, running bool) {
	step = max(min(step, now.Sub(r.noticedAt)), 0)
	suspended := step > maxJudgeGap
	step = min(step, maxJudgeGap)
	r.watched += step
	r.sinceSuspension += step
	if suspended {
		r.sinceSuspension = 0
	}
	if running {
		// Only the part of the step that lies in reportWindow counts.
		limit := r.silenceLimit()
		r.reportedRunning += max(min(r.watched, limit)-max(r.watched-step, limit-reportWindow), 0)
	}
	if !r.extended && r.reportedRunning > 0 && r.watched >= silenceTimeout {
		r.extended, r.reportedRunning = true, 0
	}
}

// silenceLimit returns how long the server may show no sign of life.
func (r *pendingReset) silenceLimit() time.Duration {
	if r.extended {
		return reportedSilenceTimeout
	}
	return silenceTimeout
}

// verdict returns the verdict on the reset, or "" if there is none yet.
func (r *pendingReset) verdict(reported serverReport) resetVerdict {
	switch {
	case r.watched < silenceTimeout:
		return ""
	case r.refused || reported == reportUnlisted:
		return resetServerDown
	case r.watched < r.silenceLimit():
		return ""
	case r.reportedRunning >= minReportedRunning:
		return resetServerWentOn
	}
	return resetServerDown
}

// resolve removes the resets at a server to which the verdict applies and returns them.
func (d *crashDetector) resolve(incarnation string, verdict resetVerdict, applies func(r *pendingReset) bool) judgedResets {
	judged := judgedResets{incarnation: incarnation, verdict: verdict}
	resets := d.byServer[incarnation]
	if len(resets) == 0 {
		return judged
	}
	kept := resets[:0]
	for _, r := range resets {
		if applies(&r) {
			judged.fingerprints = append(judged.fingerprints, r.fingerprint)
			d.forget(r.fingerprint)
			continue
		}
		kept = append(kept, r)
	}
	d.byServer[incarnation] = kept
	if len(kept) == 0 {
		delete(d.byServer, incarnation)
	}
	d.pendingCount.Add(-int64(len(judged.fingerprints)))
	return judged
}

// forget removes one pending reset of the request from the count.
func (d *crashDetector) forget(fingerprint uint64) {
	d.byRequest[fingerprint]--
	if d.byRequest[fingerprint] == 0 {
		delete(d.byRequest, fingerprint)
	}
}

// pendingFor returns how many resets of the request have no verdict yet.
func (d *crashDetector) pendingFor(fingerprint uint64) int {
	if d.pendingCount.Load() == 0 {
		return 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.byRequest[fingerprint]
}
