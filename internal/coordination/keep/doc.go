// Package keep holds in the store what must outlive all processes of the system: which software
// version began which stream, and which requests and prompt parts crash endpoints.
//
// Each process writes rows of its own, without conditions, so that it needs neither the planner nor
// any other process. A process that starts reads the rows of all. Rows, bytes and writes are bounded:
// see Streams and Crashes.
package keep
