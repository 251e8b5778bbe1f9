// Package slope fits growth exponents to benchmark results, to reveal code whose
// cost grows faster than its input. It reads the output of go test -bench.
package slope
