package poison

import (
	"cmp"
	"slices"
	"time"
)

const (
	// RecordTTL is how long a crash record is kept after its newest crash or clearance.
	RecordTTL = time.Hour
	// MaxRecords bounds the records of a registry; each takes about 300 bytes.
	MaxRecords = 4096
	// maxCrashes bounds the crashes of one record.
	maxCrashes = 8
)

// Level is what is known of a request's part in a crash. A higher level replaces a lower one.
type Level int

// The levels of a crash.
const (
	// LevelShared means that the request ran with others when the engine crashed.
	LevelShared Level = iota + 1
	// LevelCleared means that the request completed in an isolated run after the crash.
	LevelCleared
	// LevelAlone means that the request ran alone when the engine crashed.
	LevelAlone
)

// Crash is one crash of an engine on which the request ran.
type Crash struct {
	ID    string `json:"id"`
	Level Level  `json:"level"`
}

// CrashRecord is what is known of the requests with one fingerprint.
type CrashRecord struct {
	Fingerprint string
	// Model is the model whose holders receive the record first.
	Model     string
	Crashes   []Crash
	ExpiresAt time.Time
}

// Verdict tells whether and how a request may run.
type Verdict int

// The verdicts: a clean request runs like any other, a suspect one in isolation, a blocked one
// not at all.
const (
	Clean Verdict = iota
	Suspect
	Blocked
)

// Verdict returns the verdict that follows from the record's crashes.
func (r CrashRecord) Verdict() Verdict {
	v := Clean
	for _, c := range r.Crashes {
		switch c.Level {
		case LevelAlone:
			return Blocked
		case LevelShared:
			v = Suspect
		}
	}
	return v
}

// Merge returns the union of two records of one fingerprint, and whether the crashes differ
// from those of r.
func (r CrashRecord) Merge(o CrashRecord) (CrashRecord, bool) {
	levels := make(map[string]Level, len(r.Crashes)+len(o.Crashes))
	for _, c := range slices.Concat(r.Crashes, o.Crashes) {
		levels[c.ID] = max(levels[c.ID], c.Level)
	}
	out := CrashRecord{Fingerprint: o.Fingerprint, Model: o.Model, ExpiresAt: o.ExpiresAt, Crashes: make([]Crash, 0, len(levels))}
	if r.ExpiresAt.After(o.ExpiresAt) {
		out.ExpiresAt = r.ExpiresAt
	}
	for id, l := range levels {
		out.Crashes = append(out.Crashes, Crash{ID: id, Level: l})
	}
	slices.SortFunc(out.Crashes, func(a, b Crash) int {
		return cmp.Or(cmp.Compare(b.Level, a.Level), cmp.Compare(a.ID, b.ID))
	})
	out.Crashes = out.Crashes[:min(len(out.Crashes), maxCrashes)]
	return out, !slices.Equal(out.Crashes, r.Crashes)
}

// Registry holds crash records by fingerprint. It is not safe for concurrent use.
type Registry struct{ records map[string]CrashRecord }

// New returns an empty registry.
func New() *Registry { return &Registry{records: map[string]CrashRecord{}} }

// Get returns the record of a fingerprint, and whether there is one that has not expired.
func (r *Registry) Get(fingerprint string, now time.Time) (CrashRecord, bool) {
	rec, ok := r.records[fingerprint]
	return rec, ok && now.Before(rec.ExpiresAt)
}

// Verdict returns the verdict on a fingerprint.
func (r *Registry) Verdict(fingerprint string, now time.Time) Verdict {
	rec, _ := r.Get(fingerprint, now)
	if !now.Before(rec.ExpiresAt) {
		return Clean
	}
	return rec.Verdict()
}

// Add merges a record into the registry and reports whether its crashes changed.
func (r *Registry) Add(rec CrashRecord, now time.Time) bool {
	if !now.Before(rec.ExpiresAt) {
		return false
	}
	if latest := now.Add(RecordTTL); rec.ExpiresAt.After(latest) {
		rec.ExpiresAt = latest
	}
	cur, ok := r.Get(rec.Fingerprint, now)
	if !ok {
		cur = CrashRecord{}
	}
	merged, changed := cur.Merge(rec)
	r.records[rec.Fingerprint] = merged
	if len(r.records) > MaxRecords {
		r.evict(now)
	}
	return changed
}

// WithCrashesCleared returns the record, expiring at a time, with every shared crash cleared.
func (r CrashRecord) WithCrashesCleared(until time.Time) CrashRecord {
	r.ExpiresAt, r.Crashes = until, slices.Clone(r.Crashes)
	for i := range r.Crashes {
		r.Crashes[i].Level = max(r.Crashes[i].Level, LevelCleared)
	}
	return r
}

// evict drops the expired records, or if there are none, the one that expires first among
// those with the least severe verdict.
func (r *Registry) evict(now time.Time) {
	var least CrashRecord
	for fingerprint, rec := range r.records {
		if !now.Before(rec.ExpiresAt) {
			delete(r.records, fingerprint)
			continue
		}
		if least.Fingerprint == "" || cmp.Or(cmp.Compare(rec.Verdict(), least.Verdict()), rec.ExpiresAt.Compare(least.ExpiresAt), cmp.Compare(fingerprint, least.Fingerprint)) < 0 {
			least = rec
		}
	}
	if len(r.records) > MaxRecords {
		delete(r.records, least.Fingerprint)
	}
}
