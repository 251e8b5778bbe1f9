package keeper

import (
	"net"
	"time"

	"chervilhead/internal/protocol/dgram"
	"chervilhead/internal/state/resume"
)

// putStreams keeps the records of streams that a gateway sent, for gateways that lack them.
func (k *Keeper) putStreams(m *dgram.StreamRecords, now time.Time) {
	for _, s := range m.Streams {
		for _, key := range s.Keys {
			k.streams.Put(resume.Record{Key: key, Service: s.Service, Version: s.Version}, now)
		}
	}
}

// replyStream answers a gateway's query, also if there is no record.
func (k *Keeper) replyStream(q *dgram.StreamQuery, to net.Addr, now time.Time) {
	reply := &dgram.StreamRecords{Query: q.Query}
	if rec, ok := k.streams.Get(q.Key, now); ok {
		reply.Streams = []dgram.VersionStreams{{Service: rec.Service, Version: rec.Version, Keys: []uint64{q.Key}}}
	}
	data, err := dgram.Encode(reply)
	if err == nil {
		_, err = k.conn.WriteTo(data, to)
	}
	if err != nil {
		k.log.WithError(err).WithField("gateway", to.String()).Debug("a record of a stream was not sent")
	}
}
