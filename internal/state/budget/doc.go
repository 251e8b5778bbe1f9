// Package budget bounds what is sent to endpoints beyond the first try of each request.
// The platform's bound holds over all gateways and sliding windows; each gateway keeps to
// its part of it without talking to the others. Times are those since the start of the process, because the time of day jumps.
package budget
