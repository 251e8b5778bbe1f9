// Package bucket implements the arithmetic of hard limits: token buckets, to which the time
// is passed in, and the division of a limit into parts for its holders.
package bucket
