package fleet

import (
	"crypto/sha256"
	"maps"
)

// Group is a group of callers, which the operators give keys and a quota.
type Group struct {
	Name string
	// Priority is the group's rank, 0 the most urgent; HasPriority is unset if it has none.
	Priority    int
	HasPriority bool
	Quota       Quota
}

// QuotaUnit says what a quota counts.
type QuotaUnit uint8

// The units of quotas.
const (
	// QuotaRequests counts each request as one unit.
	QuotaRequests QuotaUnit = iota
	// QuotaTokens counts the prompt tokens of a request and the limit of its output tokens.
	QuotaTokens
)

// Quota bounds what the requests of a group may use over all gateways together.
type Quota struct {
	Unit QuotaUnit
	// PerSecond is the rate in units a second, 0 if there is no limit; Burst is the number of
	// units that may be used at once.
	PerSecond, Burst float64
	// PlainTokens is what a request without token counts counts as.
	PlainTokens float64
}

// Limited reports whether the quota bounds anything.
func (q Quota) Limited() bool { return q.PerSecond > 0 }

// KeyDigest is the SHA-256 digest of a caller's key. Keys themselves are not kept.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// WithGroups returns the configuration with groups by name and the names of the groups that
// hold keys; a configuration with a non-nil map of groups asks callers for keys.
func (c Config) WithGroups(groups map[string]Group, keys map[KeyDigest]string) Config {
	c.groups, c.keys = maps.Clone(groups), maps.Clone(keys)
	return c
}

// HasGroups reports whether the configuration names groups, so that callers need keys.
func (c Config) HasGroups() bool { return c.groups != nil }

// Group returns a group by name.
func (c Config) Group(name string) (Group, bool) {
	g, ok := c.groups[name]
	return g, ok
}

// Groups returns all groups by name.
func (c Config) Groups() map[string]Group { return c.groups }

// GroupOfKey returns the group that holds a key.
func (c Config) GroupOfKey(key KeyDigest) (Group, bool) {
	name, ok := c.keys[key]
	if !ok {
		return Group{}, false
	}
	return c.Group(name)
}
