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

// breakStart is when the tests of this file begin.
const breakStart = boottime.Instant(1_000_000 * time.Second)

func idle(string) serverReport     { return reportIdle }
func busy(string) serverReport     { return reportRunning }
func unlisted(string) serverReport { return reportUnlisted }

// watchFor calls judge as a router does that is not disturbed, and returns the moment
// reached and what was judged.
func watchFor(w *crashDetector, from boottime.Instant, lasts time.Duration, report func(string) serverReport) (boottime.Instant, []judgedResets) {
	var judged []judgedResets
	end := from.Add(lasts)
	for now := from; now <= end; now = now.Add(judgeInterval) {
		judged = append(judged, w.judge(now, report)...)
	}
	return end, judged
}

// verdictOf returns the one verdict, "" for none.
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

// A request would be convicted before its server had time to show that it lives, or a
// crash would never count.
func TestSilentServerCountsAsDownAfterItsTime(t *testing.T) {
	w := newCrashDetector()
	w.addReset("a@1", 7, breakStart, breakStart.Add(time.Millisecond))
	now, early := watchFor(w, breakStart, 1400*time.Millisecond, idle)
	if got := verdictOf(t, early); got != "" || w.pendingFor(7) != 1 {
		t.Errorf("%q within 1.4 s, %d pending", got, w.pendingFor(7))
	}
	_, judged := watchFor(w, now, 300*time.Millisecond, idle)
	if got := verdictOf(t, judged); got != resetServerDown || w.pendingFor(7) != 0 {
		t.Errorf("%q after 1.7 s, %d pending", got, w.pendingFor(7))
	}
}

// A router that sees little of a server's traffic would take its silence for a crash,
// although other routers have requests there.
func TestServerThatRunsRequestsOfOthersIsNotDown(t *testing.T) {
	w := newCrashDetector()
	w.addReset("a@1", 7, breakStart, breakStart)
	if _, judged := watchFor(w, breakStart, 3*time.Second, busy); verdictOf(t, judged) != resetServerWentOn {
		t.Errorf("%+v", judged)
	}
}

// A crash would be missed because other routers' figures of the server are still those of
// the time before it.
func TestOldFiguresOfOthersDoNotHideACrash(t *testing.T) {
	w := newCrashDetector()
	w.addReset("a@1", 7, breakStart, breakStart)
	now, judged := watchFor(w, breakStart, 2*time.Second, busy)
	if verdictOf(t, judged) != "" {
		t.Errorf("judged %+v while it is in doubt", judged)
	}
	if _, judged = watchFor(w, now, 700*time.Millisecond, idle); verdictOf(t, judged) != resetServerDown {
		t.Errorf("%+v", judged)
	}
}

// A server with little to do would be taken for crashed because nothing runs there at one
// look, or a crashed one for alive because a request is being refused by it at one look.
func TestOneReportDecidesNothing(t *testing.T) {
	for _, test := range []struct {
		running int // of five looks
		want    resetVerdict
	}{{1, resetServerDown}, {2, resetServerWentOn}, {4, resetServerWentOn}} {
		w := newCrashDetector()
		// The last look comes 10 ms late, so six looks fall into the half second.
		w.addReset("a@1", 7, breakStart, breakStart.Add(-10*time.Millisecond))
		looks := 0
		_, judged := watchFor(w, breakStart, 3*time.Second, func(string) serverReport {
			looks++
			if (looks-1)%5 < test.running {
				return reportRunning
			}
			return reportIdle
		})
		if got := verdictOf(t, judged); got != test.want {
			t.Errorf("%q with requests reported in %d of five looks, want %q", got, test.running, test.want)
		}
	}
}

// A crash would be missed, or noticed late, because old figures outweigh the list.
func TestServerThatIsNoLongerListedIsDown(t *testing.T) {
	w := newCrashDetector()
	w.addReset("a@1", 7, breakStart, breakStart)
	now, _ := watchFor(w, breakStart, 1800*time.Millisecond, busy)
	if judged := w.judge(now.Add(judgeInterval), unlisted); verdictOf(t, judged) != resetServerDown {
		t.Errorf("%+v", judged)
	}
}

// A crash would be missed because the server's successor answers under the old entry, or
// figures of others are old, although nothing listened at the address.
func TestRefusedConnectionOutweighsLaterAnswers(t *testing.T) {
	w := newCrashDetector()
	w.addReset("a@1", 7, breakStart, breakStart)
	w.connectionRefused("a@1", breakStart.Add(100*time.Millisecond))
	if judged := w.dataReceived("a@1", breakStart.Add(time.Second), breakStart.Add(time.Second)); len(judged.fingerprints) > 0 {
		t.Errorf("judged %+v by its successor's answer", judged)
	}
	if _, judged := watchFor(w, breakStart, 1700*time.Millisecond, busy); verdictOf(t, judged) != resetServerDown {
		t.Errorf("%+v", judged)
	}
}

// A connection that was refused before the break says nothing of what came after it.
func TestEarlierRefusalIsNoEvidence(t *testing.T) {
	w := newCrashDetector()
	w.addReset("a@1", 7, breakStart.Add(-time.Second), breakStart)
	w.connectionRefused("a@1", breakStart.Add(-time.Millisecond))
	if judged := w.dataReceived("a@1", breakStart.Add(time.Millisecond), breakStart.Add(time.Millisecond)); judged.verdict != resetServerWentOn || len(judged.fingerprints) != 1 {
		t.Errorf("%+v", judged)
	}
}

