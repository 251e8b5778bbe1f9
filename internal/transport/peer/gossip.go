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

// fetchTimeout bounds the fetches that follow a message with newer document versions.
const fetchTimeout = 5 * time.Second

// unresponsiveTimeout is how long a connection may leave a digest unanswered before it is
// closed. A paused process or a slow network answers sooner.
const unresponsiveTimeout = 3 * time.Second

// DocumentGossip replicates documents by gossip over the connections between processes.
type DocumentGossip struct {
	*gossip.Replicator
	node string
	docs *gossip.Store
}

// NewDocumentGossip returns a DocumentGossip that picks its targets from the addresses that peers
// returns. It also wraps the pool's handler, because a process may fetch documents over a
// connection that this process opened.
func NewDocumentGossip(node string, docs *gossip.Store, pool *Pool, peers func() []string, random jitter.Random, log *logrus.Entry) *DocumentGossip {
	g := &DocumentGossip{node: node, docs: docs}
	g.Replicator = gossip.NewReplicator(node, docs, func(ctx context.Context, addr string) (gossip.Peer, error) {
		conn, err := pool.Get(ctx, addr)
		if err != nil {
			return nil, err
		}
		return gossipPeer{node: node, c: conn.Conn}, nil
	}, peers, random, log)
	pool.handler = g.WrapHandler(pool.handler)
	return g
}

// gossipPeer implements gossip.Peer for the process at the other end of a connection.
type gossipPeer struct {
	node string
	c    *Conn
}

// Digest implements gossip.Peer.
func (p gossipPeer) Digest(ctx context.Context, versions map[string]uint64) (map[string]uint64, error) {
	var reply wire.Digest
	// Conn.Call would pass the reply's versions to the observer; the replicator handles them itself.
	err := p.c.rpc.Call(ctx, wire.MethodDigest, wire.Digest{Node: p.node, Versions: versions}, &reply)
	if errors.Is(err, context.DeadlineExceeded) {
		go p.closeIfUnresponsive()
	}
	return reply.Versions, err
}

// closeIfUnresponsive closes the connection if another digest gets no reply either. A
// connection that has lost data stays open without replies, so that a request sent over
// it is lost or late.
func (p gossipPeer) closeIfUnresponsive() {
	ctx, cancel := context.WithTimeout(context.Background(), unresponsiveTimeout)
	defer cancel()
	var reply wire.Digest
	if err := p.c.rpc.Call(ctx, wire.MethodDigest, wire.Digest{Node: p.node}, &reply); errors.Is(err, context.DeadlineExceeded) {
		p.c.Close()
	}
}

// Fetch implements gossip.Peer.
func (p gossipPeer) Fetch(ctx context.Context, kind string, have uint64) (gossip.Update, error) {
	var d wire.Document
	err := p.c.Call(ctx, wire.MethodFetch, wire.Fetch{Kind: kind, Have: have}, &d)
	return gossip.Update{Kind: kind, Version: d.Version, Base: d.BaseVersion, Deltas: d.Deltas, Data: d.Data, Checksum: d.Checksum}, err
}

// gossipHandler serves digests and fetches and passes other methods to next.
type gossipHandler struct {
	gossip *DocumentGossip
	next   Handler
}

// gossipChunkHandler is a gossipHandler whose next handler also receives chunks.
type gossipChunkHandler struct {
	gossipHandler
	ChunkHandler
}

// WrapHandler returns a handler that serves digests and fetches and passes other methods and chunks to h.
func (g *DocumentGossip) WrapHandler(h Handler) Handler {
	w := gossipHandler{gossip: g, next: h}
	if ch, ok := h.(ChunkHandler); ok {
		return gossipChunkHandler{w, ch}
	}
	return w
}

// Serve implements Handler.
func (h gossipHandler) Serve(ctx context.Context, c *Conn, method string, params json.RawMessage) (any, error) {
	switch method {
	case wire.MethodDigest:
		d, err := Decode[wire.Digest](params)
		if err != nil {
			return nil, err
		}
		c.ObserveVersions(d)
		return wire.Digest{Node: h.gossip.node, Versions: h.gossip.docs.Versions()}, nil
	case wire.MethodFetch:
		f, err := Decode[wire.Fetch](params)
		if err != nil {
			return nil, err
		}
		u := h.gossip.docs.UpdateSince(f.Kind, f.Have)
		return wire.Document{Kind: f.Kind, Version: u.Version, BaseVersion: u.Base, Deltas: u.Deltas, Data: u.Data, Checksum: u.Checksum}, nil
	}
	return h.next.Serve(ctx, c, method, params)
}

// observe implements versionObserver: it fetches newer documents from the sender.
func (h gossipHandler) observe(c *Conn, versions wire.Versions) {
	if !h.gossip.IsBehind(versions) {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
		defer cancel()
		h.gossip.FetchNewer(ctx, gossipPeer{node: h.gossip.node, c: c}, versions)
	}()
}

// versionObserver is implemented by a Handler that acts on the document versions that messages carry.
type versionObserver interface {
	observe(c *Conn, versions wire.Versions)
}

// ObserveVersions passes the sender's document versions to the handler if msg is a
// wire.Versioned, so that newer documents are fetched.
func (c *Conn) ObserveVersions(msg any) {
	v, ok := msg.(wire.Versioned)
	if ok && c.observer != nil {
		c.observer.observe(c, v.HeldVersions())
	}
}
