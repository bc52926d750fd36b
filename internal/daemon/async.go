package daemon

import (
	"io"
	"sync/atomic"
)

// asyncQueueSize is the maximum number of log records that wait to be written.
const asyncQueueSize = 512

// AsyncWriter writes to another writer without blocking its callers. Records
// that the other writer can't keep up with are dropped and counted, since a
// request must never wait for the log.
type AsyncWriter struct {
	queue   chan []byte
	dropped atomic.Uint64
}

// NewAsyncWriter returns a writer that forwards records to out until the process
// exits.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{queue: make(chan []byte, asyncQueueSize)}
	go func() {
		for record := range w.queue {
			_, _ = out.Write(record) // there is nowhere else to report it
		}
	}()
	return w
}

// Write implements io.Writer. It never fails and never blocks.
func (w *AsyncWriter) Write(record []byte) (int, error) {
	select {
	case w.queue <- append([]byte(nil), record...):
	default:
		w.dropped.Add(1)
	}
	return len(record), nil
}

// Dropped returns the number of dropped records.
func (w *AsyncWriter) Dropped() uint64 { return w.dropped.Load() }
