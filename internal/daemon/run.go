package daemon

import (
	"context"
	"os"
	"syscall"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/bluebellchute/bluebellchute/internal/event"
)

// ErrInterrupted is returned when an interrupt ends the process before its work
// in progress is finished.
var ErrInterrupted = errors.New("stopped at once by an interrupt")

// Service is the work of a daemon.
type Service interface {
	// Run runs until the context ends, and then returns nil.
	Run(ctx context.Context) error
	// Drain stops accepting new work and returns when the work in progress has
	// finished or the context ends. Run continues meanwhile.
	Drain(ctx context.Context) error
}

// Run runs the service until it fails or a signal arrives. The first signal
// drains the service and stops it. A later SIGINT stops it immediately. A later
// SIGTERM is ignored: a supervisor may repeat it, and requests in progress must
// not be aborted before the supervisor's grace period is over.
func Run(ctx context.Context, service Service, signals <-chan os.Signal, logger logrus.FieldLogger) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	runResult := make(chan error, 1)
	go func() { runResult <- service.Run(ctx) }()
	select {
	case err := <-runResult:
		return err
	case <-ctx.Done():
		return <-runResult
	case received := <-signals:
		event.Draining.Log(logger, logrus.Fields{"signal": received.String()})
	}
	interrupts := forwardInterrupts(ctx, signals)
	if err := drain(ctx, service, interrupts, runResult, logger); err != nil {
		return err
	}
	cancel()
	select {
	case err := <-runResult:
		return err
	case <-interrupts:
		return logInterrupted(logger)
	}
}

// forwardInterrupts returns a channel that receives the first SIGINT among the
// signals. Other signals are discarded until then or until the context ends.
func forwardInterrupts(ctx context.Context, signals <-chan os.Signal) <-chan os.Signal {
	interrupts := make(chan os.Signal, 1)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case received := <-signals:
				if received == syscall.SIGINT {
					interrupts <- received
					return
				}
			}
		}
	}()
	return interrupts
}

// drain drains the service. It returns when the service has drained or has
// returned from Run, or on an interrupt.
func drain(ctx context.Context, service Service, interrupts <-chan os.Signal, runResult chan error, logger logrus.FieldLogger) error {
	drained := make(chan error, 1)
	go func() { drained <- service.Drain(ctx) }()
	select {
	case err := <-drained:
		if err != nil {
			event.DrainFailed.Log(logger, logrus.Fields{"error": err.Error()})
		}
		return err
	case err := <-runResult:
		// Once Run has returned, the work in progress can't finish.
		return errors.Wrap(err, "ended while draining")
	case <-interrupts:
		return logInterrupted(logger)
	}
}

func logInterrupted(logger logrus.FieldLogger) error {
	event.StopForced.Log(logger, nil)
	return ErrInterrupted
}
