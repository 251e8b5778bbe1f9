// Package pick chooses the endpoint of a request from a gateway's view of the endpoints.
// It estimates the time to first token at each endpoint from its prefill backlog, the part
// of the prompt in its prefix cache, its running batch and its KV cache memory. From the
// estimate a caller can tell that a request would be answered too late anywhere. The
// package is pure: random numbers and the current time are arguments.
package pick
