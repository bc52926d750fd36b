package gate

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
)

// notes gives the meter so many looks of the lag and returns the time after.
func notes(m *lagMeter, count int, lag time.Duration, now boottime.Instant) boottime.Instant {
	for range count {
		now = now.Add(lagInterval + lag)
		m.note(lag, now)
	}
	return now
}

// Symptom: requests are sent on after their callers have left.
// Events: one router gets several times the callers of the others.
// Cause: nothing told the balancer that its processor is the bottleneck.
func TestOverloadIsNoticedAndEnds(t *testing.T) {
	m := &lagMeter{}
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
	m := &lagMeter{}
	now := boottime.Now()
	m.yielded.Store(int64(now))
	if m.busy(now.Add(pendingFrom / 2)) {
		t.Error("a short wait counts")
	}
	if !m.busy(now.Add(2 * pendingFrom)) {
		t.Error("a long wait does not count")
	}
}

func TestOneStandstillIsNoOverload(t *testing.T) {
	m := &lagMeter{}
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
	ctx := withCallerConn(context.Background(), &countedConn{Conn: conn})
	if callerLeft(ctx) {
		t.Error("the caller is there")
	}
	caller.Close()
	time.Sleep(20 * time.Millisecond)
	if !callerLeft(ctx) {
		t.Error("the caller has left")
	}
}
