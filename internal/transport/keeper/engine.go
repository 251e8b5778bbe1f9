package keeper

import (
	"context"

	"chervilhead/internal/state/fleet"
)

// Report is what an engine says of itself.
type Report struct {
	fleet.Status
	Leaving bool
}

// Order asks an engine to load or unload a model or an adapter.
type Order struct {
	Unload bool
	Name   fleet.ModelName
	// ExpectedSequence is the number of orders that the engine must have accepted before.
	ExpectedSequence int64
	// Holder and Fence say on whose authority the order is given.
	Holder       string
	FencingToken uint64
	// ExpectedEndpoint is the id that the engine must have; empty means any.
	ExpectedEndpoint string
}

// OrderResult is an engine's answer to an order.
type OrderResult uint8

// The answers to an order.
const (
	// Unanswered means that the order may be carried out, now or later.
	Unanswered OrderResult = iota
	// Accepted means that the order is being carried out.
	Accepted
	// AlreadyApplied means that there is nothing to do.
	AlreadyApplied
	// Rejected means that the order has no effect.
	Rejected
)

// Engine is the engine beside a keeper.
type Engine interface {
	Report(ctx context.Context) (Report, error)
	Order(ctx context.Context, o Order) (OrderResult, error)
	// Identify returns the engine's id, which its health check at a path says; an empty
	// path is the usual one.
	Identify(ctx context.Context, healthPath string) (string, error)
}
