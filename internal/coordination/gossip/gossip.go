package gossip

import (
	"context"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"chervilhead/internal/state/jitter"
)

const (
	// gossipInterval is the mean time between two digests to another process.
	gossipInterval = 500 * time.Millisecond
	// pushFanout is the number of processes told of a new document at once.
	pushFanout = 3
	// burstFanout replaces it for documents that follow one another within burstTime;
	// with 3, one document a second takes up to 7.6 KB/s of the 7 KB/s of a node.
	burstFanout = 2
	burstTime   = 2 * time.Second
	// viewSize is the number of processes that a node usually exchanges digests
	// with. A few fixed ones keep the number of open connections small.
	viewSize = 12
	// strangerEvery is how many digests go to the view for one that goes to any
	// process, so that nodes whose views are all unreachable still hear of changes.
	strangerEvery = 16
	// exchangeTimeout bounds a digest, fetchTimeout a document; a paused process is given up after it.
	exchangeTimeout = time.Second
	fetchTimeout    = 2 * time.Second
	// bootPeers is the number of processes asked for documents at a start.
	bootPeers = 8
	bootRetry = 500 * time.Millisecond
)

// Peer is another process, as the relay sees it.
type Peer interface {
	// Digest tells the process what is held here and returns what it holds.
	Digest(ctx context.Context, versions map[string]uint64) (map[string]uint64, error)
	// Fetch asks for what is newer than version have.
	Fetch(ctx context.Context, kind string, have uint64) (Update, error)
}

// Replicator passes the newest documents between processes, so that a change reaches
// every node also while the table service is away.
type Replicator struct {
	self    string
	docs    *Store
	connect func(ctx context.Context, address string) (Peer, error)
	peers   func() []string
	random  jitter.Random
	log     *logrus.Entry
	fresh   chan struct{}

	mu sync.Mutex
	// fetching holds the kinds being fetched, so that many digests cause one fetch.
	fetching map[string]bool
	booted   bool
	// all is the last list of peers and near the view made from it.
	all, near []string
}

// NewReplicator returns a gossip that picks its targets from the addresses that peers returns.
func NewReplicator(self string, docs *Store, connect func(ctx context.Context, address string) (Peer, error), peers func() []string, random jitter.Random, log *logrus.Entry) *Replicator {
	g := &Replicator{
		self: self, docs: docs, connect: connect, peers: peers, random: random, log: log,
		fresh: make(chan struct{}, 1), fetching: map[string]bool{},
	}
	docs.Subscribe(func(Document) {
		select {
		case g.fresh <- struct{}{}:
		default:
		}
	})
	return g
}

// Run exchanges digests until the context ends.
func (g *Replicator) Run(ctx context.Context) {
	var pushed time.Time
	for {
		timer := time.NewTimer(g.random.Around(gossipInterval))
		fanout := 1
		select {
		case <-timer.C:
		case <-g.fresh:
			fanout = pushFanout
			if time.Since(pushed) < burstTime {
				fanout = burstFanout
			}
			pushed = time.Now()
		case <-ctx.Done():
			timer.Stop()
			return
		}
		timer.Stop()
		for _, addr := range g.targets(fanout) {
			go g.exchange(ctx, addr)
		}
	}
}

// targets picks distinct processes to exchange digests with.
func (g *Replicator) targets(n int) []string {
	all := g.peers()
	if len(all) == 0 {
		return nil
	}
	if n == 1 && g.random.N(strangerEvery) == 0 {
		return []string{all[g.random.N(int64(len(all)))]}
	}
	view := g.neighbours(all)
	jitter.Shuffle(g.random, view)
	return view[:min(n, len(view))]
}

// neighbours returns a copy of the view, which changes only with the list of peers.
func (g *Replicator) neighbours(all []string) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !slices.Equal(all, g.all) {
		g.all, g.near = slices.Clone(all), g.view(all)
	}
	return slices.Clone(g.near)
}

