package gate

import (
	"bytes"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against memory that is taken beyond the limit, or that stays reserved when requests have
// ended.
func TestMemoryBudgetIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 1000
		var budget memoryBudget
		parts := make([]int64, 5)
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			part := &parts[rapid.IntRange(0, len(parts)-1).Draw(t, "request")]
			if rapid.IntRange(0, 4).Draw(t, "end") == 0 {
				budget.release(part)
				continue
			}
			before := *part
			size := rapid.Int64Range(-10, limit+10).Draw(t, "size")
			granted := budget.grow(part, size, limit)
			if !granted && *part != before || granted && *part != max(before, size) {
				t.Fatalf("%d after %d for %d, granted %v", *part, before, size, granted)
			}
			sum := int64(0)
			for _, part := range parts {
				sum += part
			}
			if sum > limit || sum != budget.reserved.Load() {
				t.Fatalf("%d in use, %d reserved", sum, budget.reserved.Load())
			}
		}
	})
}

// Guards against short bodies that each take a buffer for a longer one.
func TestBufferOfABodyFitsItsStatedLength(t *testing.T) {
	h := &handler{settings: newCurrentSettings(Settings{BodyMemory: 1 << 20})}
	for _, size := range []int{1, 4, 900, 4095, 4096, 4097, 5000, 65_536} {
		body := strings.Repeat("x", size)
		request := &Request{Timeout: time.Second}
		var held int64
		refusal := h.readWholeBody(httptest.NewRecorder(), httptest.NewRequest("POST", "/x", strings.NewReader(body)), request, 0, &held)
		if refusal != nil || string(request.Body) != body {
			t.Fatalf("%d bytes: refused with %v, or changed", size, refusal)
		}
		if room := cap(request.Body) - size; room > bytes.MinRead || held < int64(cap(request.Body)) {
			t.Errorf("%d bytes: the buffer has room for %d more, and %d are held", size, room, held)
		}
	}
}
