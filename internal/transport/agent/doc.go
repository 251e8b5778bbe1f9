// Package agent implements the process beside an endpoint. It alone sends orders to the
// endpoint's engine, queues attempts for it and accounts for its accelerator memory. An
// attempt starts at most once; one that was cancelled, has passed its start-by time or
// names another incarnation of the agent never starts.
package agent
