// Package testbed simulates, on loopback, what surrounds gateways and keepers: the
// platform's store (from platform/stub), plain and engine endpoints that check the requests
// and orders they receive, proxies that inject connection faults, and clients that check
// each answer. Endpoints may have several software versions, which their events show;
// callers may need keys, belong to groups with quotas and resume broken streams. Tests and
// the soak run the product's programs against it. A Checker compares what clients sent with
// what endpoints ran and records the rules that were violated.
package testbed
