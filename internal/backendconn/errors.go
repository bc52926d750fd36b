package backendconn

import (
	"github.com/pkg/errors"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// Progress tells how far a failed request got.
type Progress int

// The steps of a request at which it can fail.
const (
	// ProgressNone means that no byte left this process: it did not run.
	ProgressNone Progress = iota
	// ProgressSent means that it may have arrived, and may have run.
	ProgressSent
	// ProgressAnswered means that the head of an answer had arrived.
	ProgressAnswered
)

// Error is a failure of a request on the way to or from a backend server.
type Error struct {
	Progress Progress
	cause    error // a fleet.StepError
}

// Error implements error.
func (e *Error) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

func failed(err error, progress Progress, step fleet.Step, peer fleet.Address) error {
	return &Error{Progress: progress, cause: fleet.Wrap(err, step, peer)}
}

// ProgressOf returns how far the request got that ended with the error. An
// error of another package counts as ProgressSent, the careful guess.
func ProgressOf(err error) Progress {
	var failure *Error
	if errors.As(err, &failure) {
		return failure.Progress
	}
	return ProgressSent
}
