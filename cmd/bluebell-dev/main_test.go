package main

import (
	"context"
	"io"
	"strings"
	"testing"
)

// stopWriter records the output and stops the fleet at the end of the welcome
// text.
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

// TestBothFleetsAnswerCalls starts each of the fleets. The welcome text is printed
// only after calls have been answered.
func TestBothFleetsAnswerCalls(t *testing.T) {
	for name, test := range map[string]struct {
		options options
		want    string
	}{
		"platform": {options{LogLevel: "error"}, "curl -sN http://127.0.0.1:"},
		"agents":   {options{LogLevel: "error", Agents: true}, "curl -s http://127.0.0.1:"},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			out := &stopWriter{stop: stop}
			if err := run(ctx, test.options, out, io.Discard); err != nil {
				t.Fatal(err)
			}
			if !strings.Contains(out.String(), test.want) {
				t.Errorf("no curl command in\n%s", out)
			}
		})
	}
}
