package testrelay

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// pair returns the two ends of a connection through a relay.
func pair(t *testing.T) (r *Relay, near, far net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	r = Start(t, Config{Target: fleet.Address(listener.Addr().String())})
	if near, err = net.Dial("tcp", string(r.Address())); err != nil {
		t.Fatal(err)
	}
	if far, err = listener.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { near.Close(); far.Close() })
	return r, near, far
}

// send writes to one end and returns how long it takes until the other has it.
func send(t *testing.T, from, to net.Conn, text string) time.Duration {
	t.Helper()
	began := time.Now()
	if _, err := io.WriteString(from, text); err != nil {
		t.Fatal(err)
	}
	got := make([]byte, len(text))
	_ = to.SetReadDeadline(began.Add(5 * time.Second))
	if _, err := io.ReadFull(to, got); err != nil || string(got) != text {
		t.Fatalf("%q, %v", got, err)
	}
	return time.Since(began)
}

func TestTrouble(t *testing.T) {
	const lasts = 100 * time.Millisecond
	for _, test := range []struct {
		name     string
		trouble  Faults
		to, from bool // whether the way is slow
	}{
		{"none", Faults{}, false, false},
		{"delay", Faults{Delay: lasts}, true, true},
		{"held to the target", Faults{HoldToTarget: true}, true, false},
		{"held from the target", Faults{HoldFromTarget: true}, false, true},
		{"trickle", Faults{TrickleBytes: 1}, true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			r, near, far := pair(t)
			for _, way := range []struct {
				from, to net.Conn
				slow     bool
			}{{near, far, test.to}, {far, near, test.from}} {
				r.SetFaults(test.trouble)
				heal := time.AfterFunc(2*lasts, func() { r.SetFaults(Faults{}) })
				took := send(t, way.from, way.to, "twenty bytes of text")
				heal.Stop()
				if slow := took >= lasts; slow != way.slow {
					t.Errorf("took %v", took)
				}
			}
		})
	}
}

// TestResetIsNotAnEnd guards against a relay that turns a reset into an orderly end: an answer
// without a length would look whole.
func TestResetIsNotAnEnd(t *testing.T) {
	for _, test := range []struct {
		name string
		act  func(r *Relay, far net.Conn)
	}{
		{"by the target", func(_ *Relay, far net.Conn) { reset(far) }},
		{"by the relay", func(r *Relay, _ net.Conn) { r.Reset() }},
	} {
		t.Run(test.name, func(t *testing.T) {
			r, near, far := pair(t)
			send(t, near, far, "x")
			test.act(r, far)
			_ = near.SetReadDeadline(time.Now().Add(5 * time.Second))
			if _, err := near.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("error %v", err)
			}
		})
	}
}

func TestEndIsPassedOn(t *testing.T) {
	_, near, far := pair(t)
	send(t, far, near, "x")
	far.Close()
	_ = near.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := near.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("error %v", err)
	}
}
