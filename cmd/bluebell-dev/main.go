// Command bluebell-dev runs a complete sample fleet in one process on loopback: a
// stand-in for the users' platform, two model engines, a plain service and a
// router (bluebell-gate). With --agents it runs the product's own interface
// instead: a router, agents, two client accounts and a sample settings tree. It
// prints curl commands to try, and ends with Ctrl-C. It stores nothing.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/bluebellchute/bluebellchute/internal/daemon"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

type options struct {
	Callers  string `long:"callers" value-name:"IP:PORT" description:"address for callers; a free port of 127.0.0.1 by default"`
	Agents   bool   `long:"agents" description:"run the product's own interface, with a router, agents and a settings tree"`
	LogLevel string `long:"log-level" default:"warning" choice:"debug" choice:"info" choice:"warning" choice:"error" description:"least level of log records on standard error"`
	Version  bool   `long:"version" description:"print the version and exit"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(daemon.ExitBadConfig)
	}
	if o.Version {
		fmt.Println("bluebell-dev", daemon.Version())
		return
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, o, os.Stdout, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "bluebell-dev:", err)
		os.Exit(daemon.ExitFailure)
	}
}

// run runs the fleet until the context ends.
func run(ctx context.Context, o options, stdout, stderr io.Writer) error {
	callers, err := callersAddress(o.Callers)
	if err != nil {
		return err
	}
	logger := daemon.NewLogger(daemon.LogSection{Level: o.LogLevel, Format: "text"}, stderr)
	if !o.Agents {
		return runPlatformSample(ctx, callers, logger, stdout)
	}
	sample, err := newSample(callers, logger)
	if err != nil {
		return err
	}
	return sample.run(ctx, func(values welcomeValues) { printWelcome(stdout, values) })
}

func callersAddress(text string) (fleet.Address, error) {
	if text == "" {
		return freeAddress()
	}
	address, err := fleet.ParseAddress(text)
	return address, errors.Wrap(err, "--callers")
}
