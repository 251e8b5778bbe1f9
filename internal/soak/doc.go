// Package soak runs gateways and keepers as separate processes against the simulated
// platform, injects faults by a seeded schedule (signals, restarts, broken and silent
// connections, store faults, configuration changes) and checks the rules of the
// platform's contract against what clients and endpoints observed.
package soak
