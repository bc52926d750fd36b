package main

import (
	"context"
	"io"
	"strings"
	"testing"
)

// stopWriter keeps what is written and stops the fleet at the end of the
// welcome text.
type stopWriter struct {
	strings.Builder
	stop context.CancelFunc
}

func (w *stopWriter) Write(p []byte) (int, error) {
	n, err := w.Builder.Write(p)
	if strings.Contains(w.String(), "Ctrl-C ends it") {
		w.stop()
	}
	return n, err
}

// TestFirstTry starts the whole fleet. The welcome text comes only once a call
// of each service has been answered.
func TestFirstTry(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	out := &stopWriter{stop: stop}
	if err := run(ctx, options{LogLevel: "error"}, out, io.Discard); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(out.String(), "curl -s http://127.0.0.1:") {
		t.Errorf("no curl line in\n%s", out)
	}
}
