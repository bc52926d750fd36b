package daemon

import (
	"io"
	"sync/atomic"
	"time"
)

// asyncQueueSize is the maximum number of log records that wait to be written.
const asyncQueueSize = 512

// AsyncWriter writes to another writer without blocking its callers. Records
// that the other writer can't keep up with are dropped and counted, since a
// request must never wait for the log.
type AsyncWriter struct {
	queue   chan queuedRecord
	dropped atomic.Uint64
}

// queuedRecord is a record to be written, or a request to report that all
// records before it have been written.
type queuedRecord struct {
	record  []byte
	written chan<- struct{} // nil for a record
}

// NewAsyncWriter returns a writer that forwards records to out until the process
// exits.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{queue: make(chan queuedRecord, asyncQueueSize)}
	go func() {
		for queued := range w.queue {
			if queued.written != nil {
				close(queued.written)
				continue
			}
			_, _ = out.Write(queued.record) // there is nowhere else to report it
		}
	}()
	return w
}

// Write implements io.Writer. It never fails and never blocks.
func (w *AsyncWriter) Write(record []byte) (int, error) {
	select {
	case w.queue <- queuedRecord{record: append([]byte(nil), record...)}:
	default:
		w.dropped.Add(1)
	}
	return len(record), nil
}

// Flush waits until the records so far have been written, at most for the
// timeout. Without it the last records of a process, which tell why it ended,
// are lost.
func (w *AsyncWriter) Flush(timeout time.Duration) {
	expired := time.After(timeout)
	written := make(chan struct{})
	select {
	case w.queue <- queuedRecord{written: written}:
	case <-expired:
		return
	}
	select {
	case <-written:
	case <-expired:
	}
}

// Dropped returns the number of dropped records.
func (w *AsyncWriter) Dropped() uint64 { return w.dropped.Load() }
