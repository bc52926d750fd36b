package daemon

import (
	"context"
	"io"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

type reloadConfig struct {
	Log LogSection `section:"log"`
}

// Symptom: all requests of a process are cut.
// Events: the settings file changes and the process gets SIGHUP.
// Cause: SIGHUP ends a process that does not handle it.
func TestHangupReadsTheFileAgain(t *testing.T) {
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
	write("[log]\nlevel = loud\n") // a mistake: the former settings stay
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

// Symptom: settings fall back to their defaults for a second.
// Events: the settings file is written while the process reads it.
// Cause: the file was caught between its truncation and its new content.
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
	reloader.pause = func() { // the writer gets on between two reads
		if err := os.WriteFile(path, []byte("[log]\nlevel = error\n"), 0o600); err != nil {
			t.Error(err)
		}
	}
	reloader.read(true)
	if len(applied) != 1 || applied[0] != "error" {
		t.Errorf("applied %q, want the whole file alone", applied)
	}
}

// blockedWriter never returns from a write.
type blockedWriter struct{}

func (blockedWriter) Write([]byte) (int, error) { select {} }

// Symptom: requests stall.
// Events: whoever reads the log stops reading.
// Cause: writing a record waits for the reader.
func TestLogNeverBlocks(t *testing.T) {
	writer := NewAsyncWriter(blockedWriter{})
	done := make(chan struct{})
	go func() {
		for range 10 * asyncQueue {
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
