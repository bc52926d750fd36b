package rig

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Exit statuses of the scripts.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitNotRun = 2
)

// Attempt is a client attempt: one request with an id of its own.
type Attempt struct {
	ID       string
	Unsafe   bool
	Runs     []string // replicas that ran it
	Answered bool
	Status   int // 0 if no whole answer came
	Signed   bool
	Body     string
}

// Ledger holds what was sent, answered and run.
type Ledger struct {
	record *Record

	mu       sync.Mutex
	attempts map[string]*Attempt
	byWork   map[string][]*Attempt // the attempts of one piece of work, such as a lap crossing
}

// NewLedger returns an empty ledger that also writes to the record.
func NewLedger(record *Record) *Ledger {
	return &Ledger{record: record, attempts: make(map[string]*Attempt), byWork: make(map[string][]*Attempt)}
}

func (l *Ledger) attempt(id string) *Attempt {
	known := l.attempts[id]
	if known == nil {
		known = &Attempt{ID: id}
		l.attempts[id] = known
	}
	return known
}

// Ran records that a replica has begun to run an attempt.
func (l *Ledger) Ran(id, replica string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.attempt(id)
	known.Runs = append(known.Runs, replica)
	l.record.Logf("run %s by %s", id, replica)
}

func (l *Ledger) sent(work, id string, unsafe bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.attempt(id)
	known.Unsafe = unsafe
	l.byWork[work] = append(l.byWork[work], known)
	l.record.Logf("sent %s, unsafe: %t", id, unsafe)
}

func (l *Ledger) answered(id string, status int, signed bool, body string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.attempt(id)
	known.Answered, known.Status, known.Signed, known.Body = true, status, signed, body
	l.record.Logf("answered %s %d, signed: %t, %q", id, status, signed, body)
}

// Attempts returns all attempts.
func (l *Ledger) Attempts() []*Attempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make([]*Attempt, 0, len(l.attempts))
	for _, known := range l.attempts {
		all = append(all, known)
	}
	return all
}

// Work returns the attempts of each piece of work.
func (l *Ledger) Work() map[string][]*Attempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	work := make(map[string][]*Attempt, len(l.byWork))
	for name, attempts := range l.byWork {
		work[name] = attempts
	}
	return work
}

// Traffic of the plain service, by the site's sheet.
const (
	unsafePerS     = 20.6
	safePerS       = 8.22
	clientDeadline = 1500 * time.Millisecond
	clientTries    = 2
	unsafeBody     = 600 // bytes
)

// PlainTraffic sends the plain service's requests to all gates in turn until the context ends,
// and returns when all have ended.
func (s *Site) PlainTraffic(ctx context.Context, ledger *Ledger) {
	var clients, requests sync.WaitGroup
	clients.Go(func() { s.plainTraffic(ctx, ledger, "crossing", true, unsafePerS, &requests) })
	clients.Go(func() { s.plainTraffic(ctx, ledger, "ping", false, safePerS, &requests) })
	clients.Wait()
	requests.Wait()
}

func (s *Site) plainTraffic(ctx context.Context, ledger *Ledger, name string, unsafe bool, perS float64, requests *sync.WaitGroup) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: 10 * time.Second}}
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perS))
	defer ticker.Stop()
	for number := 0; ; number++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		gate := s.Gates[number%len(s.Gates)]
		requests.Go(func() { sendPlain(client, gate, ledger, fmt.Sprintf("%s%d", name, number), unsafe) })
	}
}

// sendPlain sends one request, and once more if the answer promises that it hasn't run.
func sendPlain(client *http.Client, gate *Gate, ledger *Ledger, work string, unsafe bool) {
	ctx, cancel := context.WithTimeout(context.Background(), clientDeadline)
	defer cancel()
	for try := range clientTries {
		status, wait := sendAttempt(ctx, client, gate, ledger, work, fmt.Sprintf("%s-%d", work, try), unsafe)
		if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

func sendAttempt(ctx context.Context, client *http.Client, gate *Gate, ledger *Ledger, work, id string, unsafe bool) (int, time.Duration) {
	method, path, body := http.MethodGet, PathSafe, io.Reader(nil)
	if unsafe {
		method, path, body = http.MethodPost, PathUnsafe, strings.NewReader(strings.Repeat("x", unsafeBody))
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+gate.Callers()+path+work, body)
	if err != nil {
		return 0, 0
	}
	request.GetBody = nil // so that the library doesn't send it again by itself
	request.Host = SiteHost
	request.Header.Set(HeaderAttempt, id)
	request.Header.Set(HeaderDeadline, fmt.Sprint(clientDeadline.Milliseconds()))
	ledger.sent(work, id, unsafe)
	response, err := client.Do(request)
	if err != nil {
		ledger.answered(id, 0, false, err.Error())
		return 0, 0
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		ledger.answered(id, 0, false, err.Error())
		return 0, 0
	}
	ledger.answered(id, response.StatusCode, response.Header.Get(HeaderSignature) != "", string(text))
	wait, _ := time.ParseDuration(response.Header.Get(HeaderRetryAfter) + "s")
	return response.StatusCode, wait
}
