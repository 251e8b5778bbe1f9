package dgram

// maxStreamKeys bounds the keys of one message: each takes nine bytes, which leaves half of a
// datagram for names.
const maxStreamKeys = 450

// StreamRecords says which service and software version began which streams. A gateway sends it to
// keepers, and a keeper sends it in reply to a StreamQuery.
type StreamRecords struct {
	// Query is the number of the query that the message replies to, or 0.
	Query   uint64
	Streams []VersionStreams
}

// VersionStreams are streams that one version of a service began.
type VersionStreams struct {
	Service, Version string
	// Keys are hashes of the request ids of the streams.
	Keys []uint64
}

// StreamQuery asks a keeper for the record of a stream. The reply has no streams if it has none.
type StreamQuery struct {
	// Query is the number of the query at the gateway.
	Query uint64
	Key   uint64
}

func (*StreamRecords) kind() byte { return 7 }
func (*StreamQuery) kind() byte   { return 8 }

// NewStreamRecords returns the messages that hold the streams of one version of a service.
func NewStreamRecords(service, version string, keys []uint64) []*StreamRecords {
	var out []*StreamRecords
	for len(keys) > 0 {
		n := min(len(keys), maxStreamKeys)
		out = append(out, &StreamRecords{Streams: []VersionStreams{{service, version, keys[:n]}}})
		keys = keys[n:]
	}
	return out
}
