package proxy

import (
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"chervilhead/internal/state/poison"
)

const (
	// maxCrashes is the number of endpoints that equal requests may bring down; the
	// platform allows three.
	maxCrashes = 3
	// markFor is how long a suspicion lasts without a further crash.
	markFor = 2 * time.Minute
)

// suspects are the requests that may crash endpoints, by fingerprint. A broken connection
// is no proof of a crash, but an innocent request hardly meets three.
type suspects struct {
	mu   sync.Mutex
	book *poison.Registry
	size int
}

func newSuspects() *suspects { return &suspects{book: poison.New()} }

// fingerprint identifies requests with the same target and body.
func (c *call) fingerprint() string {
	if c.print == "" {
		d := xxhash.New()
		_, _ = d.WriteString(c.in.Method + " " + c.in.Host + c.in.RequestURI + "\n")
		_, _ = d.Write(c.body)
		c.print = strconv.FormatUint(d.Sum64(), 16)
	}
	return c.print
}

// condemned reports whether equal requests have broken as many connections as endpoints
// may be lost.
func (s *suspects) condemned(c *call, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.size == 0 {
		return false
	}
	m, ok := s.book.Get(c.fingerprint(), now)
	return ok && shared(m) >= maxCrashes
}

// shared counts the crashes that no complete answer followed.
func shared(m poison.CrashRecord) int {
	n := 0
	for _, c := range m.Crashes {
		if c.Level != poison.LevelCleared {
			n++
		}
	}
	return n
}

// add merges what another gateway or this one knows.
func (s *suspects) add(m poison.CrashRecord, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.book.Add(m, now) {
		s.size++
	}
}

// broke notes that a connection broke while an endpoint had the request.
func (h *Handler) broke(c *call, now time.Time) {
	m := poison.CrashRecord{
		Fingerprint: c.fingerprint(), Model: c.req.ModelName.Model, ExpiresAt: now.Add(markFor),
		Crashes: []poison.Crash{{ID: c.id + "/" + strconv.Itoa(c.tries), Level: poison.LevelShared}},
	}
	h.suspects.add(m, now)
	h.fleet.BroadcastCrashRecord(m)
}

// cleared notes a complete answer to a request that was suspected.
func (h *Handler) cleared(c *call, now time.Time) {
	h.suspects.mu.Lock()
	if h.suspects.size == 0 {
		h.suspects.mu.Unlock()
		return
	}
	m, ok := h.suspects.book.Get(c.fingerprint(), now)
	h.suspects.mu.Unlock()
	if !ok || shared(m) == 0 {
		return
	}
	m = m.WithCrashesCleared(now.Add(markFor))
	h.suspects.add(m, now)
	h.fleet.BroadcastCrashRecord(m)
}

// MergeCrashRecord takes over what another gateway knows of a suspected request.
func (h *Handler) MergeCrashRecord(m poison.CrashRecord) {
	now := time.Now()
	m.ExpiresAt = now.Add(markFor)
	h.suspects.add(m, now)
}
