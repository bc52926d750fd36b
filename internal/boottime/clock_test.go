package boottime

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// simClocks are the clocks of a VM in simulated time. Every read takes readTime.
type simClocks struct {
	monotonic, suspended, stepped int64
	beforeRead                    func()
}

const readTime = int64(200)

func (s *simClocks) read() {
	s.monotonic += readTime
	if s.beforeRead != nil {
		s.beforeRead()
	}
}

func (s *simClocks) bootTime() int64 { return s.monotonic + s.suspended }

func (s *simClocks) clock() clock {
	return clock{
		local: func() (int64, int64) {
			s.read()
			return s.monotonic, s.suspended + s.stepped
		},
		boot: func() int64 {
			s.read()
			return s.bootTime()
		},
		anchor: new(atomic.Pointer[anchor]),
	}
}

// Guards against instants that go back, and stay behind, when the process is stopped
// between the reads of two clocks.
func TestStallWhileTheAnchorIsReadDoesNotMoveInstants(t *testing.T) {
	const stall = int64(500 * time.Millisecond)
	for stalledRead := range 6 {
		clocks := &simClocks{}
		clock := clocks.clock()
		before := clock.now()
		reads := 0
		clocks.stepped += int64(2 * time.Second)
		clocks.beforeRead = func() {
			if reads == stalledRead {
				clocks.monotonic += stall
			}
			reads++
		}
		if now := clock.now(); now < before {
			t.Errorf("a stall at read %d moved the clock by %v", stalledRead, now.Sub(before))
		}
		clocks.beforeRead = nil
		if now := int64(clock.now()); clocks.bootTime()-now > maxAnchorError {
			t.Errorf("after a stall at read %d the clock is %v behind", stalledRead, time.Duration(clocks.bootTime()-now))
		}
	}
}

// Guards against a clock that is behind from the start, because the process was stopped
// while it read its first anchor.
func TestStallWhileTheFirstAnchorIsRead(t *testing.T) {
	for stalledRead := range 6 {
		clocks := &simClocks{}
		clock := clocks.clock()
		reads := 0
		clocks.beforeRead = func() {
			if reads == stalledRead {
				clocks.monotonic += int64(500 * time.Millisecond)
			}
			reads++
		}
		clock.now()
		clocks.beforeRead = nil
		if now := int64(clock.now()); clocks.bootTime()-now > maxAnchorError {
			t.Errorf("after a stall at read %d the clock is %v behind", stalledRead, time.Duration(clocks.bootTime()-now))
		}
	}
}

// Guards against a suspension that goes unnoticed because it falls between the reads of two
// clocks.
func TestSuspensionWhileTheAnchorIsRead(t *testing.T) {
	for suspendedRead := range 6 {
		clocks := &simClocks{}
		clock := clocks.clock()
		clock.now()
		reads := 0
		clocks.stepped -= int64(2 * time.Second)
		clocks.beforeRead = func() {
			if reads == suspendedRead {
				clocks.suspended += int64(3 * time.Second)
			}
			reads++
		}
		clock.now()
		clocks.beforeRead = nil
		if now := int64(clock.now()); clocks.bootTime()-now > maxAnchorError {
			t.Errorf("after a suspension at read %d the clock is %v behind", suspendedRead, time.Duration(clocks.bootTime()-now))
		}
	}
}

// Guards against instants that decrease, or differ from the boot-time clock, after any
// sequence of stalls, suspensions and steps of the wall clock.
func TestInstantsFollowTheBootTimeClock(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clocks := &simClocks{}
		clock := clocks.clock()
		duration := rapid.Int64Range(2*tolerance, int64(time.Second))
		calmReads := 0
		clocks.beforeRead = func() {
			calmReads++
			switch rapid.IntRange(0, 12).Draw(t, "event") {
			case 0:
				clocks.monotonic += duration.Draw(t, "stall")
			case 1:
				clocks.suspended += duration.Draw(t, "suspension")
			case 2:
				// Forward only: a step back of the length of a suspension would hide it.
				clocks.stepped += duration.Draw(t, "step")
			default:
				return
			}
			calmReads = 0
		}
		last := Instant(0)
		for range 50 {
			earliest := clocks.bootTime()
			now := clock.now()
			if now < last {
				t.Fatalf("the clock went back by %v", last.Sub(now))
			}
			if int64(now) > clocks.bootTime() {
				t.Fatalf("the clock is %v ahead", time.Duration(int64(now)-clocks.bootTime()))
			}
			const maxReads = 4 // of a call that renews the anchor with exact reads
			if behind := earliest - int64(now); calmReads >= maxReads && behind > maxAnchorError {
				t.Fatalf("the clock is %v behind", time.Duration(behind))
			}
			last = now
		}
	})
}

// Guards against instants that decrease in a goroutine while others renew the anchor.
func TestInstantsNeverDecreaseWhileTheAnchorIsRenewed(t *testing.T) {
	const duration = 200 * time.Millisecond
	var readers sync.WaitGroup
	end := time.Now().Add(duration)
	for range 4 {
		readers.Go(func() {
			for last := Now(); time.Now().Before(end); {
				now := Now()
				if now < last {
					t.Errorf("the clock went back by %v", last.Sub(now))
					return
				}
				last = now
			}
		})
	}
	for time.Now().Before(end) {
		system.renewAnchor()
	}
	readers.Wait()
}
