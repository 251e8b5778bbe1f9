// Package testbed is a stand-in of the users' platform on loopback: its store with faults
// for each caller, endpoints and model engines that check what they are asked, a proxy
// that harms connections, and clients that check each answer. Tests and the soak play
// the product's programs against it.
package testbed
