package prefix

import "container/list"

// lru is a map of bounded size that drops what was used least recently.
type lru[K comparable, V any] struct {
	size  int
	order *list.List
	at    map[K]*list.Element
}

type slot[K comparable, V any] struct {
	key   K
	value V
}

func newLRU[K comparable, V any](size int) lru[K, V] {
	return lru[K, V]{size: size, order: list.New(), at: map[K]*list.Element{}}
}

func (l *lru[K, V]) get(key K) (*V, bool) {
	el, ok := l.at[key]
	if !ok {
		return nil, false
	}
	return &el.Value.(*slot[K, V]).value, true
}

// put returns the value of a key, which becomes the newest.
func (l *lru[K, V]) put(key K) *V {
	if el, ok := l.at[key]; ok {
		l.order.MoveToFront(el)
		return &el.Value.(*slot[K, V]).value
	}
	s := &slot[K, V]{key: key}
	l.at[key] = l.order.PushFront(s)
	for l.order.Len() > l.size {
		delete(l.at, l.order.Remove(l.order.Back()).(*slot[K, V]).key)
	}
	return &s.value
}

func (l *lru[K, V]) drop(key K) {
	if el, ok := l.at[key]; ok {
		l.order.Remove(el)
		delete(l.at, key)
	}
}

func (l *lru[K, V]) clear() {
	l.order.Init()
	clear(l.at)
}

// CacheEstimate is what one engine probably holds in its prefix cache.
type CacheEstimate struct{ marks lru[uint64, bool] }

// NewCacheEstimate returns a memory of at most size marks.
func NewCacheEstimate(size int) *CacheEstimate {
	return &CacheEstimate{marks: newLRU[uint64, bool](size)}
}

// Add notes that the engine has computed a prompt.
func (k *CacheEstimate) Add(marks Digests) {
	for _, m := range marks {
		*k.marks.put(m.Hash) = true
	}
}

// doubt is the share of its tokens for which an uncertain beginning counts. Counting
// half or none made the choice worse than ignoring the gap (docs/decisions/affinity.md).
const doubt = 0.9

// CachedTokens returns the tokens of the longest beginning held, fewer if it became uncertain.
func (k *CacheEstimate) CachedTokens(marks Digests) int {
	for i := len(marks) - 1; i >= 0; i-- {
		if sure, ok := k.marks.get(marks[i].Hash); ok {
			if *sure {
				return marks[i].Tokens
			}
			return int(doubt * float64(marks[i].Tokens))
		}
	}
	return 0
}

// Drop notes that a beginning has left the cache.
func (k *CacheEstimate) Drop(hash uint64) { k.marks.drop(hash) }

// MarkUncertain makes all that is held uncertain, as after a gap in the engine's events.
func (k *CacheEstimate) MarkUncertain() {
	for _, el := range k.marks.at {
		el.Value.(*slot[uint64, bool]).value = false
	}
}

// Clear forgets everything, as after a restart of the engine.
func (k *CacheEstimate) Clear() { k.marks.clear() }

// Len returns the number of marks held.
func (k *CacheEstimate) Len() int { return k.marks.order.Len() }

// holdersPerMark is the number of endpoints kept for a mark: the homes of a conversation.
const holdersPerMark = 2

// Index says which endpoints probably hold which beginnings.
type Index struct {
	marks lru[uint64, [holdersPerMark]string]
}

// NewIndex returns a map of at most size marks, about 170 bytes each.
func NewIndex(size int) *Index { return &Index{marks: newLRU[uint64, [holdersPerMark]string](size)} }

// Add notes that an endpoint computes a prompt; the newest endpoints of a mark are kept.
func (m *Index) Add(endpoint string, marks Digests) {
	for _, k := range marks {
		v := m.marks.put(k.Hash)
		if v[0] != endpoint {
			v[0], v[1] = endpoint, v[0]
		}
	}
}

// Drop notes that an endpoint doesn't hold a prompt.
func (m *Index) Drop(endpoint string, marks Digests) {
	for _, k := range marks {
		v, ok := m.marks.get(k.Hash)
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
			m.marks.drop(k.Hash)
		}
	}
}

// CachedTokens returns the tokens of the longest beginning that an endpoint probably holds.
func (m *Index) CachedTokens(endpoint string, marks Digests) int {
	for i := len(marks) - 1; i >= 0; i-- {
		if v, ok := m.marks.get(marks[i].Hash); ok && (v[0] == endpoint || v[1] == endpoint) {
			return marks[i].Tokens
		}
	}
	return 0
}

// Len returns the number of marks kept.
func (m *Index) Len() int { return m.marks.order.Len() }

// BlockIndex maps an engine's names of cache blocks to marks that end there.
type BlockIndex struct{ marks lru[string, uint64] }

// NewBlockIndex returns a map of at most size names.
func NewBlockIndex(size int) *BlockIndex { return &BlockIndex{marks: newLRU[string, uint64](size)} }

// Add notes the names of a prompt's marks.
func (n *BlockIndex) Add(names map[string]uint64) {
	for name, mark := range names {
		*n.marks.put(name) = mark
	}
}

// Get returns the mark of a name.
func (n *BlockIndex) Get(name string) (mark uint64, ok bool) {
	v, ok := n.marks.get(name)
	if !ok {
		return 0, false
	}
	return *v, true
}
