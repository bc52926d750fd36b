package daemon

import (
	"context"
	"io"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

type reloadConfig struct {
	Log LogSection `section:"log"`
}

// Guards against SIGHUP killing the process and aborting all its requests: it
// must reload the file instead. A changed file is reloaded without a signal too.
func TestHangupReloadsFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "gate.ini")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("[log]\nlevel = info\n")
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	applied := make(chan string, 10)
	reloader := &Reloader{
		Path:      path,
		Logger:    logger,
		NewConfig: func() any { return new(reloadConfig) },
		Apply:     func(config any) { applied <- config.(*reloadConfig).Log.Level },
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- reloader.Run(ctx) }()
	expect := func(want string) {
		t.Helper()
		select {
		case got := <-applied:
			if got != want {
				t.Errorf("level %q applied, want %q", got, want)
			}
		case <-time.After(5 * time.Second):
			t.Fatalf("nothing was applied, want %q", want)
		}
	}
	write("[log]\nlevel = debug\n") // without a signal
	expect("debug")
	write("[log]\nlevel = loud\n") // invalid: the previous settings stay in force
	time.Sleep(2 * reloadInterval)
	write("[log]\nlevel = error\n")
	expect("error")
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	expect("error")
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// Guards against settings that fall back to their defaults for a second: the
// file may be read after a writer has truncated it and before it has written the
// new content.
func TestHalfWrittenFileIsNotApplied(t *testing.T) {
	path := filepath.Join(t.TempDir(), "gate.ini")
	if err := os.WriteFile(path, nil, 0o600); err != nil { // truncated
		t.Fatal(err)
	}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	var applied []string
	reloader := &Reloader{
		Path:      path,
		Logger:    logger,
		NewConfig: func() any { return new(reloadConfig) },
		Apply:     func(config any) { applied = append(applied, config.(*reloadConfig).Log.Level) },
	}
	reloader.waitForWriter = func() { // the writer completes the file between two reads
		if err := os.WriteFile(path, []byte("[log]\nlevel = error\n"), 0o600); err != nil {
			t.Error(err)
		}
	}
	reloader.reload(true)
	if len(applied) != 1 || applied[0] != "error" {
		t.Errorf("applied %q, want only the complete file", applied)
	}
}

// blockedWriter never returns from a write.
type blockedWriter struct{}

func (blockedWriter) Write([]byte) (int, error) { select {} }

// Guards against requests that stall because nothing reads the log: writing a
// record must not wait for the reader.
func TestLogNeverBlocks(t *testing.T) {
	writer := NewAsyncWriter(blockedWriter{})
	done := make(chan struct{})
	go func() {
		for range 10 * asyncQueueSize {
			writer.Write([]byte("record"))
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("a write blocked")
	}
	if writer.Dropped() == 0 {
		t.Error("dropped records are not counted")
	}
}

// Guards against an exit without the records that tell its cause, which were still queued.
func TestFlushWaitsForQueuedRecords(t *testing.T) {
	output := &slowWriter{}
	writer := NewAsyncWriter(output)
	const records = 20
	for range records {
		_, _ = writer.Write([]byte("record"))
	}
	writer.Flush(time.Minute)
	if got := output.written.Load(); got != records {
		t.Errorf("%d of %d records are written", got, records)
	}
}

// Guards against a process that never exits because nobody reads its log.
func TestFlushOfABlockedWriterEnds(t *testing.T) {
	writer := NewAsyncWriter(blockedWriter{})
	for range 2 * asyncQueueSize {
		_, _ = writer.Write([]byte("record"))
	}
	done := make(chan struct{})
	go func() {
		writer.Flush(time.Millisecond)
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Error("the flush does not end")
	}
}

// slowWriter takes a while for each record.
type slowWriter struct{ written atomic.Int64 }

func (w *slowWriter) Write(record []byte) (int, error) {
	time.Sleep(time.Millisecond)
	w.written.Add(1)
	return len(record), nil
}