// A crash would be missed because events that arrived before it are read after it.
func TestDataOfTheTimeBeforeTheBreakIsNoSignOfLife(t *testing.T) {
	w := newCrashDetector()
	w.addReset("a@1", 7, breakStart, breakStart)
	if judged := w.dataReceived("a@1", breakStart.Add(-time.Second), breakStart); len(judged.fingerprints) > 0 {
		t.Errorf("judged at once: %+v", judged)
	}
	now, _ := watchFor(w, breakStart, 400*time.Millisecond, idle)
	if judged := w.dataReceived("a@1", breakStart.Add(-time.Second), now); len(judged.fingerprints) != 1 {
		t.Error("a stream that goes on is no sign of life")
	}
}

// Symptom: requests are refused as crashing servers after a router was suspended.
// Events: a connection breaks; the router stands still for longer than the time to the
// verdict; the server goes on meanwhile.
// Cause: the time in which the router could see nothing counted as silence.
func TestPausedRouterConvictsNothingByItsOwnSilence(t *testing.T) {
	w := newCrashDetector()
	w.addReset("a@1", 7, breakStart, breakStart)
	watchFor(w, breakStart, 500*time.Millisecond, idle)
	resumed := breakStart.Add(10 * time.Second)
	// What waited in connections of the time before may be older than the break, both
	// before and after the first look.
	if judged := w.dataReceived("a@1", breakStart.Add(-time.Second), resumed); len(judged.fingerprints) > 0 {
		t.Errorf("judged by data that may be old: %+v", judged)
	}
	if judged := w.judge(resumed, idle); len(judged) > 0 {
		t.Fatalf("judged on waking: %+v", judged)
	}
	if judged := w.dataReceived("a@1", breakStart.Add(-time.Second), resumed); len(judged.fingerprints) > 0 {
		t.Errorf("judged by data that may be old: %+v", judged)
	}
	if judged := w.dataReceived("a@1", resumed, resumed); judged.verdict != resetServerWentOn || len(judged.fingerprints) != 1 {
		t.Errorf("%+v after an answer", judged)
	}
}

// A router that was suspended would never convict a request whose crash it has seen.
func TestPausedRouterStillConvicts(t *testing.T) {
	w := newCrashDetector()
	w.addReset("a@1", 7, breakStart, breakStart)
	if _, judged := watchFor(w, breakStart.Add(10*time.Second), 1600*time.Millisecond, idle); verdictOf(t, judged) != resetServerDown {
		t.Errorf("%+v", judged)
	}
}

// One crash under several copies of a request would count as several.
func TestCopiesThatBreakTogetherCountOnce(t *testing.T) {
	w := newCrashDetector()
	for range 3 {
		w.addReset("a@1", 7, breakStart, breakStart.Add(time.Millisecond))
	}
	if got := w.pendingFor(7); got != 1 {
		t.Errorf("%d pending breaks", got)
	}
	w.addReset("a@1", 7, breakStart.Add(2*time.Millisecond), breakStart.Add(3*time.Millisecond))
	w.addReset("b@1", 7, breakStart, breakStart.Add(time.Millisecond))
	if got := w.pendingFor(7); got != 3 {
		t.Errorf("%d pending breaks with a later one and one at another server", got)
	}
}

// Other routers would hear of resets, and count them as crashes.
func TestOnlyCrashesAreToldAndCounted(t *testing.T) {
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
	h.crashDetector.addReset("a@1", 7, breakStart, breakStart)
	h.crashDetector.addReset("b@1", 8, breakStart, breakStart)
	h.dataReceived(&knowledge.Backend{Incarnation: "a@1"}, breakStart.Add(time.Second), breakStart.Add(time.Second))
	if told := m.TakeCrashFingerprints(); len(told) > 0 {
		t.Errorf("%v told before any crash", told)
	}
	_, judged := watchFor(h.crashDetector, breakStart, 2*time.Second, idle)
	for _, some := range judged {
		h.applyVerdict(some)
	}
	if told := m.TakeCrashFingerprints(); len(told) != 1 || told[0] != 8 {
		t.Errorf("%v told, want the one whose server went down", told)
	}
	counted := resetsCounted(t, registry)
	if len(counted) != 2 || counted[resetServerDown] != 1 || counted[resetServerWentOn] != 1 {
		t.Errorf("counted %v", counted)
	}
}

// resetsCounted returns the metric of broken connections by its verdicts.
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

// Breaks would gather without a bound, stay without a verdict or get two, or a server that
// was seen to go on would convict.
func TestEachBreakGetsOneVerdict(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newCrashDetector()
		now := breakStart
		added, judged := 0, 0
		disproved := make(map[string]bool) // breaks whose server has answered since
		count := func(some judgedResets) {
			judged += len(some.fingerprints)
			for _, print := range some.fingerprints {
				if some.verdict == resetServerDown && disproved[fmt.Sprint(some.incarnation, print)] {
					t.Fatalf("%d is convicted by %s, which answered after the break", print, some.incarnation)
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
		_, rest := watchFor(w, now, reportedSilenceTimeout+time.Second, busy)
		for _, some := range rest {
			count(some)
		}
		if judged != added || w.pendingCount.Load() != 0 || len(w.byServer) != 0 || len(w.byRequest) != 0 {
			t.Fatalf("%d of %d breaks were judged, %d are left", judged, added, w.pendingCount.Load())
		}
	})
}

func TestPendingBreaksAreBounded(t *testing.T) {
	w := newCrashDetector()
	for print := range uint64(3 * maxPendingResets) {
		w.addReset(fmt.Sprint("i-", print%50), print, breakStart, breakStart)
	}
	if got := w.pendingCount.Load(); got != maxPendingResets || len(w.byRequest) != maxPendingResets {
		t.Errorf("%d are pending, of %d requests", got, len(w.byRequest))
	}
}
