package fault

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Outcome says what became of a request; every request ends in exactly one outcome.
type Outcome string

// The four outcomes of a request.
const (
	// OutcomeComplete means that the caller received the whole answer.
	OutcomeComplete Outcome = "complete"
	// OutcomeNotRun means that no attempt started and none ever will.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeFailed means that an attempt started and certainly produced no complete answer.
	OutcomeFailed Outcome = "failed"
	// OutcomeUnknown means that an attempt may have run and its result cannot be determined.
	OutcomeUnknown Outcome = "unknown"
)

// Kind is the class of an error: the error type of the HTTP API, which decides the status.
type Kind string

// The kinds of error.
const (
	Invalid     Kind = "invalid_request_error"
	Auth        Kind = "authentication_error"
	Permission  Kind = "permission_error"
	NotFound    Kind = "not_found_error"
	Conflict    Kind = "conflict_error"
	RateLimit   Kind = "rate_limit_error"
	Unavailable Kind = "unavailable_error"
	Upstream    Kind = "upstream_error"
	Internal    Kind = "internal_error"
)

// Error codes that more than one package tests for.
const (
	CodeLeaving          = "leaving"
	CodeCancelled        = "cancelled"
	CodeExpired          = "expired"
	CodeStaleIncarnation = "stale_incarnation"
	CodeNotResident      = "model_not_resident"
	CodeQueueFull        = "queue_full"
	CodeEngineCrashed    = "engine_crashed"
	CodeTruncated        = "stream_truncated"
	CodeCrashesEngines   = "request_crashes_engines"
	CodeKeyReused        = "idempotency_key_reused"
	CodeUnknownAttempt   = "unknown_attempt"
	// CodePeerUnreachable means that a process of the deployment does not answer a new connection.
	CodePeerUnreachable = "peer_unreachable"
	// CodeAgentLost means that the agent that ran an attempt stopped answering.
	CodeAgentLost = "agent_lost"
	// CodeOnTrial means that the request got no permit: an equal request that ran when an
	// engine crashed, or that runs elsewhere, must end first.
	CodeOnTrial = "request_on_trial"
	// CodeEngineUnreachable means that an engine accepts no connection.
	CodeEngineUnreachable = "engine_unreachable"
	// CodeConnectionLost means that the connection to a running engine broke and the
	// rest of the answer could not be fetched.
	CodeConnectionLost = "engine_connection_lost"
	// CodeEngineError means that an engine answered with a server error.
	CodeEngineError = "engine_error"
	CodeOutage      = "platform_outage"
	// CodeBodyTimeout means that a request's body did not end in time.
	CodeBodyTimeout = "body_timeout"
)

// Error is a typed error with a stable code and a remedy.
type Error struct {
	Kind       Kind          `json:"kind"`
	Code       string        `json:"code"`
	Message    string        `json:"message"`
	Remedy     string        `json:"remedy,omitempty"`
	Param      string        `json:"param,omitempty"`
	RetryAfter time.Duration `json:"retry_after_ns,omitempty"`
	Outcome    Outcome       `json:"outcome,omitempty"`
	cause      error
}

// New returns an error of a kind with a stable code, a message and a remedy.
func New(kind Kind, code, msg, remedy string) *Error {
	return &Error{Kind: kind, Code: code, Message: msg, Remedy: remedy}
}

// Error implements the error interface.
func (e *Error) Error() string {
	s := e.Message
	if e.Remedy != "" {
		s += "; " + e.Remedy
	}
	if e.cause != nil {
		s += ": " + e.cause.Error()
	}
	return s
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.cause }

// WithCause returns a copy that wraps err.
func (e *Error) WithCause(err error) *Error {
	c := *e
	c.cause = err
	return &c
}

// WithRetryAfter returns a copy that tells the caller how long to wait before a retry.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// WithParam returns a copy that names the offending request field.
func (e *Error) WithParam(p string) *Error {
	c := *e
	c.Param = p
	return &c
}

// WithOutcome returns a copy that carries the outcome of the request.
func (e *Error) WithOutcome(o Outcome) *Error {
	c := *e
	c.Outcome = o
	return &c
}

// HTTPStatus returns the HTTP status for the error's kind and, for some codes, its code.
func (e *Error) HTTPStatus() int {
	switch e.Kind {
	case Invalid:
		if e.Code == "body_too_large" {
			return http.StatusRequestEntityTooLarge
		}
		if e.Code == CodeBodyTimeout {
			return http.StatusRequestTimeout
		}
		if e.Code == CodeKeyReused {
			return http.StatusUnprocessableEntity
		}
		return http.StatusBadRequest
	case Auth:
		return http.StatusUnauthorized
	case Permission:
		return http.StatusForbidden
	case NotFound:
		return http.StatusNotFound
	case Conflict:
		return http.StatusConflict
	case RateLimit:
		return http.StatusTooManyRequests
	case Unavailable:
		return http.StatusServiceUnavailable
	case Upstream:
		return http.StatusBadGateway
	default:
		return http.StatusInternalServerError
	}
}

// As returns the *Error that err wraps; any other error becomes the cause of an internal one.
func As(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(Internal, "internal", "unexpected error", "report it with the request id").WithCause(err)
}

// CodeOf returns the code of the *Error that err wraps, or "" when there is none.
func CodeOf(err error) string {
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return ""
}

// Outage returns the error for a platform service that did not answer or answered with a failure.
func Outage(service string, cause error) *Error {
	return New(Unavailable, CodeOutage, fmt.Sprintf("the platform's %s service is unavailable", service),
		"retry later; running work continues").WithCause(cause).WithRetryAfter(2 * time.Second)
}
