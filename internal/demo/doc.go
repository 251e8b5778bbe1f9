// Package demo runs the whole system in one process on loopback addresses, with stand-ins for
// the model engines, the plain services and the platform.
package demo
