// Package soak runs gateways and keepers as separate processes against the stand-in of
// the platform, harms them from outside by a seeded schedule (signals, restarts, broken
// and silent connections, faults of the store, changes of the configuration) and checks
// the platform's rules from what clients and endpoints saw.
package soak
