package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	uploadBytes    = 4 << 20 // max_body_bytes
	uploadsAtOnce  = 64      // at each gate
	uploadFor      = 4 * time.Second
	uploadInterval = 8 * time.Second
	uploadAfter    = 5 * time.Second
	uploadsEnd     = 50 * time.Second
)

// playChunkedBodies sends long bodies in chunks, and lengthBodies the same ones with their length.
func playChunkedBodies(f *fleet, trouble bool) (bool, error) { return playBodies(f, trouble, true) }

func playLengthBodies(f *fleet, trouble bool) (bool, error) { return playBodies(f, trouble, false) }

func playBodies(f *fleet, trouble, chunks bool) (bool, error) {
	f.store.Put("config", "main", streamConfig(false))
	var sound []*replica
	for i := range 6 {
		server := &replica{id: fmt.Sprintf("i-%d", i), fleet: f, version: "v1", stream: true, events: 49, first: 100 * time.Millisecond, pause: 8 * time.Millisecond}
		address, err := f.serve(server)
		if err != nil {
			return false, err
		}
		f.putServer(server.id, "lm", address, 64, nil)
		sound = append(sound, server)
	}
	if err := f.start(); err != nil {
		return false, err
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	load := &streamLoad{fleet: f, sound: sound}
	begun := time.Now()
	end := begun.Add(uploadsEnd)
	var uploads sync.WaitGroup
	if trouble {
		for at := uploadAfter; at+uploadFor < uploadsEnd; at += uploadInterval {
			uploads.Go(func() {
				time.Sleep(time.Until(begun.Add(at)))
				upload(f, at, chunks)
			})
		}
	}
	load.run(end)
	uploads.Wait()
	return load.judge(), nil
}

// upload lets many clients send a long body at once, as fast as their links let them.
func upload(f *fleet, at time.Duration, chunks bool) {
	body := strings.Repeat("b", uploadBytes)
	var clients sync.WaitGroup
	for _, gate := range f.gates {
		for number := range uploadsAtOnce {
			clients.Go(func() {
				conn, err := dial(gate.callers)
				if err != nil {
					return
				}
				defer conn.Close()
				request := streamRequest(fmt.Sprintf("long-%v-%s-%d", at, gate.name, number))
				request.chunks, request.slow, request.body = chunks, uploadFor, body
				f.record.add("%s: %v", request.id, conn.send(request, streamDeadline))
			})
		}
	}
	clients.Wait()
}
