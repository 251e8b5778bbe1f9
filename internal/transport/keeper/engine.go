package keeper

import (
	"context"
	"fmt"
	"time"

	"chervilhead/internal/state/fleet"
)

// Report is the state that an engine reports.
type Report struct {
	fleet.Status
	// NoticeErr says why what the engine says of itself in its answer's header isn't readable;
	// it counts as nothing.
	NoticeErr error
}

// Order asks an engine to load or unload a model or an adapter.
type Order struct {
	Unload bool
	Name   fleet.ModelName
	// ExpectedSequence is the number of orders that the engine must have accepted so far;
	// otherwise it rejects this one.
	ExpectedSequence int64
	// Holder names the sender of the order; FencingToken orders the senders.
	Holder       string
	FencingToken uint64
	// ExpectedEndpoint is the endpoint id that the engine must have; empty means any.
	ExpectedEndpoint string
}

// OrderResult is an engine's reply to an order.
type OrderResult uint8

// The results of an order.
const (
	// Unanswered means that no reply came: the order may be carried out, now or later.
	Unanswered OrderResult = iota
	// Accepted means that the order is being carried out.
	Accepted
	// AlreadyApplied means that the engine is already in the ordered state.
	AlreadyApplied
	// Rejected means that the order has no effect.
	Rejected
)

// PauseError is an engine's rejection of a call that asks for no other one for some time.
type PauseError struct {
	Status int
	// Pause is the time for which the engine wants no call.
	Pause time.Duration
}

func (e *PauseError) Error() string {
	return fmt.Sprintf("the engine answered with status %d and asks for a pause of %v", e.Status, e.Pause)
}

// Engine is a client of the engine beside a keeper. Its errors hold a *PauseError if the engine
// asked for a pause.
type Engine interface {
	// Report returns the engine's current state.
	Report(ctx context.Context) (Report, error)
	// Order sends an order; the error says why the result is Unanswered or Rejected.
	Order(ctx context.Context, o Order) (OrderResult, error)
	// Identify returns the endpoint id from the engine's health check at a path; an empty
	// path means the platform's default. It may return one beside an error.
	Identify(ctx context.Context, healthPath string) (string, error)
}
