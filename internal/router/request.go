package router

import (
	"time"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// Fingerprint identifies what a caller asked for, over account, path and body.
type Fingerprint [16]byte

// BodyHash is the SHA-256 of a request's body.
type BodyHash [32]byte

// Request is one caller's request while the router holds it. The fields are
// set before the request enters the world and stay as they are.
type Request struct {
	ID          fleet.RequestID
	Account     fleet.Account
	Service     fleet.Service
	Arrived     time.Time
	Deadline    time.Time // the whole answer is due by then
	Idempotent  bool      // it may run more than once
	Stream      bool      // the answer is passed on as it comes
	Cost        uint64    // estimate in cost units, 0 when there is none
	Fingerprint Fingerprint
	Prefix      uint64   // hash of the prompt's beginning, 0 when there is none
	Key         string   // the caller's Idempotency-Key, empty when there is none
	BodyHash    BodyHash // set when Key is
	Payload     []byte   // the encoded part of rpc.RunRequest that never changes

	Answer *Receiver // what has been received of the answer
	call   *call     // the caller's side, known to the shell only
}

// Size is the number of bytes that the request counts against the bounds of
// its account's queue.
func (r *Request) Size() int64 { return int64(len(r.Payload)) }

// AttemptID names one try to get a request's answer from one agent. Events of
// an attempt that the world has given up are dropped by it.
type AttemptID struct {
	Request fleet.RequestID
	Number  uint32
}

// FailureCode tells a caller's program why its request failed.
type FailureCode string

// The failure codes of the callers' interface.
const (
	CodeQueueFull       FailureCode = "queue_full"
	CodeRateLimited     FailureCode = "rate_limited"
	CodeDeadline        FailureCode = "deadline_exceeded"
	CodeNoBackend       FailureCode = "no_backend_server"
	CodeDraining        FailureCode = "draining"
	CodeConvicted       FailureCode = "request_crashes_servers"
	CodeKeyReused       FailureCode = "idempotency_key_reused"
	CodeKeyUnknown      FailureCode = "idempotency_key_unknown"
	CodeAnswerLost      FailureCode = "answer_lost"
	CodeAnswerTooLarge  FailureCode = "answer_too_large"
	CodeRetryBudget     FailureCode = "retry_budget_exhausted"
	CodeCallerGone      FailureCode = "caller_gone"
	CodeAccountDisabled FailureCode = "account_disabled"
)

// Result is the final word on a request. Every request gets exactly one.
type Result struct {
	Outcome    fleet.Outcome
	Status     int           // HTTP status when there is no answer to hand out
	Code       FailureCode   // empty when completed
	Message    string        // for people
	RetryAfter time.Duration // with 429 and 503: when to come back
}

// Completed is the result of a request whose whole answer was received.
func completed() Result { return Result{Outcome: fleet.OutcomeCompleted} }

func notRun(status int, code FailureCode, message string, retryAfter time.Duration) Result {
	return Result{
		Outcome:    fleet.OutcomeNotRun,
		Status:     status,
		Code:       code,
		Message:    message,
		RetryAfter: max(retryAfter, minRetryAfter),
	}
}

func unknown(status int, code FailureCode, message string) Result {
	return Result{Outcome: fleet.OutcomeUnknown, Status: status, Code: code, Message: message}
}
