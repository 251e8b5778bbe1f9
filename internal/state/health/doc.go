// Package health keeps a gateway's own experience with one endpoint: whether it can be
// reached, how often it fails, and how its speed compares with the estimates. Status
// checks may lie and registrations are late; what an endpoint did to requests does not.
// Values are immutable and the time is an argument.
package health
