package proxy

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"chervilhead/internal/coordination/watch"
	"chervilhead/internal/state/fleet"
)

// Revocation says how soon a key that a configuration removes must be refused everywhere.
type Revocation struct {
	// Strict is set if no gateway may run a request that was sent later than Bound after the store
	// acknowledged a configuration that removed its key.
	Strict bool
	Bound  time.Duration
}

// revocationMargin is the part of Revocation.Bound for the rounding of the store's times, the
// drift of the clocks and the time between the store's reading of rows and of its clock.
const revocationMargin = 100 * time.Millisecond

// proves reports whether a view's configuration is proven to be recent enough for a request that
// arrived at a local time. It doesn't matter when the request is checked or sent on, because its
// caller sent it before it arrived.
func (r Revocation) proves(v *watch.View, arrived time.Duration) bool {
	return !r.Strict || v.ConfigProven && v.ConfigProvenAt > arrived-r.Bound+revocationMargin
}

// access is how a request was authorized.
type access struct {
	// arrived is the local time of the request's arrival, or a later one.
	arrived time.Duration
	// grouped is set if the configuration names groups of callers.
	grouped bool
	// keyed is set if the request needs a key; key is the digest of its key.
	keyed bool
	key   fleet.KeyDigest
	// fingerprint is a keyed digest of a refused key, by which log lines of one process can be
	// compared.
	fingerprint string
	// refusal is the reason of a refusal, or "".
	refusal string
	// confirmedAge is the age of the configuration's last confirmation at a refusal.
	confirmedAge time.Duration
}

// Reasons for which requests are refused for their key.
const (
	// refusedMissing, refusedMalformed and refusedUnknown are answered 401.
	refusedMissing   = "key_missing"
	refusedMalformed = "key_malformed"
	refusedUnknown   = "key_unknown"
	// refusedRevoked is answered 401 to a request whose key was removed while it waited.
	refusedRevoked = "key_revoked"
	// refusedUnconfirmed is answered 503: the configuration may have been replaced too long ago.
	refusedUnconfirmed = "keys_unconfirmed"
	// refusedStale is answered 503: the key isn't known, but a newer configuration may have it.
	refusedStale = "key_unknown_stale"
)

// maxKeyBytes bounds a key, as callers' contract does.
const maxKeyBytes = 256

// callerKey returns the key that a request's header gives, or why it gives none.
func callerKey(h http.Header, name string) (key, refusal string) {
	values := h.Values(name)
	if len(values) == 0 {
		return "", refusedMissing
	}
	if len(values) > 1 || values[0] == "" || len(values[0]) > maxKeyBytes || strings.ContainsAny(values[0], ", \t\r\n\v\f") {
		return "", refusedMalformed
	}
	return values[0], ""
}

// newFingerprintKey returns the random key of a process's fingerprints, with which nobody can
// test a guessed key against a log.
func newFingerprintKey() []byte {
	k := make([]byte, sha256.Size)
	// Read never fails; see crypto/rand.
	_, _ = rand.Read(k)
	return k
}

// fingerprintBytes is the length of a key's fingerprint in logs, which has two digits a byte.
const fingerprintBytes = 4

func (h *Handler) keyFingerprint(key string) string {
	m := hmac.New(sha256.New, h.fingerprintKey)
	m.Write([]byte(key))
	return hex.EncodeToString(m.Sum(nil)[:fingerprintBytes])
}

