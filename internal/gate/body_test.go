package gate

import (
	"testing"

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
