package proxy

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"chervilhead/internal/state/fleet"
	"chervilhead/internal/state/poison"
)

const (
	// maxSuspectParts bounds the parts of one prompt that may become suspect.
	maxSuspectParts = 16
	// blockResend is the pause between two messages to the other gateways about a blocked
	// part, while requests with it come. They reach gateways that were cut off or have just
	// started.
	blockResend = time.Second
)

// sharedPartKeys returns the keys of a prompt's parts that other requests may hold too: all but
// the last. The key of a part covers the service, whose endpoints run the same software, but
// neither the model nor the parts before it.
func sharedPartKeys(service, prompt string) []string {
	parts := strings.Split(prompt, ",")
	var out []string
	for _, p := range parts[:len(parts)-1] {
		id, _, _ := strings.Cut(p, ":")
		if id = strings.ToLower(strings.TrimSpace(id)); id == "" || len(out) == maxSuspectParts {
			break
		}
		key := strconv.FormatUint(xxhash.Sum64String(service+"\n"+id), 36)
		if !slices.Contains(out, key) {
			out = append(out, key)
		}
	}
	return out
}

// incarnationKey identifies an endpoint incarnation in the crashes of parts.
func incarnationKey(e fleet.Endpoint) string {
	const keyBits = 40
	return strconv.FormatUint(xxhash.Sum64String(poolKey(e))>>(64-keyBits), 36)
}

// blockedPart reports whether a part of the request's prompt crashes endpoints.
func (h *Handler) blockedPart(c *call, now time.Time) bool {
	t := h.poisonTracker
	t.mu.Lock()
	part := t.suspects.Blocked(c.partKeys, now)
	if part == "" || now.Sub(t.blockSentAt[part]) < blockResend {
		t.mu.Unlock()
		return part != ""
	}
	if _, known := t.blockSentAt[part]; !known && len(t.blockSentAt) >= maxBlockTimes {
		clear(t.blockSentAt)
	}
	t.blockSentAt[part] = now
	rec := t.suspects.Record(part)
	t.mu.Unlock()
	h.log.WithFields(logrus.Fields{"request": c.id, "part": part, "prompt": c.in.Header.Get(h.cfg.Headers.PromptPrefix), "crashes": len(rec.Crashes)}).
		Warn("requests with a prompt part are rejected because it crashes endpoints")
	h.control.BroadcastCrashRecords([]poison.CrashRecord{rec})
	return true
}

// maxBlockTimes bounds the blocked parts of which a time is kept.
const maxBlockTimes = 1024

// recordPartCrash records that the connection to an endpoint broke before the first event of
// the request.
func (h *Handler) recordPartCrash(c *call, e fleet.Endpoint, now time.Time) {
	if len(c.partKeys) == 0 || c.answerBegun {
		return
	}
	h.poisonTracker.mu.Lock()
	recs := h.poisonTracker.suspects.Crashed(c.partKeys, incarnationKey(e), now)
	h.poisonTracker.mu.Unlock()
	if len(recs) > 0 {
		h.control.BroadcastCrashRecords(recs)
	}
}

// recordAnswer records that an endpoint has begun to answer the request, which clears its parts.
func (h *Handler) recordAnswer(c *call, now time.Time) {
	if c.answerBegun {
		return
	}
	c.answerBegun = true
	if len(c.partKeys) == 0 {
		return
	}
	h.poisonTracker.mu.Lock()
	recs := h.poisonTracker.suspects.Answered(c.partKeys, now)
	h.poisonTracker.mu.Unlock()
	if len(recs) > 0 {
		h.control.BroadcastCrashRecords(recs)
	}
}

// mergePart merges another gateway's crash record of a prompt part.
func (h *Handler) mergePart(rec poison.CrashRecord, now time.Time) {
	h.poisonTracker.mu.Lock()
	news := h.poisonTracker.suspects.Add(rec, now)
	h.poisonTracker.mu.Unlock()
	if news {
		h.metrics.crashRecords.WithLabelValues("received").Inc()
	}
}
