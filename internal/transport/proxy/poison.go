package proxy

import (
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"chervilhead/internal/state/poison"
)

const (
	// maxCrashes is the number of crashes from which equal requests are blocked; the platform
	// allows a request to bring down three endpoints.
	maxCrashes = 3
	// crashRecordTTL is how long a crash record lasts without an update.
	crashRecordTTL = 2 * time.Minute
)

// poisonTracker keeps the crash records of suspect requests, by fingerprint. A broken
// connection doesn't prove a crash, but a harmless request is unlikely to meet three.
type poisonTracker struct {
	mu       sync.Mutex
	registry *poison.Registry
	size     int
	suspects *poison.Suspects
	// blockSentAt is when this gateway last told the others of a blocked part.
	blockSentAt map[string]time.Time
}

func newPoisonTracker() *poisonTracker {
	return &poisonTracker{registry: poison.New(), suspects: poison.NewSuspects(), blockSentAt: map[string]time.Time{}}
}

// fingerprint identifies requests with the same method, host, target and body.
func (c *call) fingerprint() string {
	if c.cachedFingerprint == "" {
		d := xxhash.New()
		_, _ = d.WriteString(c.in.Method + " " + c.in.Host + c.in.RequestURI + "\n")
		_, _ = d.Write(c.body)
		c.cachedFingerprint = strconv.FormatUint(d.Sum64(), 16)
	}
	return c.cachedFingerprint
}

// blocked reports whether equal requests have broken maxCrashes connections.
func (t *poisonTracker) blocked(c *call, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.size == 0 {
		return false
	}
	rec, ok := t.registry.Get(c.fingerprint(), now)
	return ok && unclearedCrashes(rec) >= maxCrashes
}

// unclearedCrashes counts the crashes that no complete response to an equal request followed.
func unclearedCrashes(rec poison.CrashRecord) int {
	n := 0
	for _, c := range rec.Crashes {
		if c.Level != poison.LevelCleared {
			n++
		}
	}
	return n
}

// add merges a crash record of this gateway or another one. It returns the merged record and
// whether that is news.
func (t *poisonTracker) add(rec poison.CrashRecord, now time.Time) (poison.CrashRecord, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	news := t.registry.Add(rec, now)
	if news {
		t.size++
	}
	merged, _ := t.registry.Get(rec.Fingerprint, now)
	return merged, news
}

// recordCrash records and broadcasts that a connection broke while an endpoint had the request.
func (h *Handler) recordCrash(c *call, now time.Time) {
	rec := poison.CrashRecord{
		Fingerprint: c.fingerprint(), Model: c.req.ModelName.Model, ExpiresAt: now.Add(crashRecordTTL),
		Crashes: []poison.Crash{{ID: c.id + "/" + strconv.Itoa(c.attempts), Level: poison.LevelShared}},
	}
	merged, _ := h.poisonTracker.add(rec, now)
	h.metrics.crashRecords.WithLabelValues("own").Inc()
	h.log.WithFields(logrus.Fields{
		"request": c.id, "endpoint": c.choice.ID, "fingerprint": rec.Fingerprint, "crashes": unclearedCrashes(merged),
		"prompt": c.in.Header.Get(h.cfg.Headers.PromptPrefix), "events": c.timeToFirstEvent > 0,
	}).Info("crash recorded")
	h.control.BroadcastCrashRecords([]poison.CrashRecord{rec})
}

// clearCrashes clears the crashes of a suspect request that has a complete response.
func (h *Handler) clearCrashes(c *call, now time.Time) {
	h.poisonTracker.mu.Lock()
	if h.poisonTracker.size == 0 {
		h.poisonTracker.mu.Unlock()
		return
	}
	rec, ok := h.poisonTracker.registry.Get(c.fingerprint(), now)
	h.poisonTracker.mu.Unlock()
	if !ok || unclearedCrashes(rec) == 0 {
		return
	}
	rec = rec.WithCrashesCleared(now.Add(crashRecordTTL))
	h.poisonTracker.add(rec, now)
	h.control.BroadcastCrashRecords([]poison.CrashRecord{rec})
}

// MergeCrashRecord merges another gateway's crash record of a suspect request or prompt part.
func (h *Handler) MergeCrashRecord(rec poison.CrashRecord) {
	now := time.Now()
	if poison.IsPart(rec) {
		h.mergePart(rec, now)
		return
	}
	rec.ExpiresAt = now.Add(crashRecordTTL)
	if merged, news := h.poisonTracker.add(rec, now); news {
		h.metrics.crashRecords.WithLabelValues("received").Inc()
		h.log.WithFields(logrus.Fields{"fingerprint": rec.Fingerprint, "crashes": unclearedCrashes(merged)}).Info("crash record received")
	}
}
