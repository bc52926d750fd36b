package gate

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus/hooks/test"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/daemon"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
	"github.com/bluebellchute/bluebellchute/internal/policy"
	"github.com/bluebellchute/bluebellchute/internal/testaddr"
)

// testGrace is the grace period of gates that tests drain. They accept connections for half
// of it.
const testGrace = 3 * time.Second

// drainingGate is a gate with one backend server that counts the requests it runs.
type drainingGate struct {
	*Manager
	address string
	logs    *test.Hook
	arrived atomic.Int32
	drained chan error
}

// startDrainingGate starts a gate whose backend server serves streams at /stream/ and other
// requests at /whole/, both with serve and the time limit.
func startDrainingGate(t *testing.T, limit time.Duration, serve http.HandlerFunc) *drainingGate {
	t.Helper()
	g := &drainingGate{address: testaddr.Free(t), drained: make(chan error, 1)}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.arrived.Add(1)
		serve(w, r)
	}))
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	logger, hook := test.NewNullLogger()
	g.logs = hook
	state := knowledge.NewState()
	destinations := []knowledge.Destination{{Service: "s", Weight: 1}}
	state.SetConfiguration(&knowledge.Configuration{Version: 1, Limits: defaultLimits, Routes: []knowledge.Route{
		{Name: "stream", PathPrefix: "/stream/", Host: "h", Public: true, Stream: true, Repeat: knowledge.RepeatNever, Timeout: limit, Destinations: destinations},
		{Name: "whole", PathPrefix: "/whole/", Host: "h", Public: true, Repeat: knowledge.RepeatNever, Timeout: limit, Destinations: destinations},
	}}, boottime.Now())
	backend := knowledge.Backend{ID: "i", Service: "s", Address: fleet.Address(server.Listener.Addr().String()), Slots: 8}
	state.SetBackends([]knowledge.Backend{backend}, knowledge.Position{Revision: 1}, boottime.Now())
	g.Manager = NewManager(Options{
		Settings:    Settings{Freshness: Freshness{KeyMaxAge: time.Minute, DenialMaxAge: time.Minute}, Admission: policy.Defaults(), BodyMemory: 1 << 20, AnswerMemory: 8 << 20},
		Callers:     fleet.Address(g.address),
		Connections: 100,
		Grace:       testGrace,
		Dialect:     plainDialect{}, State: state, Peers: noPeers{}, Logger: logger,
		Readiness: daemon.NewReadiness(), Registerer: prometheus.NewRegistry(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- g.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	awaitListener(t, g.address)
	return g
}

// connect opens a connection and sends nothing.
func (g *drainingGate) connect(t *testing.T) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", g.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	time.Sleep(20 * time.Millisecond) // until it is accepted
	return conn
}

// stop starts draining the gate and returns when its listener is closed.
func (g *drainingGate) stop() {
	go func() { g.drained <- g.Drain(context.Background()) }()
	time.Sleep(testGrace/2 + 200*time.Millisecond)
}

// request sends a request and returns its answer's header, or an error.
func request(conn net.Conn, path string) (*http.Response, error) {
	if _, err := io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		return nil, err
	}
	if err := conn.SetReadDeadline(time.Now().Add(2 * testGrace)); err != nil {
		return nil, err
	}
	return http.ReadResponse(bufio.NewReader(conn), nil)
}

// startRequest sends a request that must be answered, and returns when it has reached the
// backend server. The channel delivers the answer's header, nil for none.
func (g *drainingGate) startRequest(t *testing.T, path string) <-chan *http.Response {
	t.Helper()
	conn := g.connect(t)
	answered := make(chan *http.Response, 1)
	go func() {
		response, err := request(conn, path)
		if err != nil {
			t.Errorf("no answer: %v", err)
		}
		answered <- response
	}()
	awaitCount(t, "arrivals", func() int { return int(g.arrived.Load()) })
	return answered
}

// decodeReason returns the reason of a refusal.
func decodeReason(t *testing.T, response *http.Response) Reason {
	t.Helper()
	var body refusalBody
	if err := json.NewDecoder(response.Body).Decode(&body); err != nil {
		t.Errorf("status %d, body: %v", response.StatusCode, err)
	}
	return body.Error
}

// endlessStream answers with a first event immediately and never ends.
func endlessStream(w http.ResponseWriter, r *http.Request) {
	_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
	_ = http.NewResponseController(w).Flush()
	<-r.Context().Done()
}

// Guards against accepting a stream on an open connection when it is too late for it to end
// before the process does, so that it is cut off.
func TestStreamTooLateInDrainingIsNotTaken(t *testing.T) {
	t.Parallel()
	g := startDrainingGate(t, 15*time.Second, endlessStream)
	g.startStream(t)
	g.applyOtherLimits()
	conn := g.keepAliveConnection(t)
	g.stop()
	response, err := request(conn, "/stream/x")
	if g.arrived.Load() != 1 {
		t.Error("the backend server runs it")
	}
	if err == nil && decodeReason(t, response) != ReasonDraining {
		t.Errorf("status %d, want a closed connection or a refusal", response.StatusCode)
	}
}

// Guards against a request without an answer on a connection that was opened before the
// listener was closed.
func TestFirstRequestLateInDrainingIsRefused(t *testing.T) {
	t.Parallel()
	g := startDrainingGate(t, 15*time.Second, endlessStream)
	g.startStream(t)
	conn := g.connect(t)
	g.stop()
	response, err := request(conn, "/stream/x")
	if err != nil {
		t.Fatal(err)
	}
	if g.arrived.Load() != 1 {
		t.Error("the backend server runs it")
	}
	if response.StatusCode != http.StatusServiceUnavailable || !response.Close || response.Header.Get("Retry-After") == "" {
		t.Errorf("status %d, closing %v, header %v; want a refusal", response.StatusCode, response.Close, response.Header)
	}
}

