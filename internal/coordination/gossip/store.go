package gossip

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// The kinds of documents.
const (
	KindTable = "table"
	KindPlan  = "plan"
	KindShare = "share"
)

// Document is one version of a document.
type Document struct {
	Kind    string
	Version uint64
	Data    []byte
}

// heldDocument is the newest document of one kind, with the recent deltas that led to it.
type heldDocument struct {
	Document
	// since is when this version was stored here.
	since  time.Time
	deltas deltaLog
}

// Store holds the newest document of each kind.
type Store struct {
	mu   sync.Mutex
	docs map[string]*heldDocument
	subs []func(Document)
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{docs: map[string]*heldDocument{}} }

// PutIfNewer stores a document and calls the subscribers if it is newer than the one held; it
// reports whether it was.
func (s *Store) PutIfNewer(d Document) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	cur, ok := s.docs[d.Kind]
	if ok && cur.Version >= d.Version {
		return false
	}
	d.Data = slices.Clone(d.Data)
	next := &heldDocument{Document: d, since: time.Now()}
	if ok {
		next.deltas = cur.deltas.with(cur.Document, d)
	}
	s.docs[d.Kind] = next
	// Subscribers are called under the lock, so that they get versions in ascending order.
	for _, f := range s.subs {
		f(d)
	}
	return true
}

// Get returns the newest document of a kind; its version is 0 when none is held.
func (s *Store) Get(kind string) Document {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h, ok := s.docs[kind]; ok {
		return h.Document
	}
	return Document{}
}

// Age returns the time since the held document of a kind was stored here, or 0 if none is held.
func (s *Store) Age(kind string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h, ok := s.docs[kind]; ok {
		return time.Since(h.since)
	}
	return 0
}

// UpdateSince returns the update from version have to the newest version: deltas if they are
// known and smaller than the document, else the document.
func (s *Store) UpdateSince(kind string, have uint64) Update {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.docs[kind]
	if !ok {
		return Update{Kind: kind}
	}
	u := Update{Kind: kind, Version: h.Version}
	if h.Version <= have {
		return u
	}
	u.Checksum = checksum(h.Data)
	if steps, size := h.deltas.from(have); steps != nil && size < len(h.Data) {
		u.Base, u.Deltas = have, steps
		return u
	}
	u.Data = h.Data
	return u
}

// Versions returns the held version of each kind.
func (s *Store) Versions() map[string]uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]uint64, len(s.docs))
	for k, d := range s.docs {
		out[k] = d.Version
	}
	return out
}

// NewerKinds returns the kinds of which other has a newer version than this store, in order.
func (s *Store) NewerKinds(other map[string]uint64) []string {
	mine := s.Versions()
	var out []string
	for _, k := range slices.Sorted(maps.Keys(other)) {
		if other[k] > mine[k] {
			out = append(out, k)
		}
	}
	return out
}

// Subscribe calls f for every document held now and later for every newer one.
// f must not block and must not call the store.
func (s *Store) Subscribe(f func(Document)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subs = append(s.subs, f)
	for _, d := range s.docs {
		f(d.Document)
	}
}
