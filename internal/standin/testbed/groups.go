package testbed

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"chervilhead/platform/stub"
)

// openRoute is the public route of a configuration with groups.
const openRoute = "open"

// callerKey is a key that a configuration held.
type callerKey struct {
	group string
	// addedAt and removedAt are when the store had acknowledged the configuration that added or
	// removed the key; both are zero until then.
	addedAt, removedAt time.Time
	// initial is set for a key of the first configuration, removing from the moment when a
	// configuration without the key is written.
	initial, removing bool
}

// keyedRun is a run of a request with a key that a configuration held.
type keyedRun struct {
	id, gateway, endpoint, key string
	sentAt, at                 time.Time
}

// addGroups adds the groups of the settings, and a public route, to the first configuration.
func (env *Environment) addGroups(groups []stub.Group) {
	if len(groups) == 0 {
		return
	}
	env.config.Groups = groups
	env.config.Routes = append(env.config.Routes, stub.Route{Name: openRoute, Prefix: "/open/", Kind: stub.KindIdempotent, TimeoutMS: 2000, ObjectiveMS: 300, Service: plainService, MaxAttempts: 3, Public: true})
	now := time.Now()
	for _, g := range groups {
		env.Checker.setQuota(g, now, now)
		for _, k := range g.Keys {
			env.Checker.keys[k] = &callerKey{group: g.Name, initial: true}
		}
	}
}

// changeGroup writes a new version of the configuration with a changed group.
func (env *Environment) changeGroup(name string, change func(*stub.Group)) {
	env.config.Groups = slices.Clone(env.config.Groups)
	for i, g := range env.config.Groups {
		if g.Name == name {
			g.Keys = slices.Clone(g.Keys)
			change(&g)
			env.config.Groups[i] = g
		}
	}
	env.config.Version += 3
	env.Store.Configure(env.config)
}

// NewKey returns a key that no configuration holds.
func NewKey() string { return fmt.Sprintf("key-%016x%016x", rand.Uint64(), rand.Uint64()) }

// AddKey gives a group a further key.
func (env *Environment) AddKey(group string) string {
	env.mu.Lock()
	defer env.mu.Unlock()
	key := NewKey()
	env.Checker.addKey(key, group)
	env.changeGroup(group, func(g *stub.Group) { g.Keys = append(g.Keys, key) })
	env.Checker.changeKey(key, func(k *callerKey) { k.addedAt = time.Now() })
	return key
}

// RemoveKey takes a key from its group, unless that has no other key or no longer has this one.
func (env *Environment) RemoveKey(key string) {
	env.mu.Lock()
	defer env.mu.Unlock()
	group := env.Checker.GroupOf(key)
	if keys := env.keysLocked(group); len(keys) < 2 || !slices.Contains(keys, key) {
		return
	}
	env.Checker.changeKey(key, func(k *callerKey) { k.removing = true })
	env.changeGroup(group, func(g *stub.Group) {
		g.Keys = slices.DeleteFunc(g.Keys, func(k string) bool { return k == key })
	})
	env.Checker.changeKey(key, func(k *callerKey) { k.removedAt = time.Now() })
}

// SetQuota changes the rate and the burst of a group's quota.
func (env *Environment) SetQuota(group string, perSecond, burst float64) {
	env.mu.Lock()
	defer env.mu.Unlock()
	var changed stub.Group
	from := time.Now()
	env.changeGroup(group, func(g *stub.Group) {
		g.PerSecond, g.Burst = perSecond, burst
		changed = *g
	})
	env.Checker.setQuota(changed, from, time.Now())
}

// Keys returns the keys of a group in the newest configuration.
func (env *Environment) Keys(group string) []string {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.keysLocked(group)
}

func (env *Environment) keysLocked(group string) []string {
	for _, g := range env.config.Groups {
		if g.Name == group {
			return slices.Clone(g.Keys)
		}
	}
	return nil
}

// RemovedKeys returns the keys that were taken from their groups.
func (env *Environment) RemovedKeys() []string {
	env.Checker.mu.Lock()
	defer env.Checker.mu.Unlock()
	var out []string
	for key, k := range env.Checker.keys {
		if !k.removedAt.IsZero() {
			out = append(out, key)
		}
	}
	return out
}

func (c *Checker) addKey(key, group string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keys[key] = &callerKey{group: group}
}

func (c *Checker) changeKey(key string, change func(*callerKey)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(c.keys[key])
}

// GroupOf returns the group of a key that a configuration held, or "".
func (c *Checker) GroupOf(key string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.groupOfLocked(key)
}

// groupOfLocked returns the group of a key that a configuration held, or "".
func (c *Checker) groupOfLocked(key string) string {
	if k, ok := c.keys[key]; ok {
		return k.group
	}
	return ""
}

// writeKeys writes the header fields with the request's keys and with a forged group.
func (c *Client) writeKeys(b *strings.Builder, req Request) {
	for _, k := range req.Keys {
		fmt.Fprintf(b, "%s: %s\r\n", c.headers.key, k)
	}
	if req.ForgedGroup != "" {
		fmt.Fprintf(b, "%s: %s\r\n", c.headers.group, req.ForgedGroup)
	}
}