// authorize sets the group of the caller's key. It answers the request and returns false if
// the route needs a key that the request doesn't have.
func (h *Handler) authorize(c *call, v *watch.View) bool {
	c.access.grouped = v.Config.HasGroups()
	if !c.access.grouped || c.route.Public {
		return true
	}
	c.access.keyed = true
	if v.ConfigProven {
		h.metrics.keys.proofAge.Observe((c.access.arrived - v.ConfigProvenAt).Seconds())
	}
	if !h.cfg.Revocation.proves(v, c.access.arrived) {
		c.access.confirmedAge = h.confirmedAge(c, v)
		h.rejectKey(c, refusedUnconfirmed)
		return false
	}
	key, refusal := callerKey(c.in.Header, h.cfg.Headers.Key)
	if refusal != "" {
		h.refuseKey(c, v, refusal)
		return false
	}
	c.access.key = fleet.DigestKey(key)
	group, ok := v.Config.GroupOfKey(c.access.key)
	if !ok {
		c.access.fingerprint = h.keyFingerprint(key)
		h.refuseKey(c, v, refusedUnknown)
		return false
	}
	c.group = group
	return true
}

// reauthorize checks a request's key again before an attempt. It answers the request and
// returns false if the key was removed and the request has not run.
func (h *Handler) reauthorize(c *call) bool {
	if !c.access.keyed || c.possibleRuns > 0 {
		return true
	}
	v := h.view()
	if v.Config.Version == c.configVersion || !v.Config.HasGroups() {
		return true
	}
	if _, ok := v.Config.GroupOfKey(c.access.key); ok {
		return true
	}
	if r, ok := v.Config.Route(c.in.Host, c.in.URL.Path); ok && r.Public {
		return true
	}
	h.refuseKey(c, v, refusedRevoked)
	return false
}

// confirmedAge returns the age of the configuration's last confirmation. An answer that arrived
// lately may have been sent long before, so the proof counts if there is one.
func (h *Handler) confirmedAge(c *call, v *watch.View) time.Duration {
	age := time.Since(v.ConfigConfirmedAt)
	if v.ConfigProven {
		age = max(age, c.access.arrived-v.ConfigProvenAt)
	}
	return age
}

// refuseKey answers a request without a valid key: 401 if the configuration was confirmed
// recently, else 503, because a newer one may allow the request.
func (h *Handler) refuseKey(c *call, v *watch.View, reason string) {
	c.access.confirmedAge = h.confirmedAge(c, v)
	if c.access.confirmedAge > h.cfg.ConfigStaleAfter {
		h.rejectKey(c, refusedStale)
		return
	}
	c.access.refusal = reason
	h.metrics.keys.refused.WithLabelValues(reason).Inc()
	h.respond(c, http.StatusUnauthorized, reason)
}

// rejectKey answers 503 to a request whose key can't be judged.
func (h *Handler) rejectKey(c *call, reason string) {
	c.access.refusal = reason
	h.metrics.keys.refused.WithLabelValues(reason).Inc()
	h.reject(c, reason, startRetryAfter)
}

// fields returns the log fields that say why a request was refused for its key.
func (a access) fields() logrus.Fields {
	if a.refusal == "" {
		return nil
	}
	return logrus.Fields{"refusal": a.refusal, "key_fingerprint": a.fingerprint, "config_confirmed_age_ms": a.confirmedAge.Milliseconds()}
}

const (
	// defaultEnginePriority is the engines' default, the middle of their range, and
	// lowestEnginePriority its end.
	defaultEnginePriority = 3
	lowestEnginePriority  = 9
	// defaultGroupPriority is that of a group without a priority.
	defaultGroupPriority = 1
	// groupPriorityStep is the number of route priorities that each group priority is divided
	// into, so that the group's comes first; priorities above maxRankedPriority count as that.
	groupPriorityStep = 3
	maxRankedPriority = 2
	// firstGroupedPriority is the priority of the most urgent group and route; 0 is left free.
	firstGroupedPriority = 1
)

// priority maps the priorities of the request's group and route to the engines' range.
func (c *call) priority() int {
	if !c.access.grouped {
		return min(lowestEnginePriority, defaultEnginePriority+c.route.Priority)
	}
	p := defaultGroupPriority
	if c.group.HasPriority {
		p = c.group.Priority
	}
	return max(0, min(lowestEnginePriority, firstGroupedPriority+groupPriorityStep*min(p, maxRankedPriority)+min(c.route.Priority, maxRankedPriority)))
}
