// Package ramp limits a gateway's requests in flight at an endpoint that has just started or
// recovered, until its responses show what it can take. Each gateway keeps a window for each
// endpoint incarnation. It grows with responses in time, shrinks with failures and late
// responses, and ends when it no longer limits anything. Gateways don't see each other's
// requests: where the endpoint has fewer slots than there are gateways, only some of them begin.
// The package is pure: the current time is an argument, and a Window is immutable.
//
// It is designed for 4 to 103 gateways and endpoints of 6 to 64 slots, with several endpoints
// starting at the same time and requests of 50 ms to some seconds.
package ramp
