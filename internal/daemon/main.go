package daemon

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
	"github.com/samber/do/v2"
	"github.com/sirupsen/logrus"

	"github.com/bluebellchute/bluebellchute/internal/event"
)

// Wire provides a role's components to the injector, including a Service. The
// injector already provides the configuration under its own type.
type Wire func(injector do.Injector)

// Main implements the main function of a fleet node. It returns the exit status.
func Main[C NodeConfig](name string, config C, wire Wire) int {
	parsed := ParseFlags(name, os.Args[1:], config, os.Stdout, os.Stderr)
	if parsed.Exit {
		return parsed.ExitStatus
	}
	common := config.CommonConfig()
	logger := NewLogger(common.Log, os.Stderr).WithField("node", common.Node.Control)
	injector := NewInjector(common, logger)
	RegisterProcessMetrics(injector)
	do.ProvideValue(injector, config)
	wire(injector)
	node, err := NewNode(injector)
	if err != nil {
		event.RunFailed.Log(logger, logrus.Fields{"error": err.Error()})
		return ExitFailure
	}
	return RunUntilSignal(name, node, logger)
}

// RunUntilSignal runs a service until SIGTERM or SIGINT and returns the exit status.
func RunUntilSignal(name string, service Service, logger logrus.FieldLogger) int {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	// A write to a log whose reader has gone away would end the process.
	signal.Ignore(syscall.SIGPIPE)
	event.Started.Log(logger, logrus.Fields{"program": name, "version": Version()})
	err := Run(context.Background(), service, signals, logger)
	if err != nil && !errors.Is(err, ErrInterrupted) {
		event.RunFailed.Log(logger, logrus.Fields{"error": err.Error()})
	}
	if err != nil {
		return ExitFailure
	}
	event.Stopped.Log(logger, nil)
	return ExitSuccess
}
