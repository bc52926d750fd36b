package rig

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// restartPause is how long the platform waits before it starts a process again that has
	// ended.
	restartPause = 500 * time.Millisecond
	// memoryCheckInterval is how often the platform compares the memory of a process with its
	// limit.
	memoryCheckInterval = 5 * time.Millisecond
)

// GateConfig describes a gate.
type GateConfig struct {
	Name     string
	Zone     string
	Host     string // loopback address of its machine
	Store    string // address of the store, or of the proxy to it
	Seeds    []string
	MemoryMB int
}

// Gate is a gate that runs as a process. It is started again whenever its process ends.
type Gate struct {
	config GateConfig
	record *Record
	log    *os.File
	path   string

	mu       sync.Mutex
	command  *exec.Cmd
	stopped  bool
	killed   bool // by this rig, with Signal
	overruns int  // how often the process was killed for its memory
	ends     int  // how often the process ended by itself
	peakKB   int
	done     chan struct{}
}

// Addresses of a gate on its machine.
const (
	callersPort   = 8783
	readinessPort = 8780
	peersPort     = 8785
)

// Callers returns the address for clients.
func (g *Gate) Callers() string { return fmt.Sprintf("%s:%d", g.config.Host, callersPort) }

// PeersAt returns the address for other gates on the machine.
func PeersAt(host string) string { return fmt.Sprintf("%s:%d", host, peersPort) }

// Name returns the name of its machine.
func (g *Gate) Name() string { return g.config.Name }

// StartGate writes the settings of a gate into the directory, as deploy/gate.ini gives them, and
// runs the program that the deploy file names.
func StartGate(config GateConfig, directory string, record *Record) (*Gate, error) {
	template, err := os.ReadFile("deploy/gate.ini")
	if err != nil {
		return nil, err
	}
	settings := render(string(template), map[string]string{
		"node_name":                 config.Name,
		"zone":                      config.Zone,
		"bootstrap":                 "false",
		"listen.frontend":           fmt.Sprintf("%s:%d", config.Host, callersPort),
		"listen.readiness":          fmt.Sprintf("%s:%d", config.Host, readinessPort),
		"listen.control_plane":      PeersAt(config.Host),
		"ip":                        config.Host,
		"platform.address":          config.Store,
		"seeds":                     strings.Join(config.Seeds, ","),
		"limits.memory_mb":          strconv.Itoa(config.MemoryMB),
		"limits.max_fds":            "4100",
		"bounds.grace_s":            "8",
		"bounds.revoke_ms":          "5000",
		"bounds.config_apply_ms":    "2000",
		"bounds.drain_ms":           "2000",
		"bounds.retry_budget_ratio": "0.2",
		"bounds.retry_budget_extra": "52",
		"bounds.budget_window_s":    "10",
	})
	gate := &Gate{config: config, record: record, path: filepath.Join(directory, config.Name+".ini"), done: make(chan struct{})}
	if err := os.WriteFile(gate.path, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	if gate.log, err = os.Create(filepath.Join(directory, config.Name+".log")); err != nil {
		return nil, err
	}
	go gate.supervise()
	return gate, nil
}

// supervise runs the process until Stop.
func (g *Gate) supervise() {
	defer close(g.done)
	for {
		command := exec.Command("target/bluebell-gate", "--config", g.path)
		command.Stdout, command.Stderr = g.log, g.log
		command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		g.mu.Lock()
		if g.stopped {
			g.mu.Unlock()
			return
		}
		err := command.Start()
		g.command, g.killed = command, false
		g.mu.Unlock()
		if err != nil {
			g.record.Sayf("%s doesn't start: %v", g.config.Name, err)
			return
		}
		g.record.Logf("%s: process %d starts", g.config.Name, command.Process.Pid)
		ended := make(chan struct{})
		go g.watchMemory(command.Process, ended)
		err = command.Wait()
		close(ended)
		g.mu.Lock()
		if !g.stopped && !g.killed {
			g.ends++
		}
		g.command = nil
		g.mu.Unlock()
		g.record.Logf("%s: process %d has ended: %v", g.config.Name, command.Process.Pid, err)
		time.Sleep(restartPause)
	}
}

// watchMemory kills the process when it exceeds its memory, as the platform does.
func (g *Gate) watchMemory(process *os.Process, ended <-chan struct{}) {
	for {
		select {
		case <-ended:
			return
		case <-time.After(memoryCheckInterval):
		}
		used := residentKB(process.Pid)
		g.mu.Lock()
		g.peakKB = max(g.peakKB, used)
		over := used > g.config.MemoryMB<<10
		if over {
			g.overruns++
		}
		g.mu.Unlock()
		if over {
			g.record.Logf("%s: the process has %d KB, more than its %d MB, and is killed", g.config.Name, used, g.config.MemoryMB)
			_ = process.Kill() // it may have ended
			<-ended
			return
		}
	}
}

// residentKB returns the resident memory of a process, 0 if it has ended.
func residentKB(pid int) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(status), "\n") {
		if rest, found := strings.CutPrefix(line, "VmRSS:"); found {
			used, _ := strconv.Atoi(strings.Fields(rest)[0])
			return used
		}
	}
	return 0
}

// Signal sends a signal to the current process.
func (g *Gate) Signal(signal syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.command == nil {
		return
	}
	g.killed = g.killed || signal == syscall.SIGKILL || signal == syscall.SIGTERM
	_ = g.command.Process.Signal(signal) // it may have ended
	g.record.Logf("%s gets %v", g.config.Name, signal)
}

// Counts returns how often the process ended by itself, how often of these it was killed for its
// memory, and the most memory that one had.
func (g *Gate) Counts() (ends, overruns, peakKB int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ends, g.overruns, g.peakKB
}

// Ready asks for readiness as the platform does.
func (g *Gate) Ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/-/readyz", g.config.Host, readinessPort))
	if err != nil {
		return false
	}
	_ = response.Body.Close() // only the status counts
	return response.StatusCode == http.StatusOK
}

// AwaitReady waits until the gate is ready, and reports whether it was in time.
func (g *Gate) AwaitReady(timeout time.Duration) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if g.Ready() {
			return true
		}
	}
	return false
}

// Stop ends the process for good.
func (g *Gate) Stop() {
	g.mu.Lock()
	g.stopped = true
	if g.command != nil {
		_ = g.command.Process.Kill() // it may have ended
	}
	g.mu.Unlock()
	<-g.done
	_ = g.log.Close()
}
