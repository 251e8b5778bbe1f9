package admin

import (
	"fmt"
	"time"
)

// Error is an error reply of the operators' API. Nothing was written, unless it is the cause
// of an *UnsettledError.
type Error struct {
	Status int
	Code   string
	// Message names the row, column, value and remedy, where they apply.
	Message string
	// RetryAfter is the time after which a retry may succeed, or 0.
	RetryAfter time.Duration
}

// Error implements the error interface.
func (e *Error) Error() string { return e.Message }

// StaleError means that rows have changed since they were read; nothing was written.
type StaleError struct {
	Message string
	Rows    []StaleRow
}

// Error implements the error interface.
func (e *StaleError) Error() string { return e.Message }

// UnsettledError means that an edit may have taken effect; repeating it with the same id
// tells whether it has.
type UnsettledError struct {
	EditID string
	Cause  error
}

// Error implements the error interface.
func (e *UnsettledError) Error() string {
	return fmt.Sprintf("edit %s may have taken effect: %v; repeat it with the same edit id", e.EditID, e.Cause)
}

// Unwrap returns the cause.
func (e *UnsettledError) Unwrap() error { return e.Cause }
