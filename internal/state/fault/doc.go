// Package fault defines the typed errors that cross process boundaries.
// An error names its remedy, where there is one, so that a caller or operator knows what
// to do next.
package fault
