package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	upgradeReplicas = 6
	upgradeClients  = 16                     // at each gate
	upgradeDown     = 600 * time.Millisecond // a replica is away
	upgradePause    = 100 * time.Millisecond // between a replica's return and the next one's crash
	upgradeWarm     = 4 * time.Second
	upgradeRounds   = 3
	upgradeSettle   = 5 * time.Second
	outage          = 4500 * time.Millisecond // of the store, as the site file states it
	mixedAllowed    = 2                       // streams with events of two versions
)

// host is the machine of a replica, on which one process runs after the other under one id.
type host struct {
	fleet   *fleet
	id      string
	address string
	server  *http.Server
	entry   spec // what the process registers
}

// begin starts the replica's process with a version of its software.
func (h *host) begin(version string) error {
	address := h.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	h.address = listener.Addr().String()
	server := &http.Server{Handler: &replica{
		id: h.id, fleet: h.fleet, version: version, stream: true, events: 49, first: 60 * time.Millisecond, pause: 10 * time.Millisecond,
	}}
	h.server, h.entry = server, spec{"version": version, "born": time.Now().UnixMilli()}
	h.fleet.record.add("%s starts with version %s", h.id, version)
	go func() { _ = server.Serve(listener) }() // until it is closed
	return nil
}

// register writes the entry of the replica.
func (h *host) register() {
	h.fleet.putServer(h.id, "lm", h.address, 64, h.entry)
	h.fleet.record.add("%s is registered with version %s", h.id, h.entry["version"])
}

// restart ends the replica's process, as a crash does, and starts the next one.
func (h *host) restart(version string) error {
	h.fleet.record.add("%s crashes", h.id)
	_ = h.server.Close()
	time.Sleep(upgradeDown)
	return h.begin(version)
}

// playUpgrade starts replicas again under their ids while the store is down, some of them with
// another version.
func playUpgrade(f *fleet, trouble bool) (bool, error) {
	f.store.Put("config", "main", streamConfig(true))
	hosts := make([]*host, upgradeReplicas)
	for i := range hosts {
		hosts[i] = &host{fleet: f, id: fmt.Sprintf("i-%d", i)}
		if err := hosts[i].begin("v1"); err != nil {
			return false, err
		}
		hosts[i].register()
	}
	if err := f.start(); err != nil {
		return false, err
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	load := &versionLoad{fleet: f, done: make(chan struct{})}
	load.start()
	time.Sleep(upgradeWarm)
	var err error
	for round := 1; round <= upgradeRounds && err == nil; round++ {
		if trouble {
			err = upgradeInOutage(f, hosts, fmt.Sprintf("v%d", round), fmt.Sprintf("v%d", round+1))
		} else {
			time.Sleep(outage)
		}
		time.Sleep(upgradeSettle)
	}
	load.stop()
	f.record.add("%d requests, %d served, %d streams with events of two versions", load.asked, load.served, load.mixed)
	return load.mixed > mixedAllowed, err
}

// upgradeInOutage lets replicas start again one after the other while the store is down, half of
// them with another version, the rest with the old one. They register when the store is back. Then
// the rest gets the new version too.
func upgradeInOutage(f *fleet, hosts []*host, old, next string) error {
	f.record.add("the store is down")
	f.storeDoor.setShut(true)
	back := time.Now().Add(outage)
	half := len(hosts) / 2
	for i, h := range hosts {
		version := next
		if i >= half {
			version = old
		}
		if err := h.restart(version); err != nil {
			return err
		}
		time.Sleep(upgradePause)
	}
	time.Sleep(time.Until(back))
	f.record.add("the store is back")
	f.storeDoor.setShut(false)
	for _, h := range hosts {
		h.register()
	}
	time.Sleep(2 * time.Second)
	for _, h := range hosts[half:] {
		if err := h.restart(next); err != nil {
			return err
		}
		h.register()
	}
	return nil
}

// versionLoad is clients that check of which versions the events of their streams are.
type versionLoad struct {
	fleet   *fleet
	done    chan struct{}
	clients sync.WaitGroup

	mu                   sync.Mutex
	asked, served, mixed int
}

func (l *versionLoad) start() {
	for _, gate := range l.fleet.gates {
		for number := range upgradeClients {
			l.clients.Go(func() { l.client(gate, number) })
		}
	}
}

func (l *versionLoad) stop() {
	close(l.done)
	l.clients.Wait()
}

func (l *versionLoad) client(gate *process, number int) {
	for count := 0; ; count++ {
		select {
		case <-l.done:
			return
		case <-time.After(time.Duration(rand.IntN(20)) * time.Millisecond):
		}
		conn, err := dial(gate.callers)
		if err != nil {
			continue
		}
		request := streamRequest(fmt.Sprintf("%s-%d-%d", gate.name, number, count))
		got := conn.send(request, streamDeadline)
		_ = conn.Close()
		l.count(request, got)
		if after, err := time.ParseDuration(got.header.Get("Retry-After") + "s"); err == nil {
			time.Sleep(after)
		}
	}
}

func (l *versionLoad) count(request *attempt, got *result) {
	versions := versionsOf(got.body)
	l.fleet.record.add("%s: %v, events of %v", request.id, got, versions)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asked++
	if got.complete && got.status == http.StatusOK {
		l.served++
	}
	if len(versions) > 1 {
		l.mixed++
		l.fleet.record.add("%s holds events of two versions: %q", request.id, got.body)
	}
}

// versionsOf returns the versions of the events of a stream, in order.
func versionsOf(body string) []string {
	var found []string
	for line := range strings.SplitSeq(body, "\n") {
		words := strings.Fields(line)
		if len(words) == 4 && words[0] == "data:" && (len(found) == 0 || found[len(found)-1] != words[2]) {
			found = append(found, words[2])
		}
	}
	return found
}
