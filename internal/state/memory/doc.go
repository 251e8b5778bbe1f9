// Package memory accounts for the accelerator memory of one endpoint. Space is reserved
// before an order is sent and released only when a state of the engine, read after the
// order can no longer arrive, shows that it is free. A model has at most one outstanding
// order, so that a late unload cannot undo a newer load. A Ledger is not safe for
// concurrent use.
package memory
