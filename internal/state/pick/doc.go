// Package pick chooses the endpoint of a request from what a gateway believes. It
// estimates the time to the first token from the prompts that an endpoint still has to
// read, the part of this prompt that it keeps, its batch and its memory, and says when a
// request can't be in time anywhere. It is pure; draws and times are arguments.
package pick
