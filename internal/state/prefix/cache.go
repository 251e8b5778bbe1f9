package prefix

import "container/list"

// lru is a map of bounded size that evicts the least recently written key. Reads don't count.
type lru[K comparable, V any] struct {
	size    int
	order   *list.List
	entries map[K]*list.Element
}

type entry[K comparable, V any] struct {
	key   K
	value V
}

func newLRU[K comparable, V any](size int) lru[K, V] {
	return lru[K, V]{size: size, order: list.New(), entries: map[K]*list.Element{}}
}

func (l *lru[K, V]) get(key K) (*V, bool) {
	el, ok := l.entries[key]
	if !ok {
		return nil, false
	}
	return &el.Value.(*entry[K, V]).value, true
}

// upsert returns the value of a key, which becomes the most recently written one.
func (l *lru[K, V]) upsert(key K) *V {
	if el, ok := l.entries[key]; ok {
		l.order.MoveToFront(el)
		return &el.Value.(*entry[K, V]).value
	}
	s := &entry[K, V]{key: key}
	l.entries[key] = l.order.PushFront(s)
	for l.order.Len() > l.size {
		delete(l.entries, l.order.Remove(l.order.Back()).(*entry[K, V]).key)
	}
	return &s.value
}

func (l *lru[K, V]) drop(key K) {
	if el, ok := l.entries[key]; ok {
		l.order.Remove(el)
		delete(l.entries, key)
	}
}

func (l *lru[K, V]) clear() {
	l.order.Init()
	clear(l.entries)
}

// CacheEstimate holds the digests of the prefixes that are probably in one engine's prefix
// cache.
type CacheEstimate struct{ digests lru[uint64, bool] }

// NewCacheEstimate returns an estimate of at most size digests.
func NewCacheEstimate(size int) *CacheEstimate {
	return &CacheEstimate{digests: newLRU[uint64, bool](size)}
}

// Add records that the engine has computed a prompt.
func (c *CacheEstimate) Add(digests Digests) {
	for _, d := range digests {
		*c.digests.upsert(d.Hash) = true
	}
}

// uncertainWeight is the part of its tokens with which an uncertain prefix counts. With half
// or none, choices were worse than if the gap in the engine's events that makes prefixes
// uncertain was ignored (docs/decisions/affinity.md).
const uncertainWeight = 0.9

// CachedTokens returns the tokens of a prompt's longest prefix in the estimate, fewer if it
// is uncertain.
func (c *CacheEstimate) CachedTokens(digests Digests) int {
	for i := len(digests) - 1; i >= 0; i-- {
		if certain, ok := c.digests.get(digests[i].Hash); ok {
			if *certain {
				return digests[i].Tokens
			}
			return int(uncertainWeight * float64(digests[i].Tokens))
		}
	}
	return 0
}

// Drop records that a prefix was evicted from the cache.
func (c *CacheEstimate) Drop(hash uint64) { c.digests.drop(hash) }

// MarkUncertain makes all prefixes uncertain, as after a gap in the engine's events.
func (c *CacheEstimate) MarkUncertain() {
	for _, el := range c.digests.entries {
		el.Value.(*entry[uint64, bool]).value = false
	}
}

// Clear removes all digests, as after a restart of the engine.
func (c *CacheEstimate) Clear() { c.digests.clear() }

// Len returns the number of digests.
func (c *CacheEstimate) Len() int { return c.digests.order.Len() }

// maxHolders is the number of endpoints kept for a digest: the homes of a conversation.
const maxHolders = 2

// Index maps digests to the endpoints that probably have the prefix in their cache.
type Index struct {
	digests lru[uint64, [maxHolders]string]
}

// NewIndex returns an index of at most size digests, about 170 bytes each.
func NewIndex(size int) *Index { return &Index{digests: newLRU[uint64, [maxHolders]string](size)} }

// Add records that an endpoint computes a prompt. The latest endpoints of a digest are kept.
func (x *Index) Add(endpoint string, digests Digests) {
	for _, d := range digests {
		v := x.digests.upsert(d.Hash)
		if v[0] != endpoint {
			v[0], v[1] = endpoint, v[0]
		}
	}
}

// Drop records that an endpoint does not have a prompt in its cache.
func (x *Index) Drop(endpoint string, digests Digests) {
	for _, d := range digests {
		v, ok := x.digests.get(d.Hash)
		if !ok {
			continue
		}
		if v[1] == endpoint {
			v[1] = ""
		}
		if v[0] == endpoint {
			v[0], v[1] = v[1], ""
		}
		if v[0] == "" {
			x.digests.drop(d.Hash)
		}
	}
}

// CachedTokens returns the tokens of a prompt's longest prefix that an endpoint probably has
// in its cache.
func (x *Index) CachedTokens(endpoint string, digests Digests) int {
	for i := len(digests) - 1; i >= 0; i-- {
		if v, ok := x.digests.get(digests[i].Hash); ok && (v[0] == endpoint || v[1] == endpoint) {
			return digests[i].Tokens
		}
	}
	return 0
}

// Len returns the number of digests in the index.
func (x *Index) Len() int { return x.digests.order.Len() }

// BlockIndex maps an engine's names of cache blocks to the hashes of the prefixes that end in
// them.
type BlockIndex struct{ blocks lru[string, uint64] }

// NewBlockIndex returns an index of at most size blocks.
func NewBlockIndex(size int) *BlockIndex { return &BlockIndex{blocks: newLRU[string, uint64](size)} }

// Add adds the hashes of a prompt's digests by block name.
func (x *BlockIndex) Add(hashes map[string]uint64) {
	for block, hash := range hashes {
		*x.blocks.upsert(block) = hash
	}
}

// Get returns the prefix hash of a block, or false if the block is unknown.
func (x *BlockIndex) Get(block string) (hash uint64, ok bool) {
	v, ok := x.blocks.get(block)
	if !ok {
		return 0, false
	}
	return *v, true
}
