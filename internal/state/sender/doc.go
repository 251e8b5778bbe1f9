// Package sender orders the messages of processes that may restart, without relying on the time of
// day of their machines.
package sender
