package boottime

import (
	"testing"
	"time"
)

func TestNowAgreesWithTheKernel(t *testing.T) {
	for range 1000 {
		before := readKernel()
		now := int64(Now())
		after := readKernel()
		if slack := int64(100 * time.Microsecond); now < before-slack || now > after+slack {
			t.Fatalf("now %d, want %d to %d as read from the kernel", now, before, after)
		}
	}
}

// The monotonic clock does not count a suspension. If the anchor from before were still
// used, state that is seconds old would count as fresh.
func TestSuspensionIsDetected(t *testing.T) {
	Now()
	const suspended = 3 * time.Second
	// An anchor from before a suspension has both offsets smaller by its length.
	stale := *current.Load()
	stale.bootOffset -= int64(suspended)
	stale.wallOffset -= int64(suspended)
	current.Store(&stale)
	if now, kernel := int64(Now()), readKernel(); kernel-now > int64(tolerance) {
		t.Errorf("the clock is %v behind after a suspension", time.Duration(kernel-now))
	}
}

// Instants never decrease when the wall clock is stepped.
func TestWallClockStepDoesNotMoveInstants(t *testing.T) {
	last := Now()
	for _, step := range []time.Duration{2 * time.Second, -4 * time.Second, time.Microsecond} {
		stepped := *current.Load()
		stepped.wallOffset += int64(step)
		current.Store(&stepped)
		now := Now()
		if now < last || now.Sub(last) > time.Second {
			t.Errorf("a step of %v moved the clock by %v", step, now.Sub(last))
		}
		last = now
	}
}

func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		_ = Now()
	}
}

func BenchmarkRead(b *testing.B) {
	for b.Loop() {
		_ = readKernel()
	}
}
