// Package events finds the boundaries of server-sent events, so that a stream is relayed by
// whole events and one that was cut off inside an event can be distinguished from a complete one.
package events