// view returns the processes with the lowest hashes of this node and theirs. A
// membership change replaces only the processes that it concerns.
func (g *Replicator) view(all []string) []string {
	type ranked struct {
		addr string
		rank uint64
	}
	list := make([]ranked, len(all))
	for i, addr := range all {
		h := fnv.New64a()
		_, _ = h.Write([]byte(addr + "\x00" + g.self))
		list[i] = ranked{addr, mix(h.Sum64())}
	}
	slices.SortFunc(list, func(a, b ranked) int {
		if a.rank < b.rank {
			return -1
		}
		return 1
	})
	out := make([]string, min(viewSize, len(list)))
	for i := range out {
		out[i] = list[i].addr
	}
	return out
}

// mix spreads similar inputs over the whole range; FNV alone keeps the order of addresses that differ in the last digits.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

func (g *Replicator) exchange(ctx context.Context, addr string) {
	dctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	p, err := g.connect(dctx, addr)
	if err != nil {
		return
	}
	theirs, err := p.Digest(dctx, g.docs.Versions())
	if err == nil {
		g.FetchNewer(ctx, p, theirs)
	}
}

// FetchNewer fetches the documents of which a process holds newer versions.
func (g *Replicator) FetchNewer(ctx context.Context, p Peer, theirs map[string]uint64) {
	for _, kind := range g.docs.NewerKinds(theirs) {
		if !g.begin(kind) {
			continue
		}
		g.fetch(ctx, p, kind)
		g.end(kind)
	}
}

// IsBehind reports whether a process holds a newer version of any document.
func (g *Replicator) IsBehind(theirs map[string]uint64) bool {
	return len(g.docs.NewerKinds(theirs)) > 0
}

func (g *Replicator) begin(kind string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.fetching[kind] {
		return false
	}
	g.fetching[kind] = true
	return true
}

func (g *Replicator) end(kind string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.fetching, kind)
}

func (g *Replicator) fetch(ctx context.Context, p Peer, kind string) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	d, err := g.read(ctx, p, kind)
	if err != nil {
		g.log.WithError(err).WithField("kind", kind).Debug("document not fetched")
		return
	}
	if d.Version > 0 && g.docs.PutIfNewer(d) {
		g.log.WithField("kind", kind).WithField("version", d.Version).Info("document in force")
	}
}

// read returns a process's document if it is newer, by deltas when they fit.
func (g *Replicator) read(ctx context.Context, p Peer, kind string) (Document, error) {
	have := g.docs.Get(kind)
	u, err := p.Fetch(ctx, kind, have.Version)
	if err != nil || u.Version <= have.Version {
		return Document{}, err
	}
	d, err := u.ApplyTo(have)
	if err == nil || len(u.Deltas) == 0 {
		return d, err
	}
	if u, err = p.Fetch(ctx, kind, 0); err != nil {
		return Document{}, err
	}
	return u.ApplyTo(Document{})
}

// Bootstrap takes the newest documents found among peers and in the object store,
// and tries again until the node holds a table.
func (g *Replicator) Bootstrap(ctx context.Context, saved func(ctx context.Context) (Document, error)) {
	for {
		g.bootRound(ctx, saved)
		if g.docs.Get(KindTable).Version > 0 {
			g.mu.Lock()
			g.booted = true
			g.mu.Unlock()
			return
		}
		timer := time.NewTimer(bootRetry)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}

// Bootstrapped reports whether the node has looked for the newest table and holds one.
func (g *Replicator) Bootstrapped() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.booted
}

func (g *Replicator) bootRound(ctx context.Context, saved func(ctx context.Context) (Document, error)) {
	addrs := slices.Clone(g.peers())
	jitter.Shuffle(g.random, addrs)
	var wg sync.WaitGroup
	for _, addr := range addrs[:min(bootPeers, len(addrs))] {
		wg.Go(func() { g.exchange(ctx, addr) })
	}
	wg.Go(func() {
		sctx, cancel := context.WithTimeout(ctx, fetchTimeout)
		defer cancel()
		if d, err := saved(sctx); err == nil && d.Version > 0 {
			g.docs.PutIfNewer(d)
		}
	})
	wg.Wait()
}
