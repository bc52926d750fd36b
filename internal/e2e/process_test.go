package e2e

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

const (
	// waitTimeout bounds each wait for an event. No other result depends on it.
	waitTimeout = 60 * time.Second
	// pollInterval is the time between two checks for an event.
	pollInterval = 5 * time.Millisecond
)

// eventually waits until the condition holds, or fails the test.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("never happened: %s", what)
		}
		time.Sleep(pollInterval)
	}
}

// hostCounter counts the loopback IP addresses that newHost has returned.
var hostCounter atomic.Uint32

// newHost returns a loopback IP address that no other process uses, so that none
// of its ports is taken. It depends on the process id, as several test processes
// may run at the same time.
func newHost() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>8&0x7f, pid&0xff, 1+hostCounter.Add(1)%250)
}

// Each process has these ports on an IP address of its own.
const (
	controlPort = 7001
	dataPort    = 7002
)

func addressOf(host string, port int) fleet.Address {
	return fleet.Address(fmt.Sprintf("%s:%d", host, port))
}

// process is a started program.
type process struct {
	name    string
	command *exec.Cmd
	output  lockedBuffer
	ended   chan struct{}
	err     error // of Wait; valid after ended is closed
}

// start runs a built program until the test ends.
func start(t *testing.T, name string, args ...string) *process {
	t.Helper()
	p := &process{name: name, ended: make(chan struct{})}
	p.command = exec.Command(filepath.Join(binaries, name), args...)
	p.command.Stdout = &p.output
	p.command.Stderr = &p.output
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		p.err = p.command.Wait()
		close(p.ended)
	}()
	t.Cleanup(func() {
		p.signal(syscall.SIGKILL)
		<-p.ended
		if t.Failed() {
			t.Logf("output of %s %v:\n%s", name, args, p.output.String())
		}
	})
	return p
}

// signal sends a signal to the process unless it has ended.
func (p *process) signal(s os.Signal) {
	_ = p.command.Process.Signal(s)
}

// kill ends the process with SIGKILL and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// waitForExit waits until the process ends, and fails the test unless its exit
// status is 0.
func (p *process) waitForExit(t *testing.T) {
	t.Helper()
	select {
	case <-p.ended:
	case <-time.After(waitTimeout):
		t.Fatalf("%s never ended", p.name)
	}
	if p.err != nil {
		t.Fatalf("%s ended with %v", p.name, p.err)
	}
}

// lockedBuffer is a bytes.Buffer for concurrent use.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}
