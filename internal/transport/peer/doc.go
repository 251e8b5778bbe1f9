// Package peer carries JSON-RPC 2.0 calls, notifications and stream chunks between
// the system's own processes, and runs the gossip of documents and crash records over
// them. The connection pool dials on demand, exchanges hellos, holds at most one
// connection per address and closes idle ones. A malformed or oversized frame closes
// its connection, and the reason is logged.
package peer
