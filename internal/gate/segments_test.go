package gate

import (
	"math"
	"net/http"
	"net/http/httptest"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/lo"
	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/crash"
	"github.com/bluebellchute/bluebellchute/internal/event"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
)

func requestWith(account fleet.Account, segments ...string) *Request {
	request := &Request{ID: "a", Host: "h.example", Received: boottime.Now()}
	if account != "" {
		request.Account = &knowledge.Account{Name: account}
	}
	request.Prompt.Segments = lo.Map(segments, func(id string, _ int) PromptSegment { return PromptSegment{ID: id} })
	request.SegmentKeys = segmentKeys(request)
	return request
}

// newSegmentHandler returns a handler that refuses the segment "bad" of the account "kitchen".
func newSegmentHandler(t *testing.T) (*handler, *test.Hook) {
	t.Helper()
	logger, hook := test.NewNullLogger()
	registry := prometheus.NewRegistry()
	settings := newCurrentSettings(Settings{})
	h := &handler{
		settings:      settings,
		admission:     newAdmission(settings, "z", routers(1)),
		segments:      crash.NewSegmentTable(),
		crashDetector: crash.NewDetector(),
		metrics:       newMetrics(registry),
		requestLog:    newRequestLog(logger, knowledge.NewState(), func() logrus.Fields { return logrus.Fields{} }),
	}
	h.refusedSegments = newRefusedSegments(logger, h.segments, registry)
	crashServers(h, "bad", "own")
	return h, hook
}

// crashServers has requests of the account "kitchen" with the segments crash backend servers.
func crashServers(h *handler, segments ...string) {
	for server := range uint32(5) {
		at := boottime.Now().Add(time.Duration(int(server)-10) * time.Second)
		h.segments.Crashed(server, at, segmentKeys(requestWith("kitchen", segments...)), boottime.Now())
	}
	h.refusedSegments.observe(boottime.Now())
}

// Guards against refusing requests because another account's requests crash backend servers, or
// because of the last segment, which a session has to itself.
func TestSegmentsAreRefusedForTheirAccountOnly(t *testing.T) {
	h, _ := newSegmentHandler(t)
	for _, c := range []struct {
		name    string
		request *Request
		refused bool
	}{
		{"first", requestWith("kitchen", "bad", "own"), true},
		{"in the middle", requestWith("kitchen", "shared", "bad", "other", "own"), true},
		{"the last segment", requestWith("kitchen", "shared", "bad"), false},
		{"without it", requestWith("kitchen", "shared", "own"), false},
		{"a public route", requestWith("", "bad", "own"), false},
		{"another account", requestWith("bakery", "bad", "own"), false},
	} {
		if refusal := h.refuseSegments(c.request); (refusal != nil) != c.refused {
			t.Errorf("%s: refusal %+v, want one: %v", c.name, refusal, c.refused)
		}
	}
}

// Guards against refusals of sound requests beside many with a refused segment: those were counted as
// requested, and as none of them was granted, the engines seemed to do less than they can.
func TestRefusedSegmentsAreNotRequested(t *testing.T) {
	manager, _ := listeningGate(t, 10)
	h := manager.handler
	h.settings.set(Settings{Freshness: Freshness{KeyMaxAge: time.Minute, DenialMaxAge: time.Minute}})
	h.state.SetConfiguration(knownView(boottime.Now()).Index.Configuration, boottime.Now())
	h.state.SetBackends(nil, knowledge.Position{Revision: 1}, boottime.Now())
	crashServers(h, "bad", "own")
	for segment, want := range map[string]float64{"bad": 0, "sound": 100} {
		h.dialect = promptDialect{segments: []PromptSegment{{ID: segment}, {ID: "own"}}}
		before := manager.Usages()["kitchen"].Requested
		answer := httptest.NewRecorder()
		h.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "http://h/a/x", nil))
		if got := manager.Usages()["kitchen"].Requested - before; math.Abs(got-want) > 1 {
			t.Errorf("%s: the account requested %v tokens more, want about %v; answer %s", segment, got, want, answer.Body)
		}
	}
}

// Guards against a refused request whose cause can't be found: the segment as its caller states
// it, the servers that crashed, and what an operator has to clear.
func TestRefusalNamesTheSegmentAndTheCrashes(t *testing.T) {
	h, hook := newSegmentHandler(t)
	request := requestWith("kitchen", "shared", "bad", "own")
	h.requestLog.refused(request, *h.refuseSegments(request))
	entry := hook.LastEntry().Data
	if entry["segment"] != "bad" || entry["reason"] != ReasonSegment || !reflect.DeepEqual(entry["servers"], []string{"00000000", "00000001", "00000002", "00000003", "00000004"}) {
		t.Errorf("logged %+v", entry)
	}
	listed := h.refusedSegments.list()
	if len(listed) != 1 || listed[0].ID != "bad" || listed[0].Account != "kitchen" || segmentName(listed[0].Segment) != entry["segment_key"] {
		t.Errorf("listed %+v", listed)
	}
	if !(&Manager{handler: h, options: Options{Logger: logrus.New()}}).ClearSegment(listed[0].Segment, "ada", "fixed") {
		t.Error("the segment to be cleared is not known")
	}
	h.refusedSegments.observe(boottime.Now())
	if refusal := h.refuseSegments(request); refusal != nil {
		t.Errorf("refused after it was cleared: %+v", refusal)
	}
	if !slices.ContainsFunc(hook.AllEntries(), func(e *logrus.Entry) bool { return e.Data["event"] == event.GateSegmentAllowed.Number }) {
		t.Error("no record that the segment is allowed again")
	}
}

// Guards against sound requests that follow the company in which a server crashed to the next
// one, as they are placed by the same segments again.
func TestRequestsOfCrashedServersAreScattered(t *testing.T) {
	h, _ := newSegmentHandler(t)
	r := &relay{handler: h, request: requestWith("kitchen", "shared", "other", "own")}
	r.scatter(outcomeBroken)
	if r.request.scattered {
		t.Error("scattered though no other server goes down")
	}
	now := boottime.Now()
	h.crashDetector.AddReset("i-1@1", crash.Run{Fingerprint: 1}, now, now)
	h.segments.Reset(knowledge.IncarnationHash("i-1@1"), now, r.request.SegmentKeys, now)
	r.scatter(outcomeBroken)
	if r.request.scattered {
		t.Error("scattered though only one server goes down")
	}
	h.crashDetector.AddReset("i-2@1", crash.Run{Fingerprint: 1}, now, now)
	r.scatter(outcomeDeclined)
	if placementSegment(r.request) != "other" {
		t.Error("scattered after a server declined it")
	}
	r.scatter(outcomeBroken)
	if placementSegment(r.request) != r.request.ID {
		t.Error("placed by its segments again")
	}
}
