package gate

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
)

// testStart is the time at which the tests of this file begin.
const testStart = boottime.Instant(1_000_000 * time.Second)

func alwaysIdle(string) serverReport     { return reportIdle }
func alwaysRunning(string) serverReport  { return reportRunning }
func alwaysUnlisted(string) serverReport { return reportUnlisted }

// judgeFor calls judge at its normal interval. It returns the time reached and the judged
// resets.
func judgeFor(w *crashDetector, from boottime.Instant, lasts time.Duration, report func(string) serverReport) (boottime.Instant, []judgedResets) {
	var judged []judgedResets
	end := from.Add(lasts)
	for now := from; now <= end; now = now.Add(judgeInterval) {
		judged = append(judged, w.judge(now, report)...)
	}
	return end, judged
}

// verdictOf returns the verdict if resets were judged once, "" for none.
func verdictOf(t *testing.T, judged []judgedResets) resetVerdict {
	t.Helper()
	switch len(judged) {
	case 0:
		return ""
	case 1:
		return judged[0].verdict
	}
	t.Fatalf("judged %d times: %+v", len(judged), judged)
	return ""
}

// Guards against counting a crash before the server had time to show that it is alive, and
// against never counting one.
func TestSilentServerCountsAsDownAfterTimeout(t *testing.T) {
	w := newCrashDetector()
	w.addReset("a@1", 7, testStart, testStart.Add(time.Millisecond))
	now, early := judgeFor(w, testStart, 1400*time.Millisecond, alwaysIdle)
	if got := verdictOf(t, early); got != "" || w.pendingFor(7) != 1 {
		t.Errorf("%q within 1.4 s, %d pending", got, w.pendingFor(7))
	}
	_, judged := judgeFor(w, now, 300*time.Millisecond, alwaysIdle)
	if got := verdictOf(t, judged); got != resetServerDown || w.pendingFor(7) != 0 {
		t.Errorf("%q after 1.7 s, %d pending", got, w.pendingFor(7))
	}
}

// Guards against taking a server's silence for a crash at a router that sees little of its
// traffic, although other routers have requests there.
func TestServerThatRunsRequestsOfOthersIsNotDown(t *testing.T) {
	w := newCrashDetector()
	w.addReset("a@1", 7, testStart, testStart)
	if _, judged := judgeFor(w, testStart, 3*time.Second, alwaysRunning); verdictOf(t, judged) != resetServerWentOn {
		t.Errorf("%+v", judged)
	}
}

// Guards against missing a crash because other routers' reports on the server are still
// those from before it.
func TestStaleReportsDoNotHideACrash(t *testing.T) {
	w := newCrashDetector()
	w.addReset("a@1", 7, testStart, testStart)
	now, judged := judgeFor(w, testStart, 2*time.Second, alwaysRunning)
	if verdictOf(t, judged) != "" {
		t.Errorf("judged %+v while reports may be stale", judged)
	}
	if _, judged = judgeFor(w, now, 700*time.Millisecond, alwaysIdle); verdictOf(t, judged) != resetServerDown {
		t.Errorf("%+v", judged)
	}
}

// Guards against taking a lightly loaded server for crashed because nothing runs there at
// one check, or a crashed one for alive because at one check a request is just being
// refused by it.
func TestOneReportIsNotEnough(t *testing.T) {
	for _, test := range []struct {
		running int // of five checks
		want    resetVerdict
	}{{1, resetServerDown}, {2, resetServerWentOn}, {4, resetServerWentOn}} {
		w := newCrashDetector()
		// The last check comes 10 ms late, so six checks fall into the half second.
		w.addReset("a@1", 7, testStart, testStart.Add(-10*time.Millisecond))
		checks := 0
		_, judged := judgeFor(w, testStart, 3*time.Second, func(string) serverReport {
			checks++
			if (checks-1)%5 < test.running {
				return reportRunning
			}
			return reportIdle
		})
		if got := verdictOf(t, judged); got != test.want {
			t.Errorf("%q with requests reported in %d of five checks, want %q", got, test.running, test.want)
		}
	}
}

// Guards against missing a crash, or detecting it late, because stale reports take
// precedence over the list of backend servers.
func TestServerThatIsNoLongerListedIsDown(t *testing.T) {
	w := newCrashDetector()
	w.addReset("a@1", 7, testStart, testStart)
	now, _ := judgeFor(w, testStart, 1800*time.Millisecond, alwaysRunning)
	if judged := w.judge(now.Add(judgeInterval), alwaysUnlisted); verdictOf(t, judged) != resetServerDown {
		t.Errorf("%+v", judged)
	}
}

