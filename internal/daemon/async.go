package daemon

import (
	"io"
	"sync/atomic"
)

// asyncQueue is how many log records may wait to be written.
const asyncQueue = 512

// AsyncWriter writes to another writer without blocking its callers. When that
// writer does not keep up, records are dropped and counted: a request must
// never wait for a log.
type AsyncWriter struct {
	queue   chan []byte
	dropped atomic.Uint64
}

// NewAsyncWriter returns a writer that passes what it is given on to out for
// as long as the process lives.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{queue: make(chan []byte, asyncQueue)}
	go func() {
		for record := range w.queue {
			_, _ = out.Write(record) // there is nowhere else to tell it
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

// Dropped returns how many records were dropped.
func (w *AsyncWriter) Dropped() uint64 { return w.dropped.Load() }
