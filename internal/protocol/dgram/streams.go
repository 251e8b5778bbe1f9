package dgram

import (
	"cmp"
	"slices"

	"chervilhead/internal/state/resume"
)

// maxStreamKeys bounds the streams of one message: each takes 14 bytes, which leaves half of a
// datagram for names.
const maxStreamKeys = 290

// StreamRecords says which service and software version began which streams. A gateway sends it to
// keepers and to the planner, and a keeper sends it in reply to a StreamQuery.
type StreamRecords struct {
	// Query is the number of the query that the message replies to, or 0.
	Query   uint64
	Streams []VersionStreams
	// Batch is the number of the message at a gateway that asks the planner to keep the records, or 0.
	Batch uint64
}

// StreamsKept is the planner's reply to StreamRecords with a batch: the store has the records.
type StreamsKept struct{ Batch uint64 }

// VersionStreams are streams that one version of a service began.
type VersionStreams struct {
	Service, Version string
	// Keys are hashes of the request ids of the streams.
	Keys []uint64
	// Revisions are those of the records, in the order of Keys; none stands for zeros.
	Revisions []uint32
	// Doubtful is set if the streams may be of another version.
	Doubtful bool
}

// StreamQuery asks a keeper for the record of a stream. The reply has no streams if it has none.
type StreamQuery struct {
	// Query is the number of the query at the gateway.
	Query uint64
	Key   uint64
}

func (*StreamRecords) kind() byte { return 7 }
func (*StreamQuery) kind() byte   { return 8 }
func (*StreamsKept) kind() byte   { return 11 }

// NewVersionStreams returns records by service, version and doubt.
func NewVersionStreams(recs []resume.Record) []VersionStreams {
	var out []VersionStreams
	for _, r := range recs {
		i := slices.IndexFunc(out, func(v VersionStreams) bool {
			return v.Service == r.Service && v.Version == r.Version && v.Doubtful == r.Doubtful
		})
		if i < 0 {
			i, out = len(out), append(out, VersionStreams{Service: r.Service, Version: r.Version, Doubtful: r.Doubtful})
		}
		v := &out[i]
		if r.Revision != 0 && v.Revisions == nil {
			v.Revisions = make([]uint32, len(v.Keys))
		}
		if v.Keys = append(v.Keys, r.Key); v.Revisions != nil {
			v.Revisions = append(v.Revisions, uint32(r.Revision))
		}
	}
	slices.SortFunc(out, func(a, b VersionStreams) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version))
	})
	return out
}

// Records returns the records of the streams.
func (v VersionStreams) Records() []resume.Record {
	out := make([]resume.Record, 0, len(v.Keys))
	for i, k := range v.Keys {
		r := resume.Record{Key: k, Service: v.Service, Version: v.Version, Doubtful: v.Doubtful}
		if i < len(v.Revisions) {
			r.Revision = resume.Revision(v.Revisions[i])
		}
		out = append(out, r)
	}
	return out
}

// NewStreamRecords returns the messages that hold some records.
func NewStreamRecords(recs []resume.Record) []*StreamRecords {
	var out []*StreamRecords
	for _, v := range NewVersionStreams(recs) {
		for part := range slices.Chunk(v.Records(), maxStreamKeys) {
			out = append(out, &StreamRecords{Streams: NewVersionStreams(part)})
		}
	}
	return out
}

// Records returns the records of a message.
func (m *StreamRecords) Records() []resume.Record {
	var out []resume.Record
	for _, v := range m.Streams {
		out = append(out, v.Records()...)
	}
	return out
}
