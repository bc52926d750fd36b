package pathtest

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/router"
)

// TestPathGuarantees draws requests and faults of the network and the nodes:
// lost, delayed, duplicated and misdirected messages, restarts with empty state,
// pauses and partitions. In all cases a request that is not idempotent runs at
// most once, no request that ran is reported as not run, a complete answer is the
// one that was made for the request, and each request gets one final result.
func TestPathGuarantees(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t, rapid.IntRange(1, 3).Draw(t, "routers"), rapid.IntRange(1, 3).Draw(t, "agents"),
			rapid.Uint64().Draw(t, "seed"))
		s.fault = s.randomFaults(rapid.Float64Range(0, 0.05).Draw(t, "rate"))
		keys := make(map[string][]*simCall)
		for range rapid.IntRange(1, 25).Draw(t, "calls") {
			s.drawCall(t, keys)
			s.drawFault(t)
			s.run(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
		}
		s.fault = func(*message) {}
		s.settle()
		for _, call := range s.calls {
			if err := s.checkCall(call); err != nil {
				t.Fatal(err)
			}
		}
		for key, calls := range keys {
			runs := 0
			for _, call := range calls {
				runs += s.runs[call.request.ID]
			}
			if runs > 1 {
				t.Fatalf("%d runs of the requests with key %s", runs, key)
			}
		}
	})
}

func (s *sim) drawCall(t *rapid.T, keys map[string][]*simCall) {
	n := s.routers[rapid.IntRange(0, len(s.routers)-1).Draw(t, "router")]
	account := fleet.Account(rapid.SampledFrom([]string{"acme/lab/ann", "acme/lab/bob"}).Draw(t, "account"))
	key := ""
	if rapid.IntRange(0, 3).Draw(t, "keyed") == 0 {
		key = s.keyFor(rapid.IntRange(0, 2).Draw(t, "key"))
	}
	call := s.submit(n, account, func(request *router.Request) {
		request.Stream = rapid.Bool().Draw(t, "stream")
		request.Idempotent = key == "" && rapid.Bool().Draw(t, "idempotent")
		request.Deadline = s.now.Add(time.Duration(rapid.IntRange(200, 30000).Draw(t, "deadline")) * time.Millisecond)
		request.Key = key
	})
	if key != "" {
		name := fmt.Sprint(account, key)
		keys[name] = append(keys[name], call)
	}
}

// keyFor returns the key with the given index, a UUIDv7 that is made on first use.
func (s *sim) keyFor(number int) string {
	for len(s.keys) <= number {
		s.keys = append(s.keys, s.newID().String())
	}
	return s.keys[number]
}

// drawFault draws a fault of a node or of the network, or none.
func (s *sim) drawFault(t *rapid.T) {
	nodes := s.nodes()
	n := nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "node")]
	span := time.Duration(rapid.IntRange(10, 8000).Draw(t, "span")) * time.Millisecond
	switch rapid.IntRange(0, 14).Draw(t, "fault") {
	case 0:
		s.crash(n)
	case 1:
		n.pausedUntil = s.now.Add(span)
	case 2:
		s.partition(func(a, b *simNode) bool { return (a == n) != (b == n) }, span)
	case 3:
		// Two nodes are cut off from each other only.
		other := nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "other")]
		s.partition(func(a, b *simNode) bool { return a == n && b == other || a == other && b == n }, span)
	}
}

// randomFaults returns a function that drops, delays, duplicates or misdirects
// a fraction of the messages. It leaves callers' requests alone.
func (s *sim) randomFaults(rate float64) func(*message) {
	return func(m *message) {
		if m.step == fleet.StepAccept && m.from == m.to || s.random.Float64() >= rate {
			return
		}
		switch s.random.IntN(4) {
		case 0:
			m.dropped = true
		case 1:
			m.delay += time.Duration(s.random.IntN(3000)) * time.Millisecond
		case 2:
			m.duplicated = true
		case 3:
			m.crossed = true
		}
	}
}
