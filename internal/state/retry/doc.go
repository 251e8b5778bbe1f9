// Package retry decides whether and when a request is retried, and which endpoints are
// ejected because they fail.
//
// A request is never retried after its caller has received a part of the answer, nor after
// it was dispatched if it is not idempotent. Retries that burden an engine are limited to a
// share of new requests by a Budget. Policies, budgets and outliers are immutable values;
// the time and random numbers are arguments.
package retry
