// Package rawsim simulates peers that answer with given bytes, which may be no answer in the
// protocol.
package rawsim
