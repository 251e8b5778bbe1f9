// Package bulk reads HTTP bodies that may take longer than any fixed time limit: a read ends when
// its bytes stop arriving, arrive too slowly or are too many.
package bulk
