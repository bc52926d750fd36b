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

// reloadInterval is the interval at which the configuration file is checked for
// changes, which may come without a signal.
const reloadInterval = time.Second

// Reloader reloads a configuration file on SIGHUP and when its content changes.
type Reloader struct {
	Path   string
	Logger logrus.FieldLogger
	// NewConfig returns an empty configuration to parse the file into.
	NewConfig func() any
	// Apply puts a valid configuration into force.
	Apply func(config any)

	waitForWriter  func() // called between two reads; nil sleeps for settleInterval
	appliedContent []byte // empty until the first reload, since the file may have changed after startup
}

// Run reloads the file until the context ends. It handles SIGHUP, which would
// otherwise kill the process and abort all its requests.
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
			r.reload(true)
		case <-ticker.C:
			r.reload(false)
		}
	}
}

const (
	// settleInterval is the time between two reads of the file that must be equal.
	settleInterval = 20 * time.Millisecond
	// maxSettleReads bounds the reads; a file that keeps changing is then used as
	// it is.
	maxSettleReads = 10
)

// readSettled returns the content of the file once two successive reads are
// equal. A writer that truncates the file first leaves it incomplete for a short
// time. An incomplete file may be valid, and the defaults of its missing keys
// would be applied.
func (r *Reloader) readSettled() ([]byte, error) {
	content, err := os.ReadFile(r.Path)
	for range maxSettleReads {
		if err != nil {
			return nil, err
		}
		r.pauseBetweenReads()
		previous := content
		content, err = os.ReadFile(r.Path)
		if bytes.Equal(previous, content) {
			break
		}
	}
	return content, err
}

func (r *Reloader) pauseBetweenReads() {
	if r.waitForWriter != nil {
		r.waitForWriter()
		return
	}
	time.Sleep(settleInterval)
}

// reload applies the file if it has changed or if requested is set.
func (r *Reloader) reload(requested bool) {
	content, err := r.readSettled()
	if err != nil {
		event.GateReloadFailed.Log(r.Logger, logrus.Fields{"error": err.Error()})
		return
	}
	if !requested && bytes.Equal(content, r.appliedContent) {
		return
	}
	r.appliedContent = content
	config := r.NewConfig()
	if err := inifile.Parse(r.Path, content, config); err != nil {
		event.GateReloadFailed.Log(r.Logger, logrus.Fields{"error": err.Error()})
		return
	}
	r.Apply(config)
	event.GateReloaded.Log(r.Logger, logrus.Fields{"asked": requested})
}
