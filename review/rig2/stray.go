package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	strayReplicas = 4
	strayFaulty   = 2    // of the replicas
	strayShare    = 0.03 // of their answers
	strayFor      = 5 * time.Second
	strayPause    = 3 * time.Second
	strayTimes    = 6
	strayEvery    = 34 * time.Millisecond // between two requests, of all clients together
	strayWork     = 30 * time.Millisecond
)

// strayAnswer is what a faulty replica sends after a complete answer: a response that bears no id,
// so that it belongs to no request.
const strayAnswer = "HTTP/1.1 503 Service Unavailable\r\n" + headerRefused + ": 1\r\nContent-Length: 0\r\n\r\n"

// wireReplica is a stand-in of a plain server that speaks on its connections by itself. It echoes
// the id of each request in its answer.
type wireReplica struct {
	id     string
	fleet  *fleet
	faulty *atomic.Bool // whether it sends additional bytes now, nil for never
	runs   *runCount
}

// runCount counts how often each attempt has run.
type runCount struct {
	mu   sync.Mutex
	runs map[string][]string // the replicas, by attempt
}

func (c *runCount) add(attempt, server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[attempt] = append(c.runs[attempt], server)
}

// serve accepts connections on a free port.
func (s *wireReplica) serve() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s.fleet.closers = append(s.fleet.closers, listener)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serveConn(conn)
		}
	}()
	return listener.Addr().String(), nil
}

func (s *wireReplica) serveConn(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	stray := false // additional bytes are due, at the point where the next response is expected
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		attempt := request.Header.Get(headerAttempt)
		if stray {
			s.fleet.record.add("%s sends additional bytes that belong to no request; the next request there is %s", s.id, attempt)
			if _, err := io.WriteString(conn, strayAnswer); err != nil {
				return
			}
		}
		if expected := request.Header.Get(headerExpect); expected != "" && expected != s.id {
			fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", headerReplica, s.id)
			continue
		}
		s.runs.add(attempt, s.id)
		s.fleet.record.add("%s runs %s", s.id, attempt)
		time.Sleep(strayWork)
		body := `{"server":"` + s.id + `"}`
		_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s.%s\r\nKeep-Alive: timeout=5\r\nContent-Length: %d\r\n\r\n%s",
			headerAttempt, attempt, headerSignature, s.id, attempt, len(body), body)
		if err != nil {
			return
		}
		stray = s.faulty != nil && s.faulty.Load() && rand.Float64() < strayShare
	}
}

// playStray lets replicas send additional bytes after complete answers, late and without an id, on
// a deployment whose unsafe route lets two replicas be tried.
func playStray(f *fleet, trouble bool) (bool, error) {
	config := plainConfig(3, "kitchen-key")
	config["routes"].([]spec)[0]["max_attempts"] = 2
	f.store.Put("config", "main", config)
	faulty := new(atomic.Bool)
	count := &runCount{runs: make(map[string][]string)}
	for i := range strayReplicas {
		server := &wireReplica{id: fmt.Sprintf("b-%d", i), fleet: f, runs: count}
		if i < strayFaulty {
			server.faulty = faulty
		}
		address, err := server.serve()
		if err != nil {
			return false, err
		}
		f.putServer(server.id, "board", address, 6, nil)
	}
	if err := f.start(); err != nil {
		return false, err
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	begun := time.Now()
	var clients sync.WaitGroup
	for number := 0; time.Since(begun) < strayTimes*(strayFor+strayPause); number++ {
		faulty.Store(trouble && time.Since(begun)%(strayFor+strayPause) > strayPause)
		gate := f.gates[number%len(f.gates)]
		clients.Go(func() {
			conn, err := dial(gate.callers)
			if err != nil {
				return
			}
			defer conn.Close()
			id := fmt.Sprintf("u-%d", number)
			request := &attempt{id: id, method: http.MethodPost, path: "/sheet/" + id, body: "x", header: [][2]string{{headerKey, "kitchen-key"}, {headerDeadline, "1500"}}}
			f.record.add("%s at %s: %v", id, gate.name, conn.send(request, 1500*time.Millisecond))
		})
		time.Sleep(strayEvery)
	}
	clients.Wait()
	time.Sleep(time.Second)
	count.mu.Lock()
	defer count.mu.Unlock()
	twice := 0
	for attempt, servers := range count.runs {
		if len(servers) > 1 {
			twice++
			f.record.add("%s, which may run once, has run at %v", attempt, servers)
		}
	}
	f.record.add("%d requests have run, %d of them more than once", len(count.runs), twice)
	return twice > 0, nil
}
