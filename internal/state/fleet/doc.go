// Package fleet holds what a gateway believes about a deployment: its configuration,
// its endpoints and what the keepers report of them. All values are immutable; a change
// is a new value, which is passed down with the request.
package fleet
