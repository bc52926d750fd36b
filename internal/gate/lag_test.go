package gate

import (
	"context"
	"io"
	"net"
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

// owed and beyond are requests within and beyond their accounts' shares.
func owed() bool   { return true }
func beyond() bool { return false }

// notes gives the meter so many looks of the lag and returns the time after.
func notes(m *lagMeter, count int, lag time.Duration, now boottime.Instant) boottime.Instant {
	for range count {
		now = now.Add(lagInterval + lag)
		m.observe(lag, now)
	}
	return now
}

// Symptom: requests are sent on after their callers have left.
// Events: one router gets several times the callers of the others.
// Cause: nothing told the balancer that its processor is the bottleneck.
func TestOverloadIsNoticedAndEnds(t *testing.T) {
	m := testLagMeter()
	now := notes(m, 20, 150*time.Millisecond, boottime.Now())
	if !m.overloaded.Load() {
		t.Fatal("goroutines run 150ms late and nobody notices")
	}
	now = notes(m, 30, 0, now)
	if !m.overloaded.Load() {
		t.Error("callers are taken again before the balancer has heard")
	}
	notes(m, 60, 0, now)
	if m.overloaded.Load() {
		t.Error("the overload never ends")
	}
}

// Symptom: streams stand still while new requests are sent on.
// Events: the processor is busy with new requests.
// Cause: the wait that is not over yet was not seen.
func TestLongWaitIsNoticedBeforeItEnds(t *testing.T) {
	m := testLagMeter()
	now := boottime.Now()
	m.yieldedAt.Store(int64(now))
	if m.busy(now.Add(stallLag / 2)) {
		t.Error("a short wait counts")
	}
	if !m.busy(now.Add(2 * stallLag)) {
		t.Error("a long wait does not count")
	}
}

// Symptom: an account gets less than half of what another gets.
// Events: all its callers come to one small VM, and from it to the next.
// Cause: an overloaded router took nothing at all for seconds.
func TestOverloadedRouterTakesWhatItCan(t *testing.T) {
	m := testLagMeter()
	now := notes(m, 200, 150*time.Millisecond, boottime.Now())
	if m.share() != minShare || m.accepts(now, beyond, 0) || !m.accepts(now, owed, 0) {
		t.Errorf("the share of requests taken is %v after a long overload, want the least, all of it for what is owed", m.share())
	}
	now = notes(m, 30, 0, now)
	if share := m.share(); share <= minShare || share >= 1 {
		t.Errorf("the share of requests taken is %v while the overload ends", share)
	}
	now = notes(m, 100, 0, now)
	if !m.accepts(now, beyond, 0.999) {
		t.Error("requests are refused long after the overload")
	}
}

// Symptom: small accounts are refused at the router to which a large one's callers
// come.
// Events: the large account's flood overloads the router.
// Cause: what to refuse was drawn without a look at shares.
func TestFloodIsCutBeforeWhatIsOwed(t *testing.T) {
	m := testLagMeter()
	now := boottime.Now()
	for _, share := range []float64{1, 0.8, 0.5} {
		m.setShare(share)
		if !m.accepts(now, owed, 0.999) {
			t.Errorf("what is owed is refused while a share of %v is taken", share)
		}
	}
	if m.accepts(now, beyond, 0.001) {
		t.Error("something beyond the shares is taken while only what is owed fits")
	}
	m.setShare(minShare)
	if m.accepts(now, owed, 0.999) || !m.accepts(now, owed, 0.1) {
		t.Error("what is owed is not cut in its turn")
	}
}

// promptDialect takes every request as one for a model.
type promptDialect struct{ plainDialect }

func (d promptDialect) Decode(r *http.Request) (*Request, error) {
	request, err := d.plainDialect.Decode(r)
	request.Key = "key"
	request.Prompt = Prompt{Tokens: 100}
	return request, err
}

// Symptom: an account gets less than half of what another gets.
// Events: the router to which all its callers come is overloaded.
// Cause: what it refused was not told to the others, who gave the account's
// part away.
func TestWhatAnOverloadedRouterRefusesCountsAsAsked(t *testing.T) {
	manager, _ := listeningGate(t, 10)
	h := manager.handler
	h.dialect = promptDialect{}
	h.settings.set(Settings{Freshness: Freshness{KeyMaxAge: time.Minute, DenialMaxAge: time.Minute}})
	view := knownView(boottime.Now())
	h.state.SetConfiguration(view.Index.Configuration, boottime.Now())
	h.state.SetBackends(nil, knowledge.Position{Revision: 1}, boottime.Now())
	h.lag.setShare(-1) // refuses everything
	answer := httptest.NewRecorder()
	h.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "http://h/a/x", nil))
	if !strings.Contains(answer.Body.String(), string(ReasonOverloaded)) {
		t.Fatalf("answer %s, want a refusal", answer.Body)
	}
	if got := manager.Usages()["kitchen"].Requested; got < 99 {
		t.Errorf("the account asked for %v tokens, want nearly 100", got)
	}
}

func TestOneStandstillIsNoOverload(t *testing.T) {
	m := testLagMeter()
	now := notes(m, 20, 0, boottime.Now())
	notes(m, 1, 5*time.Second, now)
	if m.overloaded.Load() {
		t.Error("a standstill that is over counts as overload")
	}
}

func TestCallerThatLeftIsNoticedAtOnce(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	caller, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	ctx := withCallerConn(context.Background(), &callerConn{Conn: conn})
	if callerDisconnected(ctx) {
		t.Error("the caller is there")
	}
	caller.Close()
	time.Sleep(20 * time.Millisecond)
	if !callerDisconnected(ctx) {
		t.Error("the caller has left")
	}
}
