package gate

import (
	"sync/atomic"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
)

// drainState tells how far the process is on its way to its end. Its methods may be called
// concurrently.
type drainState struct {
	began  atomic.Int64 // boottime.Instant of the signal to stop, 0 before it
	closed atomic.Bool  // no connections are accepted any more
}

func (d *drainState) begin(now boottime.Instant) { d.began.Store(int64(now)) }

func (d *drainState) draining() bool { return d.began.Load() != 0 }

// since returns the time since the signal to stop.
func (d *drainState) since(now boottime.Instant) time.Duration {
	return now.Sub(boottime.Instant(d.began.Load()))
}
