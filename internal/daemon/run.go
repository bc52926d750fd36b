package daemon

import (
	"context"
	"os"
	"syscall"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/bluebellchute/bluebellchute/internal/event"
)

// ErrInterrupted tells that an interrupt ended the process before its work in
// progress was done.
var ErrInterrupted = errors.New("stopped at once by an interrupt")

// Service is what a daemon does.
type Service interface {
	// Run works until the context ends. It returns nil when it ended because
	// of the context.
	Run(ctx context.Context) error
	// Drain takes no new work from now on, lets the work in progress end, and
	// returns when none is left or the context ends. Run goes on meanwhile.
	Drain(ctx context.Context) error
}

// Run runs the service until it fails or a signal comes. The first signal
// drains the service and stops it. A SIGINT after that ends it at once; a
// SIGTERM does not: a supervisor may repeat it, and requests in progress must
// not be cut before the time that it grants is over.
func Run(ctx context.Context, service Service, signals <-chan os.Signal, logger logrus.FieldLogger) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- service.Run(ctx) }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
		return <-ended
	case received := <-signals:
		event.Draining.Log(logger, logrus.Fields{"signal": received.String()})
	}
	interrupts := interruptsOf(ctx, signals)
	if err := drain(ctx, service, interrupts, ended, logger); err != nil {
		return err
	}
	cancel()
	select {
	case err := <-ended:
		return err
	case <-interrupts:
		return forced(logger)
	}
}

// interruptsOf passes on the interrupts among the signals until the context
// ends.
func interruptsOf(ctx context.Context, signals <-chan os.Signal) <-chan os.Signal {
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

// drain waits until the service has drained or has failed, or an interrupt comes.
func drain(ctx context.Context, service Service, interrupts <-chan os.Signal, ended chan error, logger logrus.FieldLogger) error {
	drained := make(chan error, 1)
	go func() { drained <- service.Drain(ctx) }()
	select {
	case err := <-drained:
		if err != nil {
			event.DrainFailed.Log(logger, logrus.Fields{"error": err.Error()})
		}
		return err
	case err := <-ended:
		// A service that has ended can't finish its work any more.
		return errors.Wrap(err, "ended while draining")
	case <-interrupts:
		return forced(logger)
	}
}

func forced(logger logrus.FieldLogger) error {
	event.StopForced.Log(logger, nil)
	return ErrInterrupted
}
