package intake

import "time"

// Limits bound what the clients of a process hold.
type Limits struct {
	// Bytes bounds all that is counted, LargeBytes the bodies above SmallBody bytes among it, so
	// that callers with small requests find room while large bodies fill theirs.
	Bytes, LargeBytes, SmallBody int64
	// Connections bounds the open connections.
	Connections int
	// ConnectionBytes is what a connection counts for, and RequestBytes what it counts for in
	// addition from the first byte of a request to the end of its answer.
	ConnectionBytes, RequestBytes int64
	// MinRate is the rate in bytes a second below which a transfer counts as stalled, measured
	// over StallTime or longer.
	MinRate   int64
	StallTime time.Duration
}

const (
	// connectionBytes covers the server's buffers and stacks of a connection, and an answer that
	// waits in its send buffer.
	connectionBytes = 48 << 10
	// requestBytes covers what a client sends ahead into the receive buffer, the usual head, and
	// the connection to an endpoint.
	requestBytes = 64 << 10
	// smallBody is far above the body of a usual request.
	smallBody = 64 << 10
	// largeShare is the part of the memory that large bodies may fill.
	largeShare = 0.85
	// overcommit is how many times LargeBytes the announced lengths of bodies may add up to. Bodies
	// that arrive at steady rates are half received in the mean.
	overcommit = 2
)

// DefaultLimits returns limits for clients that may hold so many bytes and descriptors together.
func DefaultLimits(bytes int64, descriptors int, minRate int64, stallTime time.Duration) Limits {
	return Limits{
		Bytes: bytes, LargeBytes: int64(largeShare * float64(bytes)), SmallBody: smallBody, Connections: descriptors,
		ConnectionBytes: connectionBytes, RequestBytes: requestBytes, MinRate: minRate, StallTime: stallTime,
	}
}
