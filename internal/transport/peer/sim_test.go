package peer_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"chervilhead/internal/coordination/edit"
	"chervilhead/internal/coordination/gossip"
	"chervilhead/internal/coordination/store"
	"chervilhead/internal/protocol/wire"
	"chervilhead/internal/state/jitter"
)

const (
	// frameHeaderBytes is the frame length and the Ethernet, IP and TCP headers of a message.
	frameHeaderBytes = 4 + 66
	// rpcEnvelopeBytes is the jsonrpc2 object around a message's parameters.
	rpcEnvelopeBytes = 56
)

// fleet is a set of nodes that run the production gossip code over a simulated network.
type fleet struct {
	seed  uint64
	mu    sync.Mutex
	nodes []*simNode
	addrs []string
	// reachable reports whether messages pass between two nodes.
	reachable func(a, b int) bool
	log       *logrus.Entry
}

// simNode is one incarnation of one node.
type simNode struct {
	fleet      *fleet
	index      int
	docs       *gossip.Store
	gossip     *gossip.Replicator
	stop       context.CancelFunc
	wg         sync.WaitGroup
	bytes      atomic.Int64
	introduced sync.Map
}

func newFleet(n int, seed uint64) *fleet {
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := &fleet{seed: seed, reachable: func(int, int) bool { return true }, log: logrus.NewEntry(log)}
	for i := range n {
		f.addrs = append(f.addrs, fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250))
	}
	f.nodes = make([]*simNode, n)
	return f
}

// start runs a new incarnation of node i that holds the given documents.
func (f *fleet) start(i int, st store.TableService, objects store.Objects, poll time.Duration, docs ...gossip.Document) *simNode {
	ctx, cancel := context.WithCancel(context.Background())
	n := &simNode{fleet: f, index: i, docs: gossip.NewStore(), stop: cancel}
	peers := append(append([]string{}, f.addrs[:i]...), f.addrs[i+1:]...)
	// The gossip and the poller have separate random sources, so that runs are reproducible.
	n.gossip = gossip.NewReplicator(f.addrs[i], n.docs, n.connect, func() []string { return peers }, f.random(i, 1), f.log)
	poller := gossip.NewPoller(n.docs, map[string]gossip.Source{gossip.KindTable: edit.TableSource(st)}, poll, f.random(i, 2), f.log)
	for _, d := range docs {
		n.docs.PutIfNewer(d)
	}
	f.mu.Lock()
	f.nodes[i] = n
	f.mu.Unlock()
	// No two loops start at the same virtual time, so that the order of events is the same in each run.
	offset := time.Duration(i+1) * time.Microsecond
	n.wg.Go(func() { time.Sleep(offset); n.gossip.Run(ctx) })
	n.wg.Go(func() { time.Sleep(time.Millisecond + offset); poller.Run(ctx) })
	if objects != nil {
		n.wg.Go(func() {
			n.gossip.Bootstrap(ctx, func(ctx context.Context) (gossip.Document, error) { return edit.ReadBackup(ctx, objects) })
		})
	}
	return n
}

func (f *fleet) random(i int, stream uint64) jitter.Random {
	r := rand.New(rand.NewPCG(f.seed, uint64(i)<<8|stream))
	var mu sync.Mutex
	return func(n int64) int64 {
		mu.Lock()
		defer mu.Unlock()
		return r.Int64N(n)
	}
}

// node returns the newest incarnation of node i, or nil before its first start.
func (f *fleet) node(i int) *simNode {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[i]
}

func (f *fleet) stop() {
	for _, n := range f.nodes {
		n.stop()
	}
	for _, n := range f.nodes {
		n.wg.Wait()
	}
}

func (n *simNode) connect(_ context.Context, addr string) (gossip.Peer, error) {
	if to := n.fleet.node(slices.Index(n.fleet.addrs, addr)); to != nil {
		return simPeer{from: n, to: to}, nil
	}
	return nil, errors.New("no such node")
}

// simPeer implements gossip.Peer: the node to, called by the node from.
type simPeer struct{ from, to *simNode }

// Digest implements gossip.Peer. The first exchange of two nodes also counts their hellos.
func (p simPeer) Digest(ctx context.Context, versions map[string]uint64) (map[string]uint64, error) {
	if _, known := p.from.introduced.LoadOrStore(p.to.index, true); !known {
		p.countBytes(wire.Hello{Node: p.from.fleet.addrs[p.from.index], Role: "agent", Incarnation: "inc-0123456789abcdef0123456789abcdef", Versions: versions},
			wire.HelloReply{Node: p.from.fleet.addrs[p.to.index], Role: "agent", Incarnation: "inc-0123456789abcdef0123456789abcdef", FailureDomain: "chingeltei", Versions: versions})
	}
	if err := p.deliver(ctx); err != nil {
		return nil, err
	}
	if p.to.gossip.IsBehind(versions) {
		go p.to.gossip.FetchNewer(context.Background(), simPeer{from: p.to, to: p.from}, versions)
	}
	theirs := p.to.docs.Versions()
	p.countBytes(wire.Digest{Node: p.from.fleet.addrs[p.from.index], Versions: versions}, wire.Digest{Node: p.from.fleet.addrs[p.to.index], Versions: theirs})
	return theirs, p.deliver(ctx)
}

// Fetch implements gossip.Peer.
func (p simPeer) Fetch(ctx context.Context, kind string, have uint64) (gossip.Update, error) {
	if err := p.deliver(ctx); err != nil {
		return gossip.Update{}, err
	}
	u := p.to.docs.UpdateSince(kind, have)
	p.countBytes(wire.Fetch{Kind: kind, Have: have}, wire.Document{Kind: kind, Version: u.Version, BaseVersion: u.Base, Deltas: u.Deltas, Data: u.Data, Checksum: u.Checksum})
	return u, p.deliver(ctx)
}

// countBytes adds the sizes of a call and its reply to the traffic of both nodes.
func (p simPeer) countBytes(msgs ...any) {
	for _, m := range msgs {
		b, err := json.Marshal(m)
		if err != nil {
			panic(err)
		}
		size := int64(len(b) + frameHeaderBytes + rpcEnvelopeBytes)
		p.from.bytes.Add(size)
		p.to.bytes.Add(size)
	}
}

// deliver waits for the one-way latency of a message, 1 to 4 ms. A message to an
// unreachable node is lost: deliver then waits until the context ends.
func (p simPeer) deliver(ctx context.Context) error {
	if !p.from.fleet.reachable(p.from.index, p.to.index) {
		<-ctx.Done()
		return ctx.Err()
	}
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, p.from.fleet.seed, p.from.index, p.to.index, time.Now().UnixNano())
	timer := time.NewTimer(time.Millisecond + time.Duration(h.Sum64()%uint64(3*time.Millisecond)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	if !p.from.fleet.reachable(p.from.index, p.to.index) {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}
