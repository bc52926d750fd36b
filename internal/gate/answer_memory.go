package gate

import (
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

const (
	// uncountedAnswerBytes is what each request may hold of its answer without reserving it,
	// which covers nearly all answers and events. So those are not refused the memory that a
	// few large ones have taken.
	uncountedAnswerBytes = 16 << 10
)

// memoryBudget is memory that several requests share. Its methods may be called concurrently.
type memoryBudget struct{ reserved atomic.Int64 }

// grow adds to a request's part of the budget what it lacks of size. It returns false, and adds
// nothing, if all parts together would exceed the limit.
func (b *memoryBudget) grow(part *int64, size, limit int64) bool {
	missing := size - *part
	if missing <= 0 {
		return true
	}
	if b.reserved.Add(missing) > limit {
		b.reserved.Add(-missing)
		return false
	}
	*part += missing
	return true
}

// release returns a request's part.
func (b *memoryBudget) release(part *int64) {
	b.reserved.Add(-*part)
	*part = 0
}

// exportAnswerMemory registers the metric of the memory that answers have reserved.
func exportAnswerMemory(memory *memoryBudget, registerer prometheus.Registerer) {
	registerer.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "bluebell_gate_answer_memory_bytes",
		Help: "Memory of large answers, and events of streams, that are held until they are complete.",
	}, func() float64 { return float64(memory.reserved.Load()) }))
}

// answerHold is the memory that one answer has reserved. All answers, and events of streams, that
// are held until they are complete share it: each of them is bounded as well, but many large ones
// at once would take the process over its memory. It is used by one goroutine.
type answerHold struct {
	memory *memoryBudget
	limit  func() int64 // of all answers, in bytes
	part   int64
}

// grow reserves memory so that the answer may hold size bytes. It returns false, and reserves
// nothing, if that would exceed the limit of all answers.
func (h *answerHold) grow(size int) bool {
	return h.memory.grow(&h.part, int64(size)-uncountedAnswerBytes, h.limit())
}

// release returns what the answer has reserved.
func (h *answerHold) release() { h.memory.release(&h.part) }
