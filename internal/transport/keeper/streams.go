package keeper

import (
	"net"
	"time"

	"chervilhead/internal/protocol/dgram"
	"chervilhead/internal/state/resume"
)

// putStreams keeps the records of streams that a gateway sent, for gateways that lack them.
func (k *Keeper) putStreams(m *dgram.StreamRecords, now time.Time) {
	for _, rec := range m.Records() {
		k.streams.Put(rec, now)
	}
}

// replyStream answers a gateway's query, also if there is no record.
func (k *Keeper) replyStream(q *dgram.StreamQuery, to net.Addr, now time.Time) {
	reply := &dgram.StreamRecords{Query: q.Query}
	if rec, ok := k.streams.Get(q.Key, now); ok {
		reply.Streams = dgram.NewVersionStreams([]resume.Record{rec})
	}
	data, err := dgram.Encode(reply)
	if err == nil {
		_, err = k.conn.WriteTo(data, to)
	}
	if err != nil {
		k.log.WithError(err).WithField("gateway", to.String()).Debug("a record of a stream was not sent")
	}
}
