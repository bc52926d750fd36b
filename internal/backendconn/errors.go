package backendconn

import (
	"github.com/pkg/errors"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// Progress says how far a failed request got.
type Progress int

// The steps of a request at which it can fail.
const (
	// ProgressNone means that no byte was sent: the request did not run.
	ProgressNone Progress = iota
	// ProgressSent means that the request may have arrived and run.
	ProgressSent
	// ProgressAnswered means that the head of an answer was received.
	ProgressAnswered
)

// Match says whether an answer belongs to a request.
type Match int

// The ways in which an answer may match a request.
const (
	MatchOwn   Match = iota // it names the request
	MatchOther              // it names another one
	// MatchUnidentified means that it names none. A backend server that rejects a request may
	// leave its name out, and so do bytes that follow a complete answer and belong to none.
	MatchUnidentified
)

// ErrUnidentified says that a request which must not run twice got only an answer that may belong
// to none: it may have run.
var ErrUnidentified = errors.New("the only answer names no request")

// Error is a failure of a request on the way to or from a backend server.
type Error struct {
	Progress Progress
	cause    error // a fleet.StepError
}

// Error implements error.
func (e *Error) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

func newError(err error, progress Progress, step fleet.Step, peer fleet.Address) error {
	return &Error{Progress: progress, cause: fleet.Wrap(err, step, peer)}
}

// ProgressOf returns how far the request got that failed with the error. For an error of
// another package it returns ProgressSent, the conservative assumption.
func ProgressOf(err error) Progress {
	var failure *Error
	if errors.As(err, &failure) {
		return failure.Progress
	}
	return ProgressSent
}

// maxQuotedBytes bounds the text of an error that quotes what a backend server sent.
const maxQuotedBytes = 256

// quotingError is an error whose text may quote what a backend server sent, at any length.
type quotingError struct{ cause error }

// Error implements error. A long text is cut.
func (e quotingError) Error() string { return fleet.CutText(e.cause.Error(), maxQuotedBytes) }

// Unwrap returns the cause.
func (e quotingError) Unwrap() error { return e.cause }
