package gate

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/crash"
	"github.com/bluebellchute/bluebellchute/internal/daemon"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
	"github.com/bluebellchute/bluebellchute/internal/policy"
)

// plainGate returns a router with one plain server that has two slots.
func plainGate(t *testing.T, plain PlainSettings, serve http.HandlerFunc) *Manager {
	t.Helper()
	server := httptest.NewServer(serve)
	t.Cleanup(server.Close)
	state := knowledge.NewState()
	state.SetConfiguration(&knowledge.Configuration{Version: 1, Routes: []knowledge.Route{{
		Name: "commit", PathPrefix: "/", Host: "h", Public: true, Repeat: knowledge.RepeatNever,
		Timeout: 3 * time.Second, TargetLatency: 300 * time.Millisecond,
		Destinations: []knowledge.Destination{{Service: "s", Weight: 1}},
	}}}, boottime.Now())
	backend := knowledge.Backend{ID: "i", Service: "s", Address: fleet.Address(server.Listener.Addr().String()), Slots: 2}
	state.SetBackends([]knowledge.Backend{backend}, knowledge.Position{Revision: 1}, boottime.Now())
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return NewManager(Options{
		Settings: Settings{
			Freshness: Freshness{KeyMaxAge: 4 * time.Second, DenialMaxAge: 2 * time.Second},
			Admission: policy.Defaults(), Plain: plain, BodyMemory: 1 << 20, AnswerMemory: 8 << 20,
		},
		Dialect: plainDialect{}, State: state, Peers: noPeers{}, Logger: logger,
		Readiness: daemon.NewReadiness(), Registerer: prometheus.NewRegistry(),
	})
}

func askPlain(m *Manager) *http.Response {
	recorder := httptest.NewRecorder()
	request := httptest.NewRequest(http.MethodPost, "http://h/x", nil)
	m.Handler().ServeHTTP(recorder, request)
	return recorder.Result()
}

// askMany sends this number of concurrent requests and returns the answers by status.
func askMany(m *Manager, count int) map[int][]*http.Response {
	answers := make(chan *http.Response)
	for range count {
		go func() { answers <- askPlain(m) }()
	}
	byStatus := make(map[int][]*http.Response)
	for range count {
		answer := <-answers
		byStatus[answer.StatusCode] = append(byStatus[answer.StatusCode], answer)
	}
	return byStatus
}

// Guards against sending everything to an overloaded server, against refusing a request
// that was sent, and against refusals without Retry-After.
func TestOverloadedPlainServerRefuses(t *testing.T) {
	for _, admission := range []bool{false, true} {
		var arrived atomic.Int32
		slots := make(chan struct{}, 2)
		m := plainGate(t, PlainSettings{Admission: admission}, func(http.ResponseWriter, *http.Request) {
			arrived.Add(1)
			slots <- struct{}{}
			time.Sleep(60 * time.Millisecond)
			<-slots
		})
		for range 3 {
			askPlain(m) // to learn the service time
		}
		arrived.Store(0)
		answers := askMany(m, 40)
		given, refused := len(answers[http.StatusOK]), len(answers[http.StatusServiceUnavailable])
		t.Logf("admission %v: %d answers, %d refused", admission, given, refused)
		if given+refused != 40 || int(arrived.Load()) != given {
			t.Errorf("%d answers, %d refused, %d were sent", given, refused, arrived.Load())
		}
		if admission != (refused > 0) || given < 4 || admission && given > 14 {
			t.Errorf("admission %v: %d refused", admission, refused)
		}
		for _, refusal := range answers[http.StatusServiceUnavailable] {
			after, err := strconv.ParseFloat(refusal.Header.Get("Retry-After"), 64)
			if err != nil || after < 0.05 || after > 4 {
				t.Errorf("retry after %q", refusal.Header.Get("Retry-After"))
			}
		}
		if left := m.Loads(); len(left) != 0 {
			t.Errorf("load left over: %v", left)
		}
	}
}

