package platform

import (
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"
)

// Call is one kind of platform call.
type Call int

// The kinds of call. A watch counts as one call however long it waits.
const (
	CallGet Call = iota
	CallPut
	CallDelete
	CallList
	CallWatch
	CallVMs
)

// CallCounts counts the calls that reached the platform, including rejected
// ones.
type CallCounts struct {
	Get    uint64 `json:"get"`
	Put    uint64 `json:"put"`
	Delete uint64 `json:"delete"`
	List   uint64 `json:"list"`
	Watch  uint64 `json:"watch"`
	VMs    uint64 `json:"vms"`
}

// Total returns the number of all calls.
func (c CallCounts) Total() uint64 {
	return c.Get + c.Put + c.Delete + c.List + c.Watch + c.VMs
}

func (c *CallCounts) add(call Call) {
	switch call {
	case CallGet:
		c.Get++
	case CallPut:
		c.Put++
	case CallDelete:
		c.Delete++
	case CallList:
		c.List++
	case CallWatch:
		c.Watch++
	case CallVMs:
		c.VMs++
	}
}

// The platform's default rate limits, in calls per second.
const (
	DefaultWritesPerSecond = 400
	DefaultReadsPerSecond  = 2000
)

// limits are the platform's two rate limits.
type limits struct {
	writes *rate.Limiter
	reads  *rate.Limiter
}

func newLimits(writesPerSecond, readsPerSecond int) limits {
	return limits{
		writes: newLimiter(writesPerSecond, DefaultWritesPerSecond),
		reads:  newLimiter(readsPerSecond, DefaultReadsPerSecond),
	}
}

// newLimiter returns a limiter that allows bursts of one second's worth of
// calls.
func newLimiter(perSecond, defaultRate int) *rate.Limiter {
	if perSecond == 0 {
		perSecond = defaultRate
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

// allow consumes one call from the limit of its kind, or returns
// ErrRateLimited.
func (l limits) allow(call Call, now time.Time) error {
	limiter := l.reads
	if call == CallPut || call == CallDelete {
		limiter = l.writes
	}
	if !limiter.AllowN(now, 1) {
		return errors.WithStack(ErrRateLimited)
	}
	return nil
}
