package boottime

import (
	"testing"
	"time"
)

func TestNowAgreesWithTheKernel(t *testing.T) {
	for range 1000 {
		before := read()
		now := int64(Now())
		after := read()
		if slack := int64(100 * time.Microsecond); now < before-slack || now > after+slack {
			t.Fatalf("now %d, the kernel says %d to %d", now, before, after)
		}
	}
}

// Symptom: knowledge that is seconds old counts as fresh.
// Events: the machine is suspended, which the monotonic clock does not count.
// Cause: the anchor of before was still used.
func TestSuspensionIsNoticed(t *testing.T) {
	Now()
	const slept = 3 * time.Second
	// Before a suspension both offsets are less by its length.
	stale := *current.Load()
	stale.offset -= int64(slept)
	stale.drift -= int64(slept)
	current.Store(&stale)
	if now, kernel := int64(Now()), read(); kernel-now > int64(tolerance) {
		t.Errorf("the clock is %v behind after a suspension", time.Duration(kernel-now))
	}
}

// Instants never fall, whatever the time of day does.
func TestStepOfTheTimeOfDayMovesNothing(t *testing.T) {
	last := Now()
	for _, step := range []time.Duration{2 * time.Second, -4 * time.Second, time.Microsecond} {
		stepped := *current.Load()
		stepped.drift += int64(step)
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
		_ = read()
	}
}
