// Package replica decides which model gets another replica, on which endpoint, and which
// models are unloaded for it. It decides one move at a time from the keepers' reports, so
// that a planner keeps no state between moves but the orders in progress. It is pure.
package replica
