package ctl

import (
	"github.com/pkg/errors"

	"github.com/bluebellchute/bluebellchute/internal/settings"
)

// Exit statuses of bluebellctl. Scripts rely on them.
const (
	ExitSuccess    = 0
	ExitFailure    = 1 // not done; an edit is not accepted and never will be
	ExitUsage      = 2 // a bad command line, path, key or value; nothing was sent
	ExitConflict   = 3 // another edit came first; the edit is not accepted and never will be
	ExitUnknown    = 4 // the edit may have been accepted or may yet be
	ExitIncomplete = 5 // not all nodes have the revision in force, or some don't answer
)

// exitError is an error with the exit status that it leads to.
type exitError struct {
	status int
	cause  error
}

// Error implements error.
func (e *exitError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.cause }

func usageErrorf(format string, args ...any) error {
	return &exitError{status: ExitUsage, cause: errors.Errorf(format, args...)}
}

// incomplete returns an error when some of those that were asked were silent.
func incomplete(silent, asked int, what string) error {
	if silent == 0 {
		return nil
	}
	return &exitError{status: ExitIncomplete, cause: errors.Errorf("%d of %d %s don't answer", silent, asked, what)}
}

// statusOf returns the exit status for an error.
func statusOf(err error) int {
	var exit *exitError
	var invalid *settings.ValidationError
	switch {
	case err == nil:
		return ExitSuccess
	case errors.As(err, &exit):
		return exit.status
	case errors.As(err, &invalid):
		return ExitUsage
	default:
		return ExitFailure
	}
}
