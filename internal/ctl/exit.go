package ctl

import (
	"github.com/pkg/errors"

	"github.com/bluebellchute/bluebellchute/internal/settings"
)

// Exit statuses of bluebellctl. Scripts rely on them.
const (
	ExitSuccess    = 0
	ExitFailure    = 1 // failed; an edit has not been accepted and will not be
	ExitUsage      = 2 // invalid command line, path, key or value; nothing was sent
	ExitConflict   = 3 // another edit came first; the edit has not been accepted and will not be
	ExitUnknown    = 4 // the edit may have been accepted, or may still be
	ExitIncomplete = 5 // the revision isn't in force at all nodes, or some nodes don't reply
)

// exitError is an error with an exit status.
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

// incompleteError returns an error if some of the queried nodes didn't reply.
func incompleteError(unanswered, total int, what string) error {
	if unanswered == 0 {
		return nil
	}
	return &exitError{status: ExitIncomplete, cause: errors.Errorf("%d of %d %s don't answer", unanswered, total, what)}
}

// exitStatus returns the exit status of an error.
func exitStatus(err error) int {
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
