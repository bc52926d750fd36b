package crash

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
)

const (
	// SilenceTimeout is how long a backend server must show no sign of life after a
	// connection to it was reset before it counts as down.
	SilenceTimeout = 1500 * time.Millisecond
	// ReportedSilenceTimeout replaces SilenceTimeout if routers report running requests at
	// the server: it may be answering other routers, whose answers this one does not see.
	// Reports from before a crash end by then. They are more than a second old only if the
	// routers that sent them have stopped.
	ReportedSilenceTimeout = 2500 * time.Millisecond
	// ReportWindow is the length of the final part of either timeout. Only reports in this
	// part count; earlier ones may be from before the crash.
	ReportWindow = 500 * time.Millisecond
	// minReportedRunning is the time within ReportWindow for which routers must report
	// running requests at the server for it to count as alive. It is longer than one
	// heartbeat interval (100 ms): a request also counts as running while its connection
	// is being refused, and then appears in one heartbeat.
	minReportedRunning = 150 * time.Millisecond
	// JudgeInterval is the interval at which Judge is to be called. It is half of
	// maxJudgeGap, so that a late call loses no watched time.
	JudgeInterval = maxJudgeGap / 2
	// maxJudgeGap is the maximum time that one call of Judge adds to the time for which a
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

// Verdict says whether a backend server crashed when a connection to it was reset. Its
// values are those of the metric's label.
type Verdict string

const (
	ServerWentOn Verdict = "server_went_on" // no crash: it was alive afterwards
	ServerDown   Verdict = "server_down"    // it crashed
)

// Run is a request that a backend server ran.
type Run struct {
	Fingerprint uint64    // the same when a caller sends the request again
	Segments    []Segment // of its prompt, those that may have crashed the server
}

// pendingReset is a connection that was reset while a request was running, and has no
// verdict yet.
type pendingReset struct {
	run             Run
	noticedAt       boottime.Instant
	watched         time.Duration // time since noticedAt, suspensions excluded
	sinceSuspension time.Duration // part of watched since the last suspension
	reportedRunning time.Duration // part of ReportWindow in which requests were reported there
	extended        bool          // whether ReportedSilenceTimeout applies
	refused         bool          // whether the server refused a connection afterwards
}

// JudgedResets are resets at one backend server that got the same verdict together.
type JudgedResets struct {
	Incarnation  string
	Verdict      Verdict
	Fingerprints []uint64         // of the requests
	Segments     []Segment        // of the requests, those that may have crashed the server
	At           boottime.Instant // of the first reset
}

func (j *JudgedResets) add(reset *pendingReset) {
	j.Fingerprints = append(j.Fingerprints, reset.run.Fingerprint)
	j.Segments = append(j.Segments, reset.run.Segments...)
	if j.At == 0 || reset.noticedAt < j.At {
		j.At = reset.noticedAt
	}
}

// Detector decides which reset connections are crashes of backend servers. A reset
// gets its verdict when its server shows that it is alive, or when it has shown no sign of
// life for some time. The current time and all other inputs are parameters. Its methods may
// be called concurrently.
type Detector struct {
	mu           sync.Mutex
	byServer     map[string][]pendingReset // by incarnation
	byRequest    map[uint64]int            // pending resets by fingerprint of the request
	lastJudged   boottime.Instant          // time of the last call of Judge
	pendingCount atomic.Int64              // resets in byServer
}

// NewDetector returns a detector without pending resets.
func NewDetector() *Detector {
	return &Detector{byServer: make(map[string][]pendingReset), byRequest: make(map[uint64]int)}
}

// AddReset records that a connection was reset while a request sent at the given time was
// running. Copies of a request whose connections are reset together count once. It does
// nothing when too many resets are pending.
func (d *Detector) AddReset(incarnation string, run Run, sentAt, now boottime.Instant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.pendingCount.Load() >= maxPendingResets {
		return
	}
	for _, pending := range d.byServer[incarnation] {
		if pending.run.Fingerprint == run.Fingerprint && sentAt <= pending.noticedAt {
			return
		}
	}
	d.byServer[incarnation] = append(d.byServer[incarnation], pendingReset{run: run, noticedAt: now})
	d.byRequest[run.Fingerprint]++
	d.pendingCount.Add(1)
}

// DataReceived records that data from the server was read at now, on the connection of a
// request sent at the given time. It returns the resets that were not crashes. Most calls
// find no pending resets and take no lock.
func (d *Detector) DataReceived(incarnation string, sentAt, now boottime.Instant) JudgedResets {
	if d.pendingCount.Load() == 0 {
		return JudgedResets{}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	suspended := now.Sub(d.lastJudged) > maxJudgeGap // the data may have arrived before a suspension of the router
	return d.resolve(incarnation, ServerWentOn, func(r *pendingReset) bool {
		if sentAt > r.noticedAt {
			// After a refused connection the answer comes from a restarted server.
			return !r.refused
		}
		return !suspended && r.sinceSuspension >= oldConnectionMargin
	})
}

// ConnectionRefused records that the server refused a connection for a request placed at
// the given time: nothing is listening there.
func (d *Detector) ConnectionRefused(incarnation string, placedAt boottime.Instant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	resets := d.byServer[incarnation]
	for i := range resets {
		if placedAt > resets[i].noticedAt {
			resets[i].refused = true
		}
	}
}

// Due reports whether the last call of Judge was at least half of JudgeInterval ago.
func (d *Detector) Due(now boottime.Instant) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return now.Sub(d.lastJudged) >= JudgeInterval/2
}

// Incarnations returns those with pending resets.
func (d *Detector) Incarnations() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return lo.Keys(d.byServer)
}

