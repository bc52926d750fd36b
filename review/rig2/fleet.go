package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/bluebellchute/bluebellchute/platform"
	"github.com/bluebellchute/bluebellchute/platform/standin"
)

const (
	restartDelay = 300 * time.Millisecond // of the platform, after a process has ended
	memoryPoll   = 5 * time.Millisecond
)

// site holds the figures of a small deployment, from its sheet.
type site struct {
	gates    int
	memoryMB int
	fds      int
	graceS   int
	extra    int // retry_budget_extra
}

// record is the file record.txt of a case.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begun time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, begun: time.Now()}, err
}

// add writes a line with the time since the start.
func (r *record) add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, values...))
}

// fleet is a store and gates, as the platform runs them.
type fleet struct {
	record    *record
	directory string
	site      site
	store     *standin.Store
	storeAt   string
	storeDoor *door
	gates     []*process
	closers   []io.Closer
}

// door passes calls on to the store and can be closed: calls then wait until their callers give
// up, or are turned away.
type door struct {
	store http.Handler
	mu    sync.Mutex
	shut  bool
}

func (d *door) setShut(shut bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.shut = shut
}

// ServeHTTP implements http.Handler. While the door is shut, a call gets no answer.
func (d *door) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	shut := d.shut
	d.mu.Unlock()
	if shut {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		return
	}
	d.store.ServeHTTP(w, r)
}

// newFleet starts the store. The gates start with start.
func newFleet(record *record, figures site) (*fleet, error) {
	directory, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: record, directory: directory, site: figures, store: standin.NewStore()}
	f.storeDoor = &door{store: f.store}
	f.storeAt, err = f.serve(f.storeDoor)
	return f, err
}

// serve serves a handler on a free port.
func (f *fleet) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	f.closers = append(f.closers, server)
	go func() { _ = server.Serve(listener) }() // until it is closed
	return listener.Addr().String(), nil
}

// end ends all processes that were started.
func (f *fleet) end() {
	for _, gate := range f.gates {
		gate.end()
	}
	for _, closer := range f.closers {
		_ = closer.Close()
	}
	_ = os.RemoveAll(f.directory)
}

// The ports of a gate on its loopback address.
const (
	callersPort   = 8783
	readinessPort = 8780
	peersPort     = 8785
	metricsPort   = 9102 // as deploy/gate.ini states it
)

// freeHost returns a loopback address on which the ports of a gate are free.
func freeHost(number int) (string, error) {
	pid := os.Getpid()
	for try := range 50 {
		host := fmt.Sprintf("127.%d.%d.%d", 64+(pid>>8+try)&0x3f, pid&0xff, number+1)
		if portsFree(host, callersPort, readinessPort, peersPort, metricsPort) {
			return host, nil
		}
	}
	return "", errors.New("no loopback address with free ports")
}