// Guards against a server that fails immediately seeming to have free slots, and against
// its failed requests being counted permanently.
func TestFailedPlainRequestsCountForATime(t *testing.T) {
	var failing atomic.Bool
	m := plainGate(t, PlainSettings{Admission: true}, func(w http.ResponseWriter, _ *http.Request) {
		if failing.Load() {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		time.Sleep(100 * time.Millisecond)
	})
	askPlain(m)
	failing.Store(true)
	askPlain(m)
	if got := m.running(); got != 1 {
		t.Errorf("%d requests in the load after an immediate failure, want 1", got)
	}
	deadline := time.Now().Add(5 * time.Second)
	for m.running() != 0 {
		if time.Now().After(deadline) {
			t.Fatal("the failed request is counted permanently")
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against a setting that has no effect or is on by default.
func TestPlainSettingsAreApplied(t *testing.T) {
	config := Config{}
	if config.Settings().Plain.Admission {
		t.Error("admission control is on by default")
	}
	config.Plain.Admission = true
	if !config.Settings().Plain.Admission {
		t.Error("the setting has no effect")
	}
}

// Guards against failed requests that a crash has ended but that still count at their
// server. Taken as evidence that the server runs, they would prevent the refusal of the
// request that crashed it.
func TestFailedPlainRequestsDoNotHideACrash(t *testing.T) {
	m := plainGate(t, PlainSettings{Admission: true}, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	for _, backend := range m.handler.state.View().Backends {
		state := m.handler.admission.plain.state(backend.Incarnation, boottime.Now())
		state.serviceTime.Observe(&policy.SentPlainRequest{Rounds: 1}, 10*time.Second)
	}
	askPlain(m)
	var suspects []uint64
	for ends := time.Now().Add(crash.ReportedSilenceTimeout + time.Second); len(suspects) == 0 && time.Now().Before(ends); {
		time.Sleep(crash.JudgeInterval)
		m.handler.judgeDue(boottime.Now())
		suspects = m.TakeCrashFingerprints()
	}
	if len(suspects) != 1 {
		t.Errorf("%d requests were found to have crashed the server, want 1", len(suspects))
	}
}

// Guards against sending a request whose key was withdrawn while the request was held back
// because of undecided crashes.
func TestHeldRequestLosesItsWithdrawnKey(t *testing.T) {
	var arrived atomic.Int32
	m := plainGate(t, PlainSettings{}, func(http.ResponseWriter, *http.Request) { arrived.Add(1) })
	configure := func(version uint64, keys ...string) {
		m.handler.state.SetConfiguration(&knowledge.Configuration{
			Version: version, KeysRequired: true,
			Routes: []knowledge.Route{{
				Name: "commit", PathPrefix: "/", Host: "h", Repeat: knowledge.RepeatNever, Timeout: 3 * time.Second,
				Destinations: []knowledge.Destination{{Service: "s", Weight: 1}},
			}},
			Accounts: []knowledge.Account{{Name: "kitchen", Keys: keys}},
		}, boottime.Now())
	}
	for _, test := range []struct {
		after  string
		status int
	}{{"key", http.StatusOK}, {"other", http.StatusUnauthorized}} {
		configure(m.handler.state.View().Version()+1, "key")
		request := &Request{Method: http.MethodGet, URI: "/x", Path: "/x", Host: "h", Key: "key", Header: http.Header{}, Received: boottime.Now()}
		if refusal := identify(request, m.handler.state.View(), m.handler.settings.get().Freshness, 0); refusal != nil {
			t.Fatal(refusal)
		}
		for _, incarnation := range []string{"a@1", "b@1"} {
			m.handler.crashDetector.AddReset(incarnation, crash.Run{Fingerprint: request.Fingerprint}, request.Received, boottime.Now())
		}
		time.AfterFunc(maxHold/2, func() {
			configure(m.handler.state.View().Version()+1, test.after)
			m.handler.crashDetector.DataReceived("a@1", boottime.Now(), boottime.Now())
			m.handler.crashDetector.DataReceived("b@1", boottime.Now(), boottime.Now())
		})
		recorder := httptest.NewRecorder()
		m.handler.serve(t.Context(), recorder, request)
		if recorder.Code != test.status {
			t.Errorf("status %d with %q valid after the hold, want %d", recorder.Code, test.after, test.status)
		}
	}
	if got := arrived.Load(); got != 1 {
		t.Errorf("%d requests were sent, want the one whose key is valid", got)
	}
}
