// Package memory accounts for the accelerator memory of one endpoint. Space is
// reserved before an order is sent and released only when the engine's real state,
// read back past the order, shows that it is free. A model has at most one order
// standing, so that a late unload never meets a newer load. A Ledger is not safe
// for concurrent use.
package memory
