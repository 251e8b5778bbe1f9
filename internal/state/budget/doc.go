// Package budget bounds the retries that a gateway sends to the endpoints of a service.
// The platform's bound holds over all gateways together and over sliding windows. Each
// gateway stays within its part of the bound without communicating with the others.
// Times are given as the time since the start of the process, because the wall clock may
// jump.
package budget
