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

// headerBytes is the frame length and the Ethernet, IP and TCP headers of a message;
// envelopeBytes is the jsonrpc2 object around its parameters.
const (
	headerBytes   = 4 + 66
	envelopeBytes = 56
)

// fleet is a set of nodes that run the real relay code over a fake network.
type fleet struct {
	seed  uint64
	mu    sync.Mutex
	nodes []*simNode
	addrs []string
	// reach says whether messages pass between two nodes.
	reach func(a, b int) bool
	log   *logrus.Entry
}

// simNode is one incarnation of one node.
type simNode struct {
	f      *fleet
	i      int
	docs   *gossip.Store
	gossip *gossip.Replicator
	stop   context.CancelFunc
	wg     sync.WaitGroup
	bytes  atomic.Int64
	met    sync.Map
}

func newFleet(n int, seed uint64) *fleet {
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := &fleet{seed: seed, reach: func(int, int) bool { return true }, log: logrus.NewEntry(log)}
	for i := range n {
		f.addrs = append(f.addrs, fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250))
	}
	f.nodes = make([]*simNode, n)
	return f
}

// start runs a new incarnation of node i that holds the given documents.
func (f *fleet) start(i int, st store.TableService, objects store.Objects, poll time.Duration, docs ...gossip.Document) *simNode {
	ctx, cancel := context.WithCancel(context.Background())
	n := &simNode{f: f, i: i, docs: gossip.NewStore(), stop: cancel}
	others := append(append([]string{}, f.addrs[:i]...), f.addrs[i+1:]...)
	// The gossip and the poller draw from sources of their own, so that a run repeats exactly.
	n.gossip = gossip.NewReplicator(f.addrs[i], n.docs, n.connect, func() []string { return others }, f.random(i, 1), f.log)
	poller := gossip.NewPoller(n.docs, map[string]gossip.Source{gossip.KindTable: edit.TableSource(st)}, poll, f.random(i, 2), f.log)
	for _, d := range docs {
		n.docs.PutIfNewer(d)
	}
	f.mu.Lock()
	f.nodes[i] = n
	f.mu.Unlock()
	// No two loops start at the same instant, so that the order of events is the same in each run.
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

func (f *fleet) random(i int, use uint64) jitter.Random {
	r := rand.New(rand.NewPCG(f.seed, uint64(i)<<8|use))
	var mu sync.Mutex
	return func(n int64) int64 {
		mu.Lock()
		defer mu.Unlock()
		return r.Int64N(n)
	}
}

// node returns the newest incarnation of node i, or nil before its start.
func (f *fleet) node(i int) *simNode {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[i]
}

func (f *fleet) halt() {
	for _, n := range f.nodes {
		n.stop()
	}
	for _, n := range f.nodes {
		n.wg.Wait()
	}
}

func (n *simNode) connect(_ context.Context, addr string) (gossip.Peer, error) {
	if to := n.f.node(slices.Index(n.f.addrs, addr)); to != nil {
		return simPeer{from: n, to: to}, nil
	}
	return nil, errors.New("no such node")
}

// simPeer is a node as another one sees it.
type simPeer struct{ from, to *simNode }

// Digest implements relay.Peer.
func (p simPeer) Digest(ctx context.Context, versions map[string]uint64) (map[string]uint64, error) {
	if _, known := p.from.met.LoadOrStore(p.to.i, true); !known {
		p.account(wire.Hello{Node: p.from.f.addrs[p.from.i], Role: "agent", Incarnation: "inc-0123456789abcdef0123456789abcdef", Versions: versions},
			wire.HelloReply{Node: p.from.f.addrs[p.to.i], Role: "agent", Incarnation: "inc-0123456789abcdef0123456789abcdef", FailureDomain: "chingeltei", Versions: versions})
	}
	if err := p.travel(ctx); err != nil {
		return nil, err
	}
	if p.to.gossip.IsBehind(versions) {
		go p.to.gossip.FetchNewer(context.Background(), simPeer{from: p.to, to: p.from}, versions)
	}
	theirs := p.to.docs.Versions()
	p.account(wire.Digest{Node: p.from.f.addrs[p.from.i], Versions: versions}, wire.Digest{Node: p.from.f.addrs[p.to.i], Versions: theirs})
	return theirs, p.travel(ctx)
}

// Fetch implements relay.Peer.
func (p simPeer) Fetch(ctx context.Context, kind string, have uint64) (gossip.Update, error) {
	if err := p.travel(ctx); err != nil {
		return gossip.Update{}, err
	}
	u := p.to.docs.UpdateSince(kind, have)
	p.account(wire.Fetch{Kind: kind, Have: have}, wire.Document{Kind: kind, Version: u.Version, BaseVersion: u.Base, Deltas: u.Deltas, Data: u.Data, Checksum: u.Checksum})
	return u, p.travel(ctx)
}

// account counts a call and its reply at both ends.
func (p simPeer) account(msgs ...any) {
	for _, m := range msgs {
		b, err := json.Marshal(m)
		if err != nil {
			panic(err)
		}
		size := int64(len(b) + headerBytes + envelopeBytes)
		p.from.bytes.Add(size)
		p.to.bytes.Add(size)
	}
}

// travel takes the one-way time between two nodes, 1 to 4 ms; a message to a node out of reach is never answered.
func (p simPeer) travel(ctx context.Context) error {
	if !p.from.f.reach(p.from.i, p.to.i) {
		<-ctx.Done()
		return ctx.Err()
	}
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, p.from.f.seed, p.from.i, p.to.i, time.Now().UnixNano())
	timer := time.NewTimer(time.Millisecond + time.Duration(h.Sum64()%uint64(3*time.Millisecond)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	if !p.from.f.reach(p.from.i, p.to.i) {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}
