package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	drillRounds   = 5
	drillRevoke   = 5 * time.Second         // revoke_ms
	drillAway     = time.Second             // the store, in the drill
	drillRewrite  = 1500 * time.Millisecond // until the operator and the replicas have written again
	drillInterval = 4 * time.Millisecond    // between two requests with the withdrawn key
)

// plainConfig is a configuration with one unsafe route to a plain service.
func plainConfig(version int, keys ...string) spec {
	return spec{
		"version": version,
		"routes": []spec{{
			"name": "sheet", "host": "recipes.example", "path_prefix": "/sheet/", "type": "unsafe", "timeout_ms": 800,
			"target_latency_ms": 150, "priority": 2, "service": "board", "max_attempts": 1,
		}},
		"services": []spec{{"name": "board", "max_connections": 110}},
		"limits":   spec{"max_header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []spec{{"name": "kitchen", "api_keys": keys}},
	}
}

// playDrill lets the store come back from an older copy while a gate starts again.
func playDrill(f *fleet, trouble bool) (bool, error) {
	const sound, withdrawn = "kitchen-key", "withdrawn-key"
	version := 3
	f.store.Put("config", "main", plainConfig(version, sound, withdrawn))
	var servers []*replica
	var register []func()
	for i := range 3 {
		server := &replica{id: fmt.Sprintf("b-%d", i), fleet: f, first: 5 * time.Millisecond}
		address, err := f.serve(server)
		if err != nil {
			return false, err
		}
		sequence, born := 0, time.Now().UnixMilli()
		write := func() {
			sequence++
			f.putServer(server.id, "board", address, 6, spec{"sequence": sequence, "born": born})
		}
		write()
		servers, register = append(servers, server), append(register, write)
	}
	if err := f.start(); err != nil {
		return false, err
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	ran := 0
	for round := range drillRounds {
		copied := f.store.Snapshot()
		time.Sleep(500 * time.Millisecond)
		version += 2
		after := plainConfig(version, sound)
		f.store.Put("config", "main", after)
		f.record.add("round %d: the store acknowledges version %d without the key", round, version)
		acknowledged := time.Now()
		time.Sleep(drillRevoke + 500*time.Millisecond)
		stop := make(chan struct{})
		var clients sync.WaitGroup
		var mu sync.Mutex
		for _, gate := range f.gates {
			clients.Go(func() {
				for count := 0; ; count++ {
					select {
					case <-stop:
						return
					case <-time.After(drillInterval):
					}
					conn, err := dial(gate.callers)
					if err != nil {
						continue
					}
					id := fmt.Sprintf("w%d-%s-%d", round, gate.name, count)
					request := &attempt{id: id, method: http.MethodPost, path: "/sheet/" + id, body: "x", header: [][2]string{{headerKey, withdrawn}, {headerDeadline, "1500"}}}
					sent := time.Since(acknowledged)
					got := conn.send(request, 1500*time.Millisecond)
					_ = conn.Close()
					if !arrivedAt(servers, id) {
						continue
					}
					mu.Lock()
					ran++
					mu.Unlock()
					f.record.add("%s, sent %v after the acknowledgement with the withdrawn key, has run: %v", id, sent.Round(time.Millisecond), got)
				}
			})
		}
		if trouble {
			f.record.add("drill: the store is away")
			f.storeDoor.setShut(true)
			time.Sleep(drillAway)
			f.store.Restore(copied)
			f.storeDoor.setShut(false)
			f.record.add("drill: the store is back from its copy of %v ago", time.Since(acknowledged).Round(time.Millisecond))
			f.gates[round%len(f.gates)].signal(syscall.SIGKILL)
			time.Sleep(drillRewrite)
			for _, write := range register {
				write()
			}
			f.store.Put("config", "main", after)
			f.record.add("drill: the operator has written version %d again", version)
		} else {
			time.Sleep(drillAway + drillRewrite)
		}
		time.Sleep(time.Second)
		close(stop)
		clients.Wait()
		version += 2
		f.store.Put("config", "main", plainConfig(version, sound, withdrawn)) // the key is given again
		time.Sleep(3 * time.Second)
	}
	f.record.add("%d requests with a withdrawn key have run", ran)
	return ran > 0, nil
}
