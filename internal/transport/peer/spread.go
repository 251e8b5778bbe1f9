package peer

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"chervilhead/internal/coordination/gossip"
	"chervilhead/internal/protocol/wire"
	"chervilhead/internal/state/jitter"
)

// learnTimeout bounds the fetches that a message with newer versions causes.
const learnTimeout = 5 * time.Second

// silenceTimeout is the silence after which a connection is closed; a paused process
// or a slow link answers sooner.
const silenceTimeout = 3 * time.Second

// DocumentGossip carries the relay's gossip over the connections between processes.
type DocumentGossip struct {
	*gossip.Replicator
	node string
	docs *gossip.Store
}

// NewDocumentGossip returns a spreader that picks its targets from the addresses that
// peers returns. It also serves the connections that the pool opens, because a
// process fetches from one that has called it.
func NewDocumentGossip(node string, docs *gossip.Store, pool *Pool, peers func() []string, random jitter.Random, log *logrus.Entry) *DocumentGossip {
	s := &DocumentGossip{node: node, docs: docs}
	s.Replicator = gossip.NewReplicator(node, docs, func(ctx context.Context, addr string) (gossip.Peer, error) {
		link, err := pool.Get(ctx, addr)
		if err != nil {
			return nil, err
		}
		return remote{node: node, c: link.Conn}, nil
	}, peers, random, log)
	pool.handler = s.WrapHandler(pool.handler)
	return s
}

// remote is another process at the end of a connection.
type remote struct {
	node string
	c    *Conn
}

// Digest implements relay.Peer.
func (r remote) Digest(ctx context.Context, versions map[string]uint64) (map[string]uint64, error) {
	var reply wire.Digest
	// The call goes past Conn.Call's observer: the gossip acts on the reply itself.
	err := r.c.rpc.Call(ctx, wire.MethodDigest, wire.Digest{Node: r.node, Versions: versions}, &reply)
	if errors.Is(err, context.DeadlineExceeded) {
		go r.check()
	}
	return reply.Versions, err
}

// check closes a connection over which no reply comes. A connection that lost data
// stays open and silent, and a request that uses it is lost or late.
func (r remote) check() {
	ctx, cancel := context.WithTimeout(context.Background(), silenceTimeout)
	defer cancel()
	var reply wire.Digest
	if err := r.c.rpc.Call(ctx, wire.MethodDigest, wire.Digest{Node: r.node}, &reply); errors.Is(err, context.DeadlineExceeded) {
		r.c.Close()
	}
}

// Fetch implements relay.Peer.
func (r remote) Fetch(ctx context.Context, kind string, have uint64) (gossip.Update, error) {
	var d wire.Document
	err := r.c.Call(ctx, wire.MethodFetch, wire.Fetch{Kind: kind, Have: have}, &d)
	return gossip.Update{Kind: kind, Version: d.Version, Base: d.BaseVersion, Deltas: d.Deltas, Data: d.Data, Checksum: d.Checksum}, err
}

// spreading is a handler that serves the relay's methods and passes others on.
type spreading struct {
	s *DocumentGossip
	h Handler
}

// chunkSpreading also passes chunks on.
type chunkSpreading struct {
	spreading
	ChunkHandler
}

// WrapHandler returns a handler that serves digests and fetches and passes other methods and chunks on.
func (s *DocumentGossip) WrapHandler(h Handler) Handler {
	w := spreading{s: s, h: h}
	if ch, ok := h.(ChunkHandler); ok {
		return chunkSpreading{w, ch}
	}
	return w
}

// Serve implements Handler.
func (h spreading) Serve(ctx context.Context, c *Conn, method string, params json.RawMessage) (any, error) {
	switch method {
	case wire.MethodDigest:
		d, err := Decode[wire.Digest](params)
		if err != nil {
			return nil, err
		}
		c.ObserveVersions(d)
		return wire.Digest{Node: h.s.node, Versions: h.s.docs.Versions()}, nil
	case wire.MethodFetch:
		f, err := Decode[wire.Fetch](params)
		if err != nil {
			return nil, err
		}
		u := h.s.docs.UpdateSince(f.Kind, f.Have)
		return wire.Document{Kind: f.Kind, Version: u.Version, BaseVersion: u.Base, Deltas: u.Deltas, Data: u.Data, Checksum: u.Checksum}, nil
	}
	return h.h.Serve(ctx, c, method, params)
}

// observe implements observer.
func (h spreading) observe(c *Conn, versions wire.Versions) {
	if !h.s.IsBehind(versions) {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), learnTimeout)
		defer cancel()
		h.s.FetchNewer(ctx, remote{node: h.s.node, c: c}, versions)
	}()
}

// observer is a handler that acts on the versions that messages carry.
type observer interface {
	observe(c *Conn, versions wire.Versions)
}

// ObserveVersions acts on the sender's document versions if the message carries them.
func (c *Conn) ObserveVersions(msg any) {
	v, ok := msg.(wire.Versioned)
	if ok && c.watch != nil {
		c.watch.observe(c, v.HeldVersions())
	}
}