// Report is what the list of backend servers and the routers' reports say about an
// incarnation.
type Report int

const (
	ReportIdle     Report = iota // no router reports requests there
	ReportRunning                // this router or another has requests there
	ReportUnlisted               // it is no longer listed, or has restarted
)

// Judge returns the resets that get their verdict now. It must be called at least once per
// maxJudgeGap; time beyond that does not count towards the timeouts.
func (d *Detector) Judge(now boottime.Instant, report func(incarnation string) Report) []JudgedResets {
	d.mu.Lock()
	defer d.mu.Unlock()
	step := now.Sub(d.lastJudged)
	d.lastJudged = now
	var judged []JudgedResets
	for incarnation, resets := range d.byServer {
		reported := report(incarnation)
		for i := range resets {
			resets[i].advance(step, now, reported == ReportRunning)
		}
		for _, verdict := range []Verdict{ServerDown, ServerWentOn} {
			resolved := d.resolve(incarnation, verdict, func(r *pendingReset) bool { return r.verdict(reported) == verdict })
			if len(resolved.Fingerprints) > 0 {
				judged = append(judged, resolved)
			}
		}
	}
	return judged
}

// advance adds the time since the last call of Judge, or since the reset if that was later,
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
		// Only the part of the step that lies in ReportWindow counts.
		limit := r.silenceLimit()
		r.reportedRunning += max(min(r.watched, limit)-max(r.watched-step, limit-ReportWindow), 0)
	}
	if !r.extended && r.reportedRunning > 0 && r.watched >= SilenceTimeout {
		r.extended, r.reportedRunning = true, 0
	}
}

// silenceLimit returns how long the server may show no sign of life.
func (r *pendingReset) silenceLimit() time.Duration {
	if r.extended {
		return ReportedSilenceTimeout
	}
	return SilenceTimeout
}

// verdict returns the verdict on the reset, or "" if there is none yet.
func (r *pendingReset) verdict(reported Report) Verdict {
	switch {
	case r.watched < SilenceTimeout:
		return ""
	case r.refused || reported == ReportUnlisted:
		return ServerDown
	case r.watched < r.silenceLimit():
		return ""
	case r.reportedRunning >= minReportedRunning:
		return ServerWentOn
	}
	return ServerDown
}

// resolve removes the resets at a server to which the verdict applies and returns them.
func (d *Detector) resolve(incarnation string, verdict Verdict, applies func(r *pendingReset) bool) JudgedResets {
	judged := JudgedResets{Incarnation: incarnation, Verdict: verdict}
	resets := d.byServer[incarnation]
	if len(resets) == 0 {
		return judged
	}
	kept := resets[:0]
	for _, r := range resets {
		if applies(&r) {
			judged.add(&r)
			d.forget(r.run.Fingerprint)
			continue
		}
		kept = append(kept, r)
	}
	d.byServer[incarnation] = kept
	if len(kept) == 0 {
		delete(d.byServer, incarnation)
	}
	d.pendingCount.Add(-int64(len(judged.Fingerprints)))
	return judged
}

// forget removes one pending reset of the request from the count.
func (d *Detector) forget(fingerprint uint64) {
	d.byRequest[fingerprint]--
	if d.byRequest[fingerprint] == 0 {
		delete(d.byRequest, fingerprint)
	}
}

// PendingFor returns how many resets of the request have no verdict yet.
func (d *Detector) PendingFor(fingerprint uint64) int {
	if d.pendingCount.Load() == 0 {
		return 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.byRequest[fingerprint]
}
