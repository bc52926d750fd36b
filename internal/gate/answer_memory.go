package gate

import (
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

const (
	// uncountedAnswerBytes is what each request may hold of its answer besides answerMemory,
	// which covers nearly all answers and events. So those are not refused the memory that a
	// few large ones have taken.
	uncountedAnswerBytes = 16 << 10
)

// answerMemory bounds the memory of all answers, and events of streams, that are held until
// they are complete. Each of them is bounded as well, but many large ones at once would take
// the process over its memory.
type answerMemory struct{ reserved atomic.Int64 }

// export registers the metric of the reserved memory.
func (m *answerMemory) export(registerer prometheus.Registerer) {
	registerer.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "bluebell_gate_answer_memory_bytes",
		Help: "Memory of large answers, and events of streams, that are held until they are complete.",
	}, func() float64 { return float64(m.reserved.Load()) }))
}

// answerHold is the part of answerMemory that one request has reserved. It is used by one
// goroutine.
type answerHold struct {
	memory   *answerMemory
	limit    func() int64 // of all requests, in bytes
	reserved int64
}

// grow reserves memory so that the request may hold size bytes. It returns false, and reserves
// nothing, if that would exceed the limit of all requests.
func (h *answerHold) grow(size int) bool {
	missing := int64(size) - uncountedAnswerBytes - h.reserved
	if missing <= 0 {
		return true
	}
	if h.memory.reserved.Add(missing) > h.limit() {
		h.memory.reserved.Add(-missing)
		return false
	}
	h.reserved += missing
	return true
}

// release returns what the request has reserved.
func (h *answerHold) release() {
	h.memory.reserved.Add(-h.reserved)
	h.reserved = 0
}
