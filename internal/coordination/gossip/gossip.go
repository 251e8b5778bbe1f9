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
	// gossipInterval is the mean time between two digest exchanges that this process starts.
	gossipInterval = 500 * time.Millisecond
	// pushFanout is the number of peers to which a new document is announced at once.
	pushFanout = 3
	// burstFanout replaces pushFanout for documents that follow one another within burstWindow;
	// with a fanout of 3, one document a second takes up to 7.6 KB/s, above a node's limit of 7 KB/s.
	burstFanout = 2
	// burstWindow is the time since the last announcement in which burstFanout applies.
	burstWindow = 2 * time.Second
	// viewSize is the number of peers in the gossip view, with which a node usually exchanges
	// digests. A small fixed set limits the number of open connections.
	viewSize = 12
	// randomPeerEvery is the mean number of periodic exchanges of which one is with a peer picked
	// from all peers, so that a node whose whole view is unreachable still learns of changes.
	randomPeerEvery = 16
	// exchangeTimeout bounds a connect and digest exchange, so that a paused peer is given up.
	exchangeTimeout = time.Second
	// fetchTimeout bounds the fetch of a document.
	fetchTimeout = 2 * time.Second
	// bootstrapPeers is the number of peers asked for documents in a bootstrap round.
	bootstrapPeers = 8
	// bootstrapRetry is the pause between bootstrap rounds.
	bootstrapRetry = 500 * time.Millisecond
)

// Peer is a connection to another process's replicator.
type Peer interface {
	// Digest sends the document versions held here, by kind, and returns those of the peer.
	Digest(ctx context.Context, versions map[string]uint64) (map[string]uint64, error)
	// Fetch returns the update from version have to the peer's newest version.
	Fetch(ctx context.Context, kind string, have uint64) (Update, error)
}

// Replicator exchanges the newest documents with other processes, so that a change reaches
// every node even during an outage of the table service.
type Replicator struct {
	self        string
	docs        *Store
	connect     func(ctx context.Context, address string) (Peer, error)
	peers       func() []string
	random      jitter.Random
	log         *logrus.Entry
	newDocument chan struct{}

	mu sync.Mutex
	// fetching holds the kinds being fetched, so that several digests cause only one fetch.
	fetching     map[string]bool
	bootstrapped bool
	// viewPeers is the list of peers from which cachedView was computed.
	viewPeers, cachedView []string
}

// NewReplicator returns a replicator of docs. It picks its peers from the addresses that the
// function peers returns and reaches them with connect; self identifies this node.
func NewReplicator(self string, docs *Store, connect func(ctx context.Context, address string) (Peer, error), peers func() []string, random jitter.Random, log *logrus.Entry) *Replicator {
	r := &Replicator{
		self: self, docs: docs, connect: connect, peers: peers, random: random, log: log,
		newDocument: make(chan struct{}, 1), fetching: map[string]bool{},
	}
	docs.Subscribe(func(Document) {
		select {
		case r.newDocument <- struct{}{}:
		default:
		}
	})
	return r
}

// Run exchanges digests periodically and after each new document, until the context ends.
func (r *Replicator) Run(ctx context.Context) {
	var lastPush time.Time
	for {
		timer := time.NewTimer(r.random.Around(gossipInterval))
		fanout := 1
		select {
		case <-timer.C:
		case <-r.newDocument:
			fanout = pushFanout
			if time.Since(lastPush) < burstWindow {
				fanout = burstFanout
			}
			lastPush = time.Now()
		case <-ctx.Done():
			timer.Stop()
			return
		}
		timer.Stop()
		for _, addr := range r.targets(fanout) {
			go r.exchange(ctx, addr)
		}
	}
}

// targets picks up to n distinct peers to exchange digests with.
func (r *Replicator) targets(n int) []string {
	all := r.peers()
	if len(all) == 0 {
		return nil
	}
	if n == 1 && r.random.N(randomPeerEvery) == 0 {
		return []string{all[r.random.N(int64(len(all)))]}
	}
	view := r.gossipView(all)
	jitter.Shuffle(r.random, view)
	return view[:min(n, len(view))]
}

