package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	clientsPerGate = 8
	streamDeadline = 15 * time.Second
	endsAllowed    = 2 // three ends of a process by itself count
	lostAllowed    = 3 // requests for each machine
)

// streamLoad is clients that send requests for streams, one after the other, on connections that
// they keep.
type streamLoad struct {
	fleet *fleet
	sound []*replica // the replicas that no disruption strikes

	mu            sync.Mutex
	lost          map[string]int // by gate
	asked, served int
}

// run sends requests to all gates until the end.
func (l *streamLoad) run(end time.Time) {
	l.lost = make(map[string]int)
	var clients sync.WaitGroup
	for _, gate := range l.fleet.gates {
		for number := range clientsPerGate {
			clients.Go(func() { l.client(gate, number, end) })
		}
	}
	clients.Wait()
}

func (l *streamLoad) client(gate *process, number int, end time.Time) {
	var conn *connection
	for count := 0; time.Now().Before(end); count++ {
		if conn == nil {
			var err error
			if conn, err = dial(gate.callers); err != nil {
				time.Sleep(50 * time.Millisecond)
				continue
			}
		}
		request := streamRequest(fmt.Sprintf("%s-%d-%d", gate.name, number, count))
		got := conn.send(request, streamDeadline)
		l.fleet.record.add("%s at %s: %v", request.id, gate.name, got)
		l.count(gate, conn, request, got)
		if got.last {
			_ = conn.Close()
			conn = nil
			continue
		}
		time.Sleep(time.Duration(rand.IntN(20)) * time.Millisecond)
	}
	if conn != nil {
		_ = conn.Close()
	}
}

// count counts a request by its result.
func (l *streamLoad) count(gate *process, conn *connection, request *attempt, got *result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asked++
	if got.complete && got.status == http.StatusOK {
		l.served++
	}
	if !got.answered && conn.sent > 1 && arrivedAt(l.sound, request.id) {
		l.lost[gate.name]++
		l.fleet.record.add("%s was passed on to a sound replica, and its kept connection was closed without an answer", request.id)
	}
}

// judge reports whether a rule was broken: LOST, "more than three times", or Fault, "on a tenth of
// the machines in use (two at least) processes end by themselves three times".
func (l *streamLoad) judge() bool {
	broken, often := false, 0
	for _, gate := range l.fleet.gates {
		ends, most := gate.figures()
		l.fleet.record.add("%s: ended by itself %d times, %d MB at most; %d requests on kept connections closed without an answer though a sound replica had them", gate.name, ends, most, l.lost[gate.name])
		if ends > endsAllowed {
			often++
		}
		broken = broken || l.lost[gate.name] > lostAllowed
	}
	l.fleet.record.add("%d requests, %d served; %d machines whose process ended by itself three times or more", l.asked, l.served, often)
	return broken || often >= 2
}

// arrivedAt reports whether the attempt has arrived at one of the replicas.
func arrivedAt(replicas []*replica, attempt string) bool {
	for _, server := range replicas {
		if server.arrivals(attempt) > 0 {
			return true
		}
	}
	return false
}
