// Package fleet holds a gateway's view of a deployment: its configuration, its endpoints
// and the keepers' reports of their state. All values are immutable; a change makes a new
// value, and a request uses the one that it is given.
package fleet
