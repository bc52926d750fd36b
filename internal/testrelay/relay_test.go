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
func pair(t *testing.T) (r *Relay, client, target net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	r = Start(t, Config{Target: fleet.Address(listener.Addr().String())})
	if client, err = net.Dial("tcp", string(r.Address())); err != nil {
		t.Fatal(err)
	}
	if target, err = listener.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close(); target.Close() })
	return r, client, target
}

// send writes to one end and returns the time until the other has received it.
func send(t *testing.T, from, to net.Conn, text string) time.Duration {
	t.Helper()
	start := time.Now()
	if _, err := io.WriteString(from, text); err != nil {
		t.Fatal(err)
	}
	got := make([]byte, len(text))
	_ = to.SetReadDeadline(start.Add(5 * time.Second))
	if _, err := io.ReadFull(to, got); err != nil || string(got) != text {
		t.Fatalf("%q, %v", got, err)
	}
	return time.Since(start)
}

func TestFaults(t *testing.T) {
	const faultDuration = 100 * time.Millisecond
	for _, test := range []struct {
		name             string
		faults           Faults
		slowTo, slowFrom bool // whether data to and from the target is slow
	}{
		{"none", Faults{}, false, false},
		{"delay", Faults{Delay: faultDuration}, true, true},
		{"held to the target", Faults{HoldToTarget: true}, true, false},
		{"held from the target", Faults{HoldFromTarget: true}, false, true},
		{"trickle", Faults{TrickleBytes: 1}, true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			r, client, target := pair(t)
			for _, direction := range []struct {
				from, to net.Conn
				slow     bool
			}{{client, target, test.slowTo}, {target, client, test.slowFrom}} {
				r.SetFaults(test.faults)
				heal := time.AfterFunc(2*faultDuration, func() { r.SetFaults(Faults{}) })
				took := send(t, direction.from, direction.to, "twenty bytes of text")
				heal.Stop()
				if slow := took >= faultDuration; slow != direction.slow {
					t.Errorf("took %v", took)
				}
			}
		})
	}
}

// TestResetIsNotAnOrderlyClose guards against a relay that turns a reset into an
// orderly close: a truncated answer without a length would look complete.
func TestResetIsNotAnOrderlyClose(t *testing.T) {
	for _, test := range []struct {
		name string
		act  func(r *Relay, target net.Conn)
	}{
		{"by the target", func(_ *Relay, target net.Conn) { reset(target) }},
		{"by the relay", func(r *Relay, _ net.Conn) { r.Reset() }},
	} {
		t.Run(test.name, func(t *testing.T) {
			r, client, target := pair(t)
			send(t, client, target, "x")
			test.act(r, target)
			_ = client.SetReadDeadline(time.Now().Add(5 * time.Second))
			if _, err := client.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("error %v", err)
			}
		})
	}
}

func TestOrderlyCloseIsPassedOn(t *testing.T) {
	_, client, target := pair(t)
	send(t, target, client, "x")
	target.Close()
	_ = client.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := client.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("error %v", err)
	}
}
