package daemon

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bluebellchute/bluebellchute/internal/event"
	"github.com/bluebellchute/bluebellchute/internal/inifile"
)

// reloadInterval is the pause between two looks at the configuration file,
// which may change without a signal.
const reloadInterval = time.Second

// Reloader reads a configuration file again on SIGHUP and when it changes.
type Reloader struct {
	Path   string
	Logger logrus.FieldLogger
	// NewConfig returns an empty configuration for package inifile.
	NewConfig func() any
	// Apply takes a configuration without mistakes.
	Apply func(config any)

	pause   func() // between two reads, nil for settlePause; a test puts its own
	content []byte // as applied last; empty at first, as the file may have changed since the start
}

// Run reads the file again until the context ends. Without it, SIGHUP would
// end the process and cut all its requests.
func (r *Reloader) Run(ctx context.Context) error {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-hangups:
			r.read(true)
		case <-ticker.C:
			r.read(false)
		}
	}
}

const (
	// settlePause is the pause between two reads of the file that must agree.
	settlePause = 20 * time.Millisecond
	// settleReads bounds them; a file that never settles is read as it is.
	settleReads = 10
)

// settled returns the content of the file once two reads agree. Whoever writes
// it truncates it first: a file caught half written may be valid without the
// keys that are still to come, and their defaults would be applied.
func (r *Reloader) settled() ([]byte, error) {
	content, err := os.ReadFile(r.Path)
	for range settleReads {
		if err != nil {
			return nil, err
		}
		r.awaitWriter()
		before := content
		content, err = os.ReadFile(r.Path)
		if bytes.Equal(before, content) {
			break
		}
	}
	return content, err
}

func (r *Reloader) awaitWriter() {
	if r.pause != nil {
		r.pause()
		return
	}
	time.Sleep(settlePause)
}

// read applies the file when it has changed, or when it was asked to.
func (r *Reloader) read(asked bool) {
	content, err := r.settled()
	if err != nil {
		event.GateReloadFailed.Log(r.Logger, logrus.Fields{"error": err.Error()})
		return
	}
	if !asked && bytes.Equal(content, r.content) {
		return
	}
	r.content = content
	config := r.NewConfig()
	if err := inifile.Parse(r.Path, content, config); err != nil {
		event.GateReloadFailed.Log(r.Logger, logrus.Fields{"error": err.Error()})
		return
	}
	r.Apply(config)
	event.GateReloaded.Log(r.Logger, logrus.Fields{"asked": asked})
}
