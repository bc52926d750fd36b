package engine

import (
	"sync"
	"time"
)

// RunState is the state of a run.
type RunState string

// The states of a run.
const (
	RunRunning   RunState = "running"
	RunComplete  RunState = "complete"
	RunCancelled RunState = "cancelled"
	RunCrashed   RunState = "crashed"
)

// Run is a ledger entry: one run of one request. Times are Unix nanoseconds, or
// 0 if not reached yet.
type Run struct {
	ID           string   `json:"id"`
	State        RunState `json:"state"`
	StartedNS    int64    `json:"began_ns"`
	FirstTokenNS int64    `json:"first_ns,omitempty"` // first token
	EndedNS      int64    `json:"ended_ns,omitempty"`
	PromptTokens int      `json:"prompt_tokens,omitempty"`
	CachedTokens int      `json:"cached_tokens,omitempty"`
	Tokens       int      `json:"tokens,omitempty"` // generated so far
}

// ledger records every run since the engine was created. Simulated crashes do
// not clear it.
type ledger struct {
	mu   sync.Mutex
	runs []*Run
	byID map[string]int // number of runs by request id
}

func newLedger() *ledger { return &ledger{byID: make(map[string]int)} }

// start records the start of a run and returns it with the number of runs of the
// request id so far.
func (l *ledger) start(id string, now time.Time) (*Run, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	run := &Run{ID: id, State: RunRunning, StartedNS: now.UnixNano()}
	l.runs = append(l.runs, run)
	l.byID[id]++
	return run, l.byID[id]
}

// update calls change, which may modify a run, with the ledger locked.
func (l *ledger) update(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
}

// end records the end of a run, unless it has ended already.
func (l *ledger) end(run *Run, state RunState, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if run.State == RunRunning {
		run.State = state
		run.EndedNS = now.UnixNano()
	}
}

// snapshot copies the runs that started at or after since and those still running.
func (l *ledger) snapshot(since time.Time) []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	var runs []Run
	for _, run := range l.runs {
		if run.StartedNS >= since.UnixNano() || run.State == RunRunning {
			runs = append(runs, *run)
		}
	}
	return runs
}

// count returns the number of runs of a request id.
func (l *ledger) count(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byID[id]
}
