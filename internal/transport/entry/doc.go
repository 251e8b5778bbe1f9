// Package entry serves callers' requests: it authenticates and admits them, chooses
// endpoints, dispatches attempts to their agents and returns the answers.
//
// Each request ends with one outcome, and the items of an answer are delivered in order
// and exactly once, also across lost connections. A request is not retried once part of
// its answer was delivered, nor, unless it is idempotent, once an attempt was sent to an
// agent. An entry stores nothing durable itself; idempotency claims and quota leases are
// rows of the table service.
package entry
