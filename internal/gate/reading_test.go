package gate

import (
	"context"
	"testing"
	"time"
)

// awaited returns how long a request waited for the part.
func awaited(r *reading, part uint64, most time.Duration) time.Duration {
	began := time.Now()
	r.await(context.Background(), part, most)
	return time.Since(began)
}

// Symptom: engines read the same shared parts again and again.
// Events: requests with the same part arrive within its reading time.
// Cause: an engine keeps a part once it is read, so each of them reads it.
func TestRequestWaitsForThePartToBeRead(t *testing.T) {
	r := newReading()
	r.begin(7)
	time.AfterFunc(60*time.Millisecond, func() { r.end(7) })
	if took := awaited(r, 7, time.Second); took < 50*time.Millisecond || took > 500*time.Millisecond {
		t.Errorf("it waited %v, the part took 60ms", took)
	}
	if took := awaited(r, 7, time.Second); took > 20*time.Millisecond {
		t.Errorf("it waited %v for nothing", took)
	}
}

func TestRequestDoesNotWaitForGood(t *testing.T) {
	r := newReading()
	r.begin(7)
	if took := awaited(r, 7, 50*time.Millisecond); took < 40*time.Millisecond || took > 500*time.Millisecond {
		t.Errorf("it waited %v, 50ms are allowed", took)
	}
}

func TestPartsOfOtherRoutersCount(t *testing.T) {
	r := newReading()
	r.setOther("a", []uint64{7})
	time.AfterFunc(60*time.Millisecond, func() { r.setOther("a", nil) })
	if took := awaited(r, 7, time.Second); took < 50*time.Millisecond {
		t.Errorf("it waited %v", took)
	}
	r.setOther("a", []uint64{7})
	time.AfterFunc(60*time.Millisecond, func() { r.removeOther("a") })
	if took := awaited(r, 7, time.Second); took > 500*time.Millisecond {
		t.Errorf("it waited %v for a lost router", took)
	}
	if got := r.list(); len(got) != 0 {
		t.Errorf("%v is told as this router's own", got)
	}
}