func portsFree(host string, ports ...int) bool {
	for _, port := range ports {
		listener, err := net.Listen("tcp", addressOf(host, port))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

func addressOf(host string, port int) string { return net.JoinHostPort(host, strconv.Itoa(port)) }

var runLine = regexp.MustCompile(`(?m)^run = "([^"]*)"`)

// settingsPath is where the platform puts the settings of a process.
const settingsPath = "/etc/bluebellchute/settings.toml"

// zones are the availability zones of the site.
var zones = []string{"hafnarfjordur", "reykjanes", "kopavogur"}

// start starts the gates with the command and the template of the deploy file.
func (f *fleet) start() error {
	deploy, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return err
	}
	template, err := os.ReadFile("deploy/gate.ini")
	if err != nil {
		return err
	}
	command := runLine.FindStringSubmatch(string(deploy))
	if command == nil {
		return errors.New("deploy/system.toml has no command")
	}
	hosts := make([]string, f.site.gates)
	var seeds []string
	for i := range hosts {
		if hosts[i], err = freeHost(i); err != nil {
			return err
		}
		if len(seeds) < 3 {
			seeds = append(seeds, addressOf(hosts[i], peersPort))
		}
	}
	for i, host := range hosts {
		name := fmt.Sprintf("edge-%d", i+1)
		values := fields{
			"node_name": name, "zone": zones[i%len(zones)], "bootstrap": true, "ip": host, "seeds": seeds,
			"listen":   fields{"frontend": addressOf(host, callersPort), "readiness": addressOf(host, readinessPort), "control_plane": addressOf(host, peersPort)},
			"limits":   fields{"memory_mb": f.site.memoryMB, "max_fds": f.site.fds},
			"platform": fields{"address": f.storeAt},
			"bounds": fields{
				"grace_s": f.site.graceS, "revoke_ms": 5000, "config_apply_ms": 2000, "drain_ms": 2000,
				"retry_budget_ratio": 0.2, "retry_budget_extra": f.site.extra, "budget_window_s": 10,
			},
		}
		path := filepath.Join(f.directory, name+".ini")
		gate := &process{
			fleet: f, name: name, host: host, callers: addressOf(host, callersPort), readiness: addressOf(host, readinessPort),
			command:  strings.Fields(strings.ReplaceAll(command[1], settingsPath, path)),
			template: string(template), values: values, settings: path,
			settled: make(chan struct{}),
		}
		f.gates = append(f.gates, gate)
		go gate.supervise()
	}
	return nil
}

// awaitReady waits until all gates say that they are ready.
func (f *fleet) awaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, gate := range f.gates {
		for !gate.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", gate.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// process is a gate, which the platform starts again whenever it ends.
type process struct {
	fleet     *fleet
	name      string
	host      string
	callers   string
	readiness string
	command   []string
	template  string        // of the settings
	values    fields        // of the machine
	settings  string        // path of the file
	settled   chan struct{} // closed when supervise has returned

	mu      sync.Mutex
	running *exec.Cmd
	ended   bool // for good
	asked   bool // the test has killed it
	ends    int  // by itself, memory over its limit included
	most    int  // the most memory that was seen, in KB
}

// supervise runs the process and starts it again until end is called.
func (p *process) supervise() {
	defer close(p.settled)
	runtime.LockOSThread() // the kernel kills the process when the thread that started it ends
	for {
		if err := os.WriteFile(p.settings, []byte(render(p.template, p.values, nil)), 0o600); err != nil {
			p.fleet.record.add("%s has no settings: %v", p.name, err)
			return
		}
		p.values["bootstrap"] = false // true only when the whole system starts for the first time
		command := exec.Command(p.command[0], p.command[1:]...)
		command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		log, err := os.OpenFile(filepath.Join(p.fleet.directory, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err == nil {
			command.Stdout, command.Stderr = log, log
		}
		p.mu.Lock()
		if p.ended {
			p.mu.Unlock()
			return
		}
		if err := command.Start(); err != nil {
			p.mu.Unlock()
			p.fleet.record.add("%s does not start: %v", p.name, err)
			return
		}
		p.running, p.asked = command, false
		p.mu.Unlock()
		p.fleet.record.add("%s starts", p.name)
		over := make(chan struct{})
		go p.limitMemory(command.Process.Pid, over)
		err = command.Wait()
		close(over)
		_ = log.Close()
		p.mu.Lock()
		if !p.asked && !p.ended {
			p.ends++
			p.fleet.record.add("%s has ended by itself (%v)", p.name, err)
		}
		p.mu.Unlock()
		time.Sleep(restartDelay)
	}
}

// limitMemory kills the process when it has more memory than its machine gives it, as the platform
// does. Only what the process itself holds counts, not the pages of its program.
func (p *process) limitMemory(pid int, over <-chan struct{}) {
	for {
		select {
		case <-over:
			return
		case <-time.After(memoryPoll):
		}
		used := anonymousKB(pid)
		p.mu.Lock()
		p.most = max(p.most, used)
		p.mu.Unlock()
		if used > p.fleet.site.memoryMB<<10 {
			p.fleet.record.add("%s has %d MB, more than its %d MB: the platform kills it", p.name, used>>10, p.fleet.site.memoryMB)
			_ = syscall.Kill(pid, syscall.SIGKILL)
			return
		}
	}
}

// anonymousKB returns the memory of a process that no file backs, 0 if unknown.
func anonymousKB(pid int) int {
	status, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	defer status.Close()
	for lines := bufio.NewScanner(status); lines.Scan(); {
		if value, found := strings.CutPrefix(lines.Text(), "RssAnon:"); found {
			kb, _ := strconv.Atoi(strings.Fields(value)[0])
			return kb
		}
	}
	return 0
}

// signal sends a signal to the process, as a disruption or planned work.
func (p *process) signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running == nil || p.running.Process == nil {
		return
	}
	p.asked = p.asked || signal == syscall.SIGKILL || signal == syscall.SIGTERM
	p.fleet.record.add("%s gets %v", p.name, signal)
	_ = p.running.Process.Signal(signal)
}

// end ends the process for good.
func (p *process) end() {
	p.mu.Lock()
	p.ended = true
	if p.running != nil {
		_ = p.running.Process.Signal(syscall.SIGCONT)
		_ = p.running.Process.Kill()
	}
	p.mu.Unlock()
	<-p.settled
}

// figures returns how often the process has ended by itself, and the most memory in MB.
func (p *process) figures() (ends, mostMB int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ends, p.most >> 10
}

// ready asks the process as the platform does.
func (p *process) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + p.readiness + "/-/readyz")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// spec is a body of the platform's store.
type spec = map[string]any

// putServer writes the entry of a replica.
func (f *fleet) putServer(id, service, address string, slots int, more spec) {
	entry := spec{
		"service": service, "address": address, "zone": "hafnarfjordur", "version": "v1", "slots": slots,
		"state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	}
	for name, value := range more {
		entry[name] = value
	}
	f.store.Put(platform.KindServers, id, entry)
}