// writeBody writes the end of the header, and the body with a key in a trailer if there is one.
func (c *Client) writeBody(b *strings.Builder, req Request) {
	if req.TrailerKey == "" {
		fmt.Fprintf(b, "Content-Length: %d\r\n\r\n%s", len(req.Body), req.Body)
		return
	}
	fmt.Fprintf(b, "Transfer-Encoding: chunked\r\nTrailer: %s\r\n\r\n", c.headers.key)
	if req.Body != "" {
		fmt.Fprintf(b, "%x\r\n%s\r\n", len(req.Body), req.Body)
	}
	fmt.Fprintf(b, "0\r\n%s: %s\r\n\r\n", c.headers.key, req.TrailerKey)
}

// secrets returns all keys that a request holds.
func (req Request) secrets() []string {
	return slices.DeleteFunc(append(slices.Clone(req.Keys), req.TrailerKey), func(k string) bool { return k == "" })
}

// callerKey returns the key that counts: the value of the only field, or "".
func (req Request) callerKey() string {
	if len(req.Keys) == 1 {
		return req.Keys[0]
	}
	return ""
}

// checkCaller checks what an endpoint receives of a request's caller: no key, and the name of the
// group that holds the key. A public route's request may name no group.
func (c *Checker) checkCaller(id, endpoint string, header, trailer http.Header, names headerNames) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a, ok := c.requests[id]
	if !ok || len(c.keys) == 0 {
		return
	}
	for _, h := range []http.Header{header, trailer} {
		for name, values := range h {
			if name == names.key || slices.ContainsFunc(values, func(v string) bool {
				return slices.ContainsFunc(a.secrets, func(k string) bool { return strings.Contains(v, k) })
			}) {
				c.addViolationLocked("UNASKED", "endpoint %s got the caller's key with request %s, in the field %s", endpoint, id, name)
			}
		}
	}
	group, got := c.groupOfLocked(a.key), append(slices.Clone(header.Values(names.group)), trailer.Values(names.group)...)
	if a.public && len(got) == 0 || !a.public && group == "" {
		// Whether a request without a known key may run is another rule.
		return
	}
	if len(got) != 1 || got[0] != group {
		c.addViolationLocked("UNASKED", "endpoint %s got request %s of group %q with the groups %q", endpoint, id, group, got)
	}
}

// checkKeyLocked checks the key of a request that began to run.
func (c *Checker) checkKeyLocked(id, endpoint string, a *sentRequest) {
	if len(c.keys) == 0 || a.public {
		return
	}
	if _, ok := c.keys[a.key]; !ok {
		c.addViolationLocked("ROUTE", "endpoint %s ran request %s from %s, whose key no configuration held", endpoint, id, a.gateway)
		return
	}
	c.keyedRuns = append(c.keyedRuns, keyedRun{id: id, gateway: a.gateway, endpoint: endpoint, key: a.key, sentAt: a.sentAt, at: time.Now()})
}

// CheckKeys checks that no request ran that its caller sent longer than strict after the store had
// acknowledged a configuration without its key, at any gateway, or longer than apply at one that
// was connected for as long. A strict of 0 leaves the first check out; excused reports whether a
// gateway was not connected within a period.
func (c *Checker) CheckKeys(apply, strict time.Duration, excused func(gateway string, from, to time.Time) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.keyedRuns {
		removed := c.keys[r.key].removedAt
		if removed.IsZero() {
			continue
		}
		after := r.sentAt.Sub(removed)
		if strict > 0 && after > strict || after > apply && !excused(r.gateway, r.sentAt.Add(-apply), r.at) {
			c.addViolationLocked("CONFIG", "request %s ran at %s; its caller sent it to %s %v after its key had been removed", r.id, r.endpoint, r.gateway, after)
		}
	}
}

// CheckDenied checks a response with status 401 or 403 to a request. The key must not be one that
// every configuration held, nor one that was added longer than apply before at a gateway that was
// connected for as long.
func (c *Checker) CheckDenied(req Request, res Result, apply time.Duration, excused func(gateway string, from, to time.Time) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.requests[res.ID]
	k, known := c.keys[a.key]
	now := time.Now()
	switch {
	case a.public || known && k.initial && !k.removing:
		c.addViolationLocked("DENIED", "request %s (%s) at %s got status %d; every configuration allows it", res.ID, req.Route.Name, req.Gateway, res.Status)
	case known && !k.initial && !k.removing && !k.addedAt.IsZero() && a.sentAt.Sub(k.addedAt) > apply && !excused(req.Gateway, a.sentAt.Add(-apply), now):
		c.addViolationLocked("CONFIG", "request %s (%s) at %s got status %d %v after its key had been added", res.ID, req.Route.Name, req.Gateway, res.Status, a.sentAt.Sub(k.addedAt))
	}
}