// gossipView returns a copy of the gossip view, which changes only with the list of peers.
func (r *Replicator) gossipView(all []string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !slices.Equal(all, r.viewPeers) {
		r.viewPeers, r.cachedView = slices.Clone(all), r.computeView(all)
	}
	return slices.Clone(r.cachedView)
}

// computeView returns the peers that rendezvous hashing ranks first for this node, so that a
// membership change replaces only the peers that it concerns.
func (r *Replicator) computeView(all []string) []string {
	type ranked struct {
		addr string
		rank uint64
	}
	list := make([]ranked, len(all))
	for i, addr := range all {
		h := fnv.New64a()
		_, _ = h.Write([]byte(addr + "\x00" + r.self))
		list[i] = ranked{addr, mixHash(h.Sum64())}
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

// mixHash spreads similar hashes over the whole range; FNV alone keeps the order of addresses that differ in the last digits.
func mixHash(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

func (r *Replicator) exchange(ctx context.Context, addr string) {
	dctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	p, err := r.connect(dctx, addr)
	if err != nil {
		return
	}
	theirs, err := p.Digest(dctx, r.docs.Versions())
	if err == nil {
		r.FetchNewer(ctx, p, theirs)
	}
}

// FetchNewer fetches the documents of which a peer has newer versions; theirs are the peer's
// versions by kind. A kind that is already being fetched is skipped.
func (r *Replicator) FetchNewer(ctx context.Context, p Peer, theirs map[string]uint64) {
	for _, kind := range r.docs.NewerKinds(theirs) {
		if !r.beginFetch(kind) {
			continue
		}
		r.fetch(ctx, p, kind)
		r.endFetch(kind)
	}
}

// IsBehind reports whether a peer with the versions theirs has a newer version of any document.
func (r *Replicator) IsBehind(theirs map[string]uint64) bool {
	return len(r.docs.NewerKinds(theirs)) > 0
}

func (r *Replicator) beginFetch(kind string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fetching[kind] {
		return false
	}
	r.fetching[kind] = true
	return true
}

func (r *Replicator) endFetch(kind string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.fetching, kind)
}

func (r *Replicator) fetch(ctx context.Context, p Peer, kind string) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	d, err := r.fetchDocument(ctx, p, kind)
	if err != nil {
		r.log.WithError(err).WithField("kind", kind).Debug("cannot fetch a document from a peer")
		return
	}
	if d.Version > 0 && r.docs.PutIfNewer(d) {
		r.log.WithField("kind", kind).WithField("version", d.Version).Info("document in force")
	}
}

// fetchDocument returns a peer's document if it is newer, or an empty one. If the peer's deltas
// do not apply, it fetches the whole document.
func (r *Replicator) fetchDocument(ctx context.Context, p Peer, kind string) (Document, error) {
	have := r.docs.Get(kind)
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

// Bootstrap takes the newest documents found among a sample of peers and in the backup that
// readBackup returns, and repeats that until the node holds a table.
func (r *Replicator) Bootstrap(ctx context.Context, readBackup func(ctx context.Context) (Document, error)) {
	for {
		r.bootstrapRound(ctx, readBackup)
		if r.docs.Get(KindTable).Version > 0 {
			r.mu.Lock()
			r.bootstrapped = true
			r.mu.Unlock()
			return
		}
		timer := time.NewTimer(bootstrapRetry)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}

// Bootstrapped reports whether Bootstrap has completed.
func (r *Replicator) Bootstrapped() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.bootstrapped
}

func (r *Replicator) bootstrapRound(ctx context.Context, readBackup func(ctx context.Context) (Document, error)) {
	addrs := slices.Clone(r.peers())
	jitter.Shuffle(r.random, addrs)
	var wg sync.WaitGroup
	for _, addr := range addrs[:min(bootstrapPeers, len(addrs))] {
		wg.Go(func() { r.exchange(ctx, addr) })
	}
	wg.Go(func() {
		sctx, cancel := context.WithTimeout(ctx, fetchTimeout)
		defer cancel()
		if d, err := readBackup(sctx); err == nil && d.Version > 0 {
			r.docs.PutIfNewer(d)
		}
	})
	wg.Wait()
}