// Guards against missing a crash because the restarted server answers under the old entry,
// or reports of other routers are stale, although nothing was listening at the address.
func TestRefusedConnectionOutweighsLaterAnswers(t *testing.T) {
	w := newCrashDetector()
	w.addReset("a@1", 7, testStart, testStart)
	w.connectionRefused("a@1", testStart.Add(100*time.Millisecond))
	if judged := w.dataReceived("a@1", testStart.Add(time.Second), testStart.Add(time.Second)); len(judged.fingerprints) > 0 {
		t.Errorf("judged %+v by an answer of the restarted server", judged)
	}
	if _, judged := judgeFor(w, testStart, 1700*time.Millisecond, alwaysRunning); verdictOf(t, judged) != resetServerDown {
		t.Errorf("%+v", judged)
	}
}

// Guards against evidence from before the reset: a connection refused then says nothing
// about what came after it.
func TestEarlierRefusalIsNoEvidence(t *testing.T) {
	w := newCrashDetector()
	w.addReset("a@1", 7, testStart.Add(-time.Second), testStart)
	w.connectionRefused("a@1", testStart.Add(-time.Millisecond))
	if judged := w.dataReceived("a@1", testStart.Add(time.Millisecond), testStart.Add(time.Millisecond)); judged.verdict != resetServerWentOn || len(judged.fingerprints) != 1 {
		t.Errorf("%+v", judged)
	}
}

// Guards against missing a crash because events that arrived before it are read after it.
func TestDataFromBeforeTheResetIsNoSignOfLife(t *testing.T) {
	w := newCrashDetector()
	w.addReset("a@1", 7, testStart, testStart)
	if judged := w.dataReceived("a@1", testStart.Add(-time.Second), testStart); len(judged.fingerprints) > 0 {
		t.Errorf("judged immediately: %+v", judged)
	}
	now, _ := judgeFor(w, testStart, 400*time.Millisecond, alwaysIdle)
	if judged := w.dataReceived("a@1", testStart.Add(-time.Second), now); len(judged.fingerprints) != 1 {
		t.Error("a stream that continues is not taken as a sign of life")
	}
}

// Guards against refusing requests as crashing servers after the router was suspended for
// longer than silenceTimeout: it could not have seen a sign of life in that time.
func TestSuspendedRouterDoesNotCountItsOwnPauseAsSilence(t *testing.T) {
	w := newCrashDetector()
	w.addReset("a@1", 7, testStart, testStart)
	judgeFor(w, testStart, 500*time.Millisecond, alwaysIdle)
	resumed := testStart.Add(10 * time.Second)
	// Data that was waiting in older connections may be older than the reset, both before
	// and after the first check.
	if judged := w.dataReceived("a@1", testStart.Add(-time.Second), resumed); len(judged.fingerprints) > 0 {
		t.Errorf("judged by data that may be old: %+v", judged)
	}
	if judged := w.judge(resumed, alwaysIdle); len(judged) > 0 {
		t.Fatalf("judged on resuming: %+v", judged)
	}
	if judged := w.dataReceived("a@1", testStart.Add(-time.Second), resumed); len(judged.fingerprints) > 0 {
		t.Errorf("judged by data that may be old: %+v", judged)
	}
	if judged := w.dataReceived("a@1", resumed, resumed); judged.verdict != resetServerWentOn || len(judged.fingerprints) != 1 {
		t.Errorf("%+v after an answer", judged)
	}
}

// Guards against a suspended router that never counts a crash that it has seen.
func TestSuspendedRouterStillDetectsCrash(t *testing.T) {
	w := newCrashDetector()
	w.addReset("a@1", 7, testStart, testStart)
	if _, judged := judgeFor(w, testStart.Add(10*time.Second), 1600*time.Millisecond, alwaysIdle); verdictOf(t, judged) != resetServerDown {
		t.Errorf("%+v", judged)
	}
}

// Guards against counting one crash several times because it reset several copies of a
// request.
func TestCopiesResetTogetherCountOnce(t *testing.T) {
	w := newCrashDetector()
	for range 3 {
		w.addReset("a@1", 7, testStart, testStart.Add(time.Millisecond))
	}
	if got := w.pendingFor(7); got != 1 {
		t.Errorf("%d pending resets", got)
	}
	w.addReset("a@1", 7, testStart.Add(2*time.Millisecond), testStart.Add(3*time.Millisecond))
	w.addReset("b@1", 7, testStart, testStart.Add(time.Millisecond))
	if got := w.pendingFor(7); got != 3 {
		t.Errorf("%d pending resets with a later one and one at another server", got)
	}
}

