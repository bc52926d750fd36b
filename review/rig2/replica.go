package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Headers of the users' pages.
const (
	headerAttempt   = "X-Bluebellchute-Attempt-Id"
	headerSignature = "X-Bluebellchute-Replica-Signature"
	headerExpect    = "X-Bluebellchute-Expect-Replica"
	headerReplica   = "X-Bluebellchute-Replica-Id"
	headerRefused   = "X-Bluebellchute-Not-Executed"
	headerDeadline  = "X-Bluebellchute-Deadline-Ms"
	headerKey       = "X-Bluebellchute-Key"
	headerUsage     = "X-Bluebellchute-Token-Usage"
	headerPrefix    = "X-Bluebellchute-Prompt-Prefix"
	headerModel     = "X-Bluebellchute-Model"
	headerLastEvent = "Last-Event-Id"
	headerResumes   = "Resumes"
)

// replica is a stand-in of a backend server. It follows PROTOCOL.md.
type replica struct {
	id      string
	fleet   *fleet
	version string
	stream  bool
	events  int           // of a stream
	first   time.Duration // until the first event, or of a plain request
	pause   time.Duration // between two events
	// spoil may spoil the answer to a request in place of the proper one. It reports whether it
	// did. It is nil for none.
	spoil func(w http.ResponseWriter, r *http.Request) bool

	mu      sync.Mutex
	arrived map[string]int // by attempt
}

// arrivals returns how often the attempt has arrived.
func (s *replica) arrivals(attempt string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.arrived[attempt]
}

// ServeHTTP implements http.Handler.
func (s *replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get(headerAttempt)
	if expected := r.Header.Get(headerExpect); expected != "" && expected != s.id {
		w.Header().Set(headerReplica, s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if attempt == "" {
		w.Header().Set(headerRefused, "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // broken off
	}
	s.mu.Lock()
	if s.arrived == nil {
		s.arrived = make(map[string]int)
	}
	s.arrived[attempt]++
	s.mu.Unlock()
	s.fleet.record.add("%s runs %s", s.id, attempt)
	if s.spoil != nil && s.spoil(w, r) {
		return
	}
	w.Header().Set(headerAttempt, attempt)
	w.Header().Set(headerSignature, s.id+"."+attempt)
	if !wait(r, s.first) {
		return
	}
	if !s.stream {
		_, _ = io.WriteString(w, `{"server":"`+s.id+`"}`)
		return
	}
	s.writeEvents(w, r)
}

func (s *replica) writeEvents(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	after, _ := strconv.Atoi(r.Header.Get(headerLastEvent)) // 0 for none
	control := http.NewResponseController(w)
	for event := after + 1; event <= s.events; event++ {
		fmt.Fprintf(w, "id: %d\ndata: %s %s %d\n\n", event, s.id, s.version, event)
		if control.Flush() != nil || event < s.events && !wait(r, s.pause) {
			return
		}
	}
}

// wait waits, and returns false if the caller leaves meanwhile.
func wait(r *http.Request, duration time.Duration) bool {
	select {
	case <-r.Context().Done():
		return false
	case <-time.After(duration):
		return true
	}
}