// Guards against closing a keep-alive connection from which part of a request has been
// read: on a busy processor its caller would get no answer.
func TestRequestReadWhenTheListenerClosesIsAnswered(t *testing.T) {
	t.Parallel()
	g := startDrainingGate(t, 15*time.Second, endlessStream)
	g.startStream(t)
	conn := g.keepAliveConnection(t)
	const head = "GET /stream/x HTTP/1.1\r\nHost: h\r\n\r\n"
	go func() {
		time.Sleep(testGrace / 4)
		_, _ = io.WriteString(conn, head[:10]) // a failure is detected below
	}()
	g.stop()
	if _, err := io.WriteString(conn, head[10:]); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	if reason := decodeReason(t, response); reason != ReasonDraining {
		t.Errorf("status %d for %q, want a refusal", response.StatusCode, reason)
	}
}

// keepAliveConnection returns a connection that stays open after an answer.
func (g *drainingGate) keepAliveConnection(t *testing.T) net.Conn {
	t.Helper()
	conn := g.connect(t)
	response, err := request(conn, "/none")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil || response.Close {
		t.Fatalf("closing %v, %v; want a connection that stays open", response.Close, err)
	}
	return conn
}

// startStream starts a stream that lasts until the gate has drained.
func (g *drainingGate) startStream(t *testing.T) {
	t.Helper()
	if _, err := request(g.connect(t), "/stream/x"); err != nil {
		t.Fatal(err)
	}
}

// applyOtherLimits changes the limits of connections opened from now on.
func (g *drainingGate) applyOtherLimits() {
	limits := defaultLimits
	limits.HeaderBytes /= 2
	g.acceptor.applyLimits(limits)
}

// Guards against connections that are closed without an answer when draining ends.
func TestRequestInProgressIsAnsweredWhenDrainingEnds(t *testing.T) {
	t.Parallel()
	g := startDrainingGate(t, 15*time.Second, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	answered := g.startRequest(t, "/whole/x")
	g.stop()
	response := <-answered
	if response == nil {
		return
	}
	if response.StatusCode != http.StatusBadGateway {
		t.Errorf("status %d for a request that has run", response.StatusCode)
	}
	if err := <-g.drained; err == nil {
		t.Error("Drain returns no error though a request was cancelled")
	}
}

// Guards against refusing requests that end in time, and against accepting requests that do
// not.
func TestDrainStateTakesWhatEndsInTime(t *testing.T) {
	d := newDrainState()
	now := boottime.Now()
	request := &Request{Received: now, Timeout: time.Second}
	if !d.accepts(request, now) {
		t.Error("a request is refused without a stop signal")
	}
	d.start(now, now.Add(5*time.Second))
	if !d.accepts(&Request{Received: now, Timeout: time.Minute}, now) {
		t.Error("a request is refused while connections are still accepted")
	}
	d.listenerClosed.Store(true)
	if !d.accepts(request, now) {
		t.Error("a request that ends in time is refused")
	}
	late := now.Add(4500 * time.Millisecond)
	if d.accepts(&Request{Received: late, Timeout: time.Second}, late) {
		t.Error("a request is accepted that may outlast draining")
	}
}

// Guards against a stream that is cut when draining ends: it arrived while the process was
// stalled, and is read before the listener is closed, whose time has passed.
func TestRequestReadAfterAStallInDrainingIsRefused(t *testing.T) {
	t.Parallel()
	g := startDrainingGate(t, 15*time.Second, endlessStream)
	g.startStream(t)
	conn := g.connect(t)
	now := boottime.Now()
	g.handler.drain.start(now, now.Add(testGrace))
	g.handler.drain.setNoticeEnd(now)
	response, err := request(conn, "/stream/x")
	if err != nil {
		t.Fatal(err)
	}
	if g.arrived.Load() != 1 {
		t.Error("the backend server runs it")
	}
	if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" {
		t.Errorf("status %d, header %v; want a refusal", response.StatusCode, response.Header)
	}
}

// Guards against callers that are refused connections because the load balancer, which was
// slow, still sends them to a router that drains.
func TestListenerStaysOpenUntilTheBalancerHasNoticed(t *testing.T) {
	t.Parallel()
	const (
		afterNotice = testGrace/2 + 150*time.Millisecond
		afterMost   = testGrace*6/10 + 150*time.Millisecond
	)
	for _, test := range []struct {
		name       string
		checks     int // while draining
		stillTaken bool
	}{
		{"told once", 1, true},
		{"told twice", 2, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			g := startDrainingGate(t, time.Second, func(http.ResponseWriter, *http.Request) {})
			readiness := g.options.Readiness
			readiness.Check()
			start := time.Now()
			go func() { g.drained <- g.Drain(context.Background()) }()
			time.Sleep(testGrace / 4)
			for range test.checks {
				readiness.Check()
			}
			for _, at := range []struct {
				after time.Duration
				want  bool
			}{{afterNotice, test.stillTaken}, {afterMost, false}} {
				time.Sleep(time.Until(start.Add(at.after)))
				conn, err := net.Dial("tcp", g.address)
				if taken := err == nil; taken != at.want {
					t.Errorf("%v after the signal a connection is accepted: %t", at.after, taken)
				}
				if err == nil {
					conn.Close()
				}
			}
			<-g.drained
		})
	}
}
