package fleet

import (
	"fmt"

	"github.com/pkg/errors"
)

// Step is the step of a request or of a settings change at which an error occurred.
// The steps are the columns of the fault matrix in docs/PROOF.md.
type Step string

// The steps of a request.
const (
	StepAccept      Step = "accept"
	StepWait        Step = "wait"
	StepOffer       Step = "offer"
	StepGrant       Step = "grant"
	StepSend        Step = "send"
	StepRun         Step = "run"
	StepAnswer      Step = "answer"
	StepAcknowledge Step = "acknowledge"
)

// The steps of a settings change.
const (
	StepEdit    Step = "edit"
	StepUpdate  Step = "update"
	StepReply   Step = "reply"
	StepWatch   Step = "watch"
	StepSpread  Step = "spread"
	StepApply   Step = "apply"
	StepRestart Step = "restart"
)

// StepError is an error with the step at which it occurred and the peer involved.
type StepError struct {
	Step  Step
	Peer  Address // empty if no peer was involved
	cause error
}

// Error implements error.
func (e *StepError) Error() string {
	if e.Peer == "" {
		return fmt.Sprintf("%s: %v", e.Step, e.cause)
	}
	return fmt.Sprintf("%s at %s: %v", e.Step, e.Peer, e.cause)
}

// Unwrap returns the cause.
func (e *StepError) Unwrap() error { return e.cause }

// Errorf returns a StepError with a new cause that has a stack trace.
func Errorf(step Step, peer Address, format string, args ...any) error {
	return &StepError{Step: step, Peer: peer, cause: errors.Errorf(format, args...)}
}

// Wrap wraps err in a StepError. It returns nil if err is nil.
func Wrap(err error, step Step, peer Address) error {
	if err == nil {
		return nil
	}
	return &StepError{Step: step, Peer: peer, cause: errors.WithStack(err)}
}
