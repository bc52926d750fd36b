package rig

import (
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/bluebellchute/bluebellchute/platform"
	"github.com/bluebellchute/bluebellchute/platform/standin"
)

// Names of the site, as the stand-ins of Lahore's head office use them.
const (
	SiteHost    = "laps.example"
	ServiceApp  = "timing-app"
	ServicePool = "llm-pool"
	PathUnsafe  = "/crossing/"
	PathSafe    = "/ping/"
	PathStream  = "/summary/"
	MemoryMB    = 134 // of an edge machine
)

// Zones are those of the site, with one edge machine in each.
var Zones = []string{"hall-a", "hall-b", "annex-ravi", "annex-gulberg"}

// Keys of two tenants.
const (
	KeyTrack = "asnmgkcuyj8pjbvk9m68"
	KeyClub  = "k7b2ex5wa5xwyhks8nbk"
)

// configuration is the operator's, with figures of the site's sheet and of `fleetbench wire`.
var configuration = map[string]any{
	"version": 7,
	"routes": []map[string]any{
		{"name": "lap-crossing", "host": SiteHost, "path_prefix": PathUnsafe, "type": "unsafe", "service": ServiceApp, "timeout_ms": 800, "target_latency_ms": 100, "priority": 2, "max_attempts": 1, "public": true},
		{"name": "transponder-ping", "host": SiteHost, "path_prefix": PathSafe, "type": "safe", "service": ServiceApp, "timeout_ms": 800, "target_latency_ms": 100, "priority": 2, "max_attempts": 2, "public": true},
		{"name": "race-summary", "host": SiteHost, "path_prefix": PathStream, "type": "streaming", "service": ServicePool, "timeout_ms": 15000, "target_latency_ms": 600, "target_gap_ms": 250, "priority": 1, "max_attempts": 2, "sticky": true, "resumable": true},
	},
	"services": []map[string]any{
		{"name": ServicePool, "health_path": "/healthz", "max_connections": 360, "protocol": "h1", "tls": false, "runtime": map[string]any{"slots": 64, "kv_capacity": 548525, "stride": 6}},
		{"name": ServiceApp, "health_path": "/healthz", "max_connections": 96, "protocol": "h1", "tls": false},
	},
	"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tokens_per_s": 340000},
	"tenants": []map[string]any{{"name": "track", "api_keys": []string{KeyTrack}}, {"name": "club", "api_keys": []string{KeyClub}}},
}

// Configuration returns a copy of the first configuration.
func Configuration() map[string]any { return maps.Clone(configuration) }

// Site is a small deployment: a store and one gate in each zone.
type Site struct {
	Store  *standin.Store
	Gates  []*Gate
	Record *Record

	base      string // the first three bytes of its loopback addresses
	directory string // temporary
	listener  net.Listener
}

// Host returns a loopback address of the site, by a number from 1 to 250.
func (s *Site) Host(number int) string { return fmt.Sprintf("%s.%d", s.base, number) }

const (
	storeNumber = 1
	gateNumber  = 11 // of the first gate
)

// StartSite starts the store and the gates, each a process of its own.
func StartSite(record *Record) (*Site, error) {
	directory, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	site := &Site{Store: standin.NewStore(), Record: record, directory: directory, base: fmt.Sprintf("127.%d.%d", 1+pid>>8&0x7f, pid&0xff)}
	if site.listener, err = net.Listen("tcp", net.JoinHostPort(site.Host(storeNumber), "0")); err != nil {
		return nil, err
	}
	server := &http.Server{Handler: site.Store, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(site.listener) }() // returns after Close
	site.Store.Put(platform.KindConfig, "main", configuration)
	var seeds []string
	for i := range Zones[:3] {
		seeds = append(seeds, PeersAt(site.Host(gateNumber+i)))
	}
	for i, zone := range Zones {
		gate, err := StartGate(GateConfig{
			Name: "edge-" + zone + "-1", Zone: zone, Host: site.Host(gateNumber + i),
			Store: site.listener.Addr().String(), Seeds: seeds, MemoryMB: MemoryMB,
		}, directory, record)
		if err != nil {
			return site, err
		}
		site.Gates = append(site.Gates, gate)
	}
	return site, nil
}

// AwaitReady waits until all gates are ready, and reports whether they were in time.
func (s *Site) AwaitReady() bool {
	for _, gate := range s.Gates {
		if !gate.AwaitReady(15 * time.Second) {
			s.Record.Sayf("%s is not ready in time", gate.Name())
			return false
		}
	}
	return true
}

// Close ends all processes and removes the temporary directory.
func (s *Site) Close() {
	for _, gate := range s.Gates {
		gate.Stop()
	}
	_ = s.listener.Close()
	_ = os.RemoveAll(s.directory)
}
