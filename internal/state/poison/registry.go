package poison

import (
	"cmp"
	"slices"
	"time"
)

const (
	// RecordTTL is how long a mark is kept after its newest crash or verdict.
	RecordTTL = time.Hour
	// MaxRecords bounds a book; a mark takes about 300 bytes.
	MaxRecords = 4096
	// maxCrashes bounds the crashes kept of one mark.
	maxCrashes = 8
)

// Level says what is known of one crash. A higher level replaces a lower one.
type Level int

// The levels of a crash.
const (
	// LevelShared means that the request ran with others when the engine crashed.
	LevelShared Level = iota + 1
	// LevelCleared means that the request completed alone after the crash.
	LevelCleared
	// LevelAlone means that the request ran alone when the engine crashed.
	LevelAlone
)

// Crash is one crash of an engine while a request ran on it.
type Crash struct {
	ID    string `json:"id"`
	Level Level  `json:"level"`
}

// CrashRecord is all that is known of one fingerprint.
type CrashRecord struct {
	Fingerprint string
	// Model is the model whose holders must hear of the mark first.
	Model     string
	Crashes   []Crash
	ExpiresAt time.Time
}

// Verdict is what may be done with a request.
type Verdict int

// The verdicts.
const (
	Clean Verdict = iota
	Suspect
	Blocked
)

// Verdict returns the verdict that the mark's crashes justify.
func (m CrashRecord) Verdict() Verdict {
	v := Clean
	for _, c := range m.Crashes {
		switch c.Level {
		case LevelAlone:
			return Blocked
		case LevelShared:
			v = Suspect
		}
	}
	return v
}

// Merge returns the union of what two marks of one fingerprint know, and whether m gained from o.
func (m CrashRecord) Merge(o CrashRecord) (CrashRecord, bool) {
	levels := make(map[string]Level, len(m.Crashes)+len(o.Crashes))
	for _, c := range slices.Concat(m.Crashes, o.Crashes) {
		levels[c.ID] = max(levels[c.ID], c.Level)
	}
	out := CrashRecord{Fingerprint: o.Fingerprint, Model: o.Model, ExpiresAt: o.ExpiresAt, Crashes: make([]Crash, 0, len(levels))}
	if m.ExpiresAt.After(o.ExpiresAt) {
		out.ExpiresAt = m.ExpiresAt
	}
	for id, l := range levels {
		out.Crashes = append(out.Crashes, Crash{ID: id, Level: l})
	}
	slices.SortFunc(out.Crashes, func(a, b Crash) int {
		return cmp.Or(cmp.Compare(b.Level, a.Level), cmp.Compare(a.ID, b.ID))
	})
	out.Crashes = out.Crashes[:min(len(out.Crashes), maxCrashes)]
	return out, !slices.Equal(out.Crashes, m.Crashes)
}

// Registry holds marks by fingerprint. It is not safe for concurrent use.
type Registry struct{ marks map[string]CrashRecord }

// New returns an empty book.
func New() *Registry { return &Registry{marks: map[string]CrashRecord{}} }

// Get returns the mark of a fingerprint that has not expired.
func (b *Registry) Get(fingerprint string, now time.Time) (CrashRecord, bool) {
	m, ok := b.marks[fingerprint]
	return m, ok && now.Before(m.ExpiresAt)
}

// Verdict returns the verdict on a fingerprint.
func (b *Registry) Verdict(fingerprint string, now time.Time) Verdict {
	m, _ := b.Get(fingerprint, now)
	if !now.Before(m.ExpiresAt) {
		return Clean
	}
	return m.Verdict()
}

// Add merges a mark into the book and reports whether the book learned from it.
func (b *Registry) Add(m CrashRecord, now time.Time) bool {
	if !now.Before(m.ExpiresAt) {
		return false
	}
	if latest := now.Add(RecordTTL); m.ExpiresAt.After(latest) {
		m.ExpiresAt = latest
	}
	cur, ok := b.Get(m.Fingerprint, now)
	if !ok {
		cur = CrashRecord{}
	}
	next, news := cur.Merge(m)
	b.marks[m.Fingerprint] = next
	if len(b.marks) > MaxRecords {
		b.evict(now)
	}
	return news
}

// WithCrashesCleared returns the mark with every shared crash cleared.
func (m CrashRecord) WithCrashesCleared(until time.Time) CrashRecord {
	m.ExpiresAt, m.Crashes = until, slices.Clone(m.Crashes)
	for i := range m.Crashes {
		m.Crashes[i].Level = max(m.Crashes[i].Level, LevelCleared)
	}
	return m
}

// evict drops expired marks, or the mark of the lowest verdict that expires first.
func (b *Registry) evict(now time.Time) {
	var least CrashRecord
	for k, m := range b.marks {
		if !now.Before(m.ExpiresAt) {
			delete(b.marks, k)
			continue
		}
		if least.Fingerprint == "" || cmp.Or(cmp.Compare(m.Verdict(), least.Verdict()), m.ExpiresAt.Compare(least.ExpiresAt), cmp.Compare(k, least.Fingerprint)) < 0 {
			least = m
		}
	}
	if len(b.marks) > MaxRecords {
		delete(b.marks, least.Fingerprint)
	}
}
