package ctl

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/platform"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
	"github.com/bluebellchute/bluebellchute/internal/settings"
)

// Nodes calls the control port of nodes.
type Nodes interface {
	Status(ctx context.Context, address fleet.Address) (*rpc.StatusReply, error)
	Drain(ctx context.Context, address fleet.Address, request *rpc.DrainRequest) (*rpc.DrainReply, error)
}

// App runs one command. Its fields are the commands' external dependencies, so
// that a test can replace them.
type App struct {
	Stdin          io.Reader
	Stdout, Stderr io.Writer
	Random         io.Reader // for API keys
	OpenPlatform   func(address fleet.Address) platform.API
	OpenNodes      func(token string) Nodes
	Retry          settings.RetryPolicy // of calls to the platform
	Sleep          func(ctx context.Context, delay time.Duration) error
	PrepareEditor  func(editor *settings.Editor) // may be nil
}

// New returns an App that uses the process's standard streams and the network.
func New() *App {
	return &App{
		Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr,
		Random: rand.Reader,
		OpenPlatform: func(address fleet.Address) platform.API {
			return platform.NewClient(address, platform.ClientOptions{})
		},
		OpenNodes: newControlNodes,
		Retry:     settings.DefaultRetryPolicy(),
		Sleep:     sleep,
	}
}

func sleep(ctx context.Context, delay time.Duration) error {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// Run runs a command line, given without the program name, and returns the exit
// status.
func (a *App) Run(args []string) int {
	session := &session{App: a}
	parser := newParser(session)
	_, err := parser.ParseArgs(args)
	var flagsError *flags.Error
	switch {
	case err == nil:
		return ExitSuccess
	case errors.As(err, &flagsError) && flagsError.Type == flags.ErrHelp:
		fmt.Fprintln(a.Stdout, err)
		return ExitSuccess
	case errors.As(err, &flagsError):
		fmt.Fprintf(a.Stderr, "bluebellctl: %v\n", err)
		return ExitUsage
	default:
		fmt.Fprintf(a.Stderr, "bluebellctl: %v\n", err)
		return exitStatus(err)
	}
}
