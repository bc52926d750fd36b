package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

const (
	endlessShare = 0.03     // of the answers of the faulty replicas
	endlessPerS  = 60 << 20 // bytes: half of the link of a machine
	endlessStep  = 10 * time.Millisecond
	endlessAfter = 5 * time.Second
	endlessFor   = 60 * time.Second
)

// streamConfig is a configuration with one streaming route, which may not be resumed.
func streamConfig(resumable bool, keys ...string) spec {
	tenants := []spec{{"name": "kitchen", "api_keys": append([]string{"kitchen-key"}, keys...)}}
	return spec{
		"version": 3,
		"routes": []spec{{
			"name": "query", "host": "recipes.example", "path_prefix": "/query/", "type": "streaming", "timeout_ms": 12000,
			"target_latency_ms": 800, "target_gap_ms": 300, "priority": 1, "service": "lm", "max_attempts": 2, "sticky": true, "resumable": resumable,
		}},
		"services": []spec{{"name": "lm", "max_connections": 370, "runtime": spec{"kv_capacity": 582039, "bandwidth_mbps": 550000}}},
		"limits":   spec{"max_header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tokens_per_s": 900000},
		"tenants":  tenants,
	}
}

// streamRequest is a request for a stream of the size that the sheet states.
func streamRequest(id string) *attempt {
	return &attempt{id: id, method: http.MethodPost, path: "/query/" + id, body: strings.Repeat("q", 830), header: [][2]string{
		{headerKey, "kitchen-key"}, {headerModel, "m"}, {headerUsage, "628,49"},
		{headerPrefix, fmt.Sprintf("aa01:119,aa02:79,%x:430", rand.Uint32())}, {headerDeadline, "12000"},
	}}
}

// sendEndlessHead sends the beginning of a head and then bytes until the caller closes.
func sendEndlessHead(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	part := []byte(strings.Repeat("x", endlessPerS/int(time.Second/endlessStep)))
	if _, err := conn.Write([]byte("HTTP/1.1 200 OK\r\nX-Fill: ")); err != nil {
		return
	}
	for next := time.Now(); ; {
		if _, err := conn.Write(part); err != nil {
			return
		}
		next = next.Add(endlessStep)
		time.Sleep(time.Until(next))
	}
}

// playEndlessHead lets replicas answer with a head without end.
func playEndlessHead(f *fleet, trouble bool) (bool, error) {
	f.store.Put("config", "main", streamConfig(false))
	var sound []*replica
	begun := make(chan struct{}) // closed when the disruption begins
	for i := range 6 {
		server := &replica{id: fmt.Sprintf("i-%d", i), fleet: f, version: "v1", stream: true, events: 49, first: 100 * time.Millisecond, pause: 8 * time.Millisecond}
		if i < 2 && trouble {
			server.spoil = func(w http.ResponseWriter, r *http.Request) bool {
				select {
				case <-begun:
				default:
					return false
				}
				if rand.Float64() >= endlessShare {
					return false
				}
				f.record.add("%s answers %s with a head without end", server.id, r.Header.Get(headerAttempt))
				sendEndlessHead(w)
				return true
			}
		} else {
			sound = append(sound, server)
		}
		address, err := f.serve(server)
		if err != nil {
			return false, err
		}
		f.putServer(server.id, "lm", address, 64, nil)
	}
	if err := f.start(); err != nil {
		return false, err
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	load := &streamLoad{fleet: f, sound: sound}
	time.AfterFunc(endlessAfter, func() { close(begun) })
	load.run(time.Now().Add(endlessFor))
	return load.judge(), nil
}