// Guards against reporting resets to other routers that were not crashes, as those would
// count them.
func TestOnlyCrashesAreReportedToOtherRouters(t *testing.T) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	registry := prometheus.NewRegistry()
	h := &handler{
		crashDetector: newCrashDetector(),
		suspects:      newSuspects(),
		metrics:       newMetrics(registry),
		requestLog:    newRequestLog(logger, knowledge.NewState(), nil),
	}
	m := &Manager{handler: h}
	h.crashDetector.addReset("a@1", 7, testStart, testStart)
	h.crashDetector.addReset("b@1", 8, testStart, testStart)
	h.dataReceived(&knowledge.Backend{Incarnation: "a@1"}, testStart.Add(time.Second), testStart.Add(time.Second))
	if reported := m.TakeCrashFingerprints(); len(reported) > 0 {
		t.Errorf("%v reported before any crash", reported)
	}
	_, judged := judgeFor(h.crashDetector, testStart, 2*time.Second, alwaysIdle)
	for _, some := range judged {
		h.applyVerdict(some)
	}
	if reported := m.TakeCrashFingerprints(); len(reported) != 1 || reported[0] != 8 {
		t.Errorf("%v reported, want the one whose server went down", reported)
	}
	counted := resetsCounted(t, registry)
	if len(counted) != 2 || counted[resetServerDown] != 1 || counted[resetServerWentOn] != 1 {
		t.Errorf("counted %v", counted)
	}
}

// resetsCounted returns the metric of reset connections by verdict.
func resetsCounted(t *testing.T, registry *prometheus.Registry) map[resetVerdict]float64 {
	t.Helper()
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	counted := make(map[resetVerdict]float64)
	for _, family := range families {
		if family.GetName() != "bluebell_gate_resets_total" {
			continue
		}
		for _, metric := range family.GetMetric() {
			counted[resetVerdict(metric.GetLabel()[0].GetValue())] = metric.GetCounter().GetValue()
		}
	}
	return counted
}

// Guards against pending resets that accumulate without bound, get no verdict or two, or
// count as crashes although the server has answered since.
func TestEachResetGetsOneVerdict(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newCrashDetector()
		now := testStart
		added, judged := 0, 0
		disproved := make(map[string]bool) // resets whose server has answered since
		count := func(some judgedResets) {
			judged += len(some.fingerprints)
			for _, fingerprint := range some.fingerprints {
				if some.verdict == resetServerDown && disproved[fmt.Sprint(some.incarnation, fingerprint)] {
					t.Fatalf("%d counts as a crash of %s, which answered after the reset", fingerprint, some.incarnation)
				}
			}
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.Int64Range(1, int64(300*time.Millisecond)).Draw(t, "passes")))
			incarnation := rapid.SampledFrom([]string{"a@1", "a@2", "b@1"}).Draw(t, "incarnation")
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				before := w.pendingCount.Load()
				w.addReset(incarnation, uint64(added), now-1, now)
				added += int(w.pendingCount.Load() - before)
			case 1:
				for _, b := range w.byServer[incarnation] {
					if !b.refused && b.noticedAt < now {
						disproved[fmt.Sprint(incarnation, b.fingerprint)] = true
					}
				}
				count(w.dataReceived(incarnation, now, now))
			case 2:
				w.connectionRefused(incarnation, now)
			default:
				report := rapid.SampledFrom([]serverReport{reportIdle, reportRunning, reportUnlisted}).Draw(t, "report")
				for _, some := range w.judge(now, func(string) serverReport { return report }) {
					count(some)
				}
			}
		}
		_, rest := judgeFor(w, now, reportedSilenceTimeout+time.Second, alwaysRunning)
		for _, some := range rest {
			count(some)
		}
		if judged != added || w.pendingCount.Load() != 0 || len(w.byServer) != 0 || len(w.byRequest) != 0 {
			t.Fatalf("%d of %d resets were judged, %d are pending", judged, added, w.pendingCount.Load())
		}
	})
}

func TestPendingResetsAreBounded(t *testing.T) {
	w := newCrashDetector()
	for fingerprint := range uint64(3 * maxPendingResets) {
		w.addReset(fmt.Sprint("i-", fingerprint%50), fingerprint, testStart, testStart)
	}
	if got := w.pendingCount.Load(); got != maxPendingResets || len(w.byRequest) != maxPendingResets {
		t.Errorf("%d are pending, of %d requests", got, len(w.byRequest))
	}
}
