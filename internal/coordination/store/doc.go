// Package store declares narrow interfaces for the platform's four services: the table
// service, the object store, the weight store and the host list. Each call is bounded by its
// context and fails with a typed outage error when the service does not answer; a failed
// Commit may still have taken effect.
package store
