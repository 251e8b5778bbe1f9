package keep

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
	// Sequence is the number of orders that the engine must have accepted before.
	Sequence int64
	// Holder and Fence say on whose authority the order is given.
	Holder string
	Fence  uint64
	// Endpoint is the id that the engine must have; empty means any.
	Endpoint string
}

// Verdict is an engine's answer to an order.
type Verdict uint8

// The answers to an order.
const (
	// Unanswered means that the order may be carried out, now or later.
	Unanswered Verdict = iota
	// Accepted means that the order is being carried out.
	Accepted
	// Holds means that there is nothing to do.
	Holds
	// Rejected means that the order has no effect.
	Rejected
)

// Engine is the engine beside a keeper.
type Engine interface {
	Report(ctx context.Context) (Report, error)
	Order(ctx context.Context, o Order) (Verdict, error)
	// Identify returns the engine's id, which its health check at a path says; an empty
	// path is the usual one.
	Identify(ctx context.Context, healthPath string) (string, error)
}
