package gate

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
)

func testLagMeter() *lagMeter {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return newLagMeter(logger, prometheus.NewRegistry())
}

// withinShare and beyondShare stand for requests within and beyond their accounts' shares.
func withinShare() bool { return true }
func beyondShare() bool { return false }

// observeLag records the lag the given number of times and returns the time reached.
func observeLag(m *lagMeter, count int, lag time.Duration, now boottime.Instant) boottime.Instant {
	for range count {
		now = now.Add(lagInterval + lag)
		m.observe(lag, now)
	}
	return now
}

// Guards against forwarding requests after their callers have disconnected, at a router
// that gets several times as many callers as the others: the load balancer has to learn
// that its processor is saturated.
func TestOverloadIsDetectedAndEnds(t *testing.T) {
	m := testLagMeter()
	now := observeLag(m, 20, 150*time.Millisecond, boottime.Now())
	if !m.overloaded.Load() {
		t.Fatal("a lag of 150ms does not count as overload")
	}
	now = observeLag(m, 30, 0, now)
	if !m.overloaded.Load() {
		t.Error("the overload ends before the load balancer has noticed it")
	}
	observeLag(m, 60, 0, now)
	if m.overloaded.Load() {
		t.Error("the overload never ends")
	}
}

// Guards against streams that stall while a processor busy with new requests keeps
// forwarding them: a measurement still in progress must count.
func TestStallIsDetectedBeforeItEnds(t *testing.T) {
	m := testLagMeter()
	now := boottime.Now()
	m.yieldedAt.Store(int64(now))
	if m.busy(now.Add(stallLag / 2)) {
		t.Error("a short wait counts as overload")
	}
	if !m.busy(now.Add(2 * stallLag)) {
		t.Error("a long wait does not count as overload")
	}
}

// Guards against an account that gets less than half its share because all its callers
// come to one small VM after the other, and each refuses everything for seconds.
func TestOverloadedRouterStillAcceptsAShare(t *testing.T) {
	m := testLagMeter()
	now := observeLag(m, 200, 150*time.Millisecond, boottime.Now())
	if m.acceptedShare() != minAcceptedShare || m.accepts(now, beyondShare, 0) || !m.accepts(now, withinShare, 0) {
		t.Errorf("the share of accepted requests is %v after a long overload, want the minimum, all of it for requests within their shares", m.acceptedShare())
	}
	now = observeLag(m, 30, 0, now)
	if share := m.acceptedShare(); share <= minAcceptedShare || share >= 1 {
		t.Errorf("the share of accepted requests is %v while the overload ends", share)
	}
	now = observeLag(m, 100, 0, now)
	if !m.accepts(now, beyondShare, 0.999) {
		t.Error("requests are refused long after the overload")
	}
}

// Guards against refusing small accounts at a router that a large account's flood
// overloads: requests beyond the shares have to be refused first.
func TestRequestsBeyondSharesAreRefusedFirst(t *testing.T) {
	m := testLagMeter()
	now := boottime.Now()
	for _, share := range []float64{1, 0.8, 0.5} {
		m.setAcceptedShare(share)
		if !m.accepts(now, withinShare, 0.999) {
			t.Errorf("a request within its share is refused while a share of %v is accepted", share)
		}
	}
	if m.accepts(now, beyondShare, 0.001) {
		t.Error("a request beyond the shares is accepted while only those within them should be")
	}
	m.setAcceptedShare(minAcceptedShare)
	if m.accepts(now, withinShare, 0.999) || !m.accepts(now, withinShare, 0.1) {
		t.Error("requests within the shares are not refused in their turn")
	}
}

// promptDialect decodes every request as one for a model.
type promptDialect struct {
	plainDialect
	segments []PromptSegment
}

func (d promptDialect) Decode(r *http.Request) (*Request, error) {
	request, err := d.plainDialect.Decode(r)
	request.Key = "key"
	request.Prompt = Prompt{Tokens: 100, Segments: d.segments}
	return request, err
}

// Guards against an account that gets less than half its share because the router to which
// all its callers come is overloaded and does not report the requests that it refuses: the
// other routers then give the account's share away.
func TestRequestsRefusedInOverloadCountAsRequested(t *testing.T) {
	manager, _ := listeningGate(t, 10)
	h := manager.handler
	h.dialect = promptDialect{}
	h.settings.set(Settings{Freshness: Freshness{KeyMaxAge: time.Minute, DenialMaxAge: time.Minute}})
	view := knownView(boottime.Now())
	h.state.SetConfiguration(view.Index.Configuration, boottime.Now())
	h.state.SetBackends(nil, knowledge.Position{Revision: 1}, boottime.Now())
	for name, refuse := range map[string]func(t *testing.T){
		"read": func(t *testing.T) {
			h.lag.setAcceptedShare(-1) // refuses everything
			answer := httptest.NewRecorder()
			h.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "http://h/a/x", nil))
			if !strings.Contains(answer.Body.String(), string(ReasonOverloaded)) {
				t.Fatalf("answer %s, want a refusal", answer.Body)
			}
		},
		"unread": func(*testing.T) {
			h.recordUnreadRefusal(httptest.NewRequest(http.MethodGet, "http://h/a/x", nil), overloadRefusal())
		},
	} {
		t.Run(name, func(t *testing.T) {
			before := manager.Usages()["kitchen"].Requested
			refuse(t)
			if got := manager.Usages()["kitchen"].Requested - before; got < 99 {
				t.Errorf("the account requested %v tokens, want nearly 100", got)
			}
		})
	}
}

func TestOneStallIsNoOverload(t *testing.T) {
	m := testLagMeter()
	now := observeLag(m, 20, 0, boottime.Now())
	observeLag(m, 1, 5*time.Second, now)
	if m.overloaded.Load() {
		t.Error("a stall that is over counts as overload")
	}
}

func TestDisconnectedCallerIsNoticedImmediately(t *testing.T) {
	conn, caller := connPair(t)
	ctx := withCallerConn(context.Background(), conn)
	if callerDisconnected(ctx) {
		t.Error("a connected caller counts as disconnected")
	}
	caller.Close()
	time.Sleep(20 * time.Millisecond)
	if !callerDisconnected(ctx) {
		t.Error("the disconnect is not noticed")
	}
}
