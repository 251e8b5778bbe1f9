package pltsim

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"chervilhead/internal/coordination/store"
)

// Hosts is a host list that shows changes after a lag; it implements store.Hosts.
// A growing lag delays changes that are not visible yet and hides none that is.
type Hosts struct {
	faults *Faults
	lag    time.Duration

	mu      sync.Mutex
	hosts   map[string]store.Host
	pending []pendingChange
	// version counts the visible changes. It starts at the current time in nanoseconds, so that
	// a restarted list has newer versions. Changes before firstVersion are not known.
	version, firstVersion uint64
	// changedAt is the version of each host's latest change, also of removed hosts.
	changedAt map[string]uint64
}

type pendingChange struct {
	at      time.Time
	host    store.Host
	removed bool
}

// NewHosts returns an empty host list that shows changes after a lag.
func NewHosts(faults *Faults, lag time.Duration) *Hosts {
	now := uint64(time.Now().UnixNano())
	return &Hosts{
		faults: faults.ForService(ServiceHosts), lag: lag, hosts: map[string]store.Host{}, version: now, firstVersion: now, changedAt: map[string]uint64{},
	}
}

// Set adds or replaces a host; List shows it after the lag.
func (h *Hosts) Set(host store.Host) { h.enqueue(pendingChange{host: host}) }

// Remove removes a host; List shows that after the lag.
func (h *Hosts) Remove(id string) { h.enqueue(pendingChange{host: store.Host{ID: id}, removed: true}) }

// SetState changes the state of a listed host and reports whether the host exists.
func (h *Hosts) SetState(id string, state store.HostState) bool {
	h.mu.Lock()
	host, ok := h.latest(id)
	h.mu.Unlock()
	if !ok {
		return false
	}
	host.State = state
	h.Set(host)
	return true
}

// latest returns the newest state of a host, visible or not.
func (h *Hosts) latest(id string) (store.Host, bool) {
	host, ok := h.hosts[id]
	for _, c := range h.pending {
		if c.host.ID == id {
			host, ok = c.host, !c.removed
		}
	}
	return host, ok
}

func (h *Hosts) enqueue(c pendingChange) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c.at = time.Now()
	h.pending = append(h.pending, c)
}

// List implements store.Hosts.
func (h *Hosts) List(ctx context.Context) ([]store.Host, error) {
	out, err := h.ListSince(ctx, 0)
	return out.Hosts, err
}

// ListSince implements store.HostFeed.
func (h *Hosts) ListSince(ctx context.Context, version uint64) (store.HostChanges, error) {
	if err := h.faults.beforeCall(ctx, "host list"); err != nil {
		return store.HostChanges{}, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.apply(h.faults.readTime().Add(-h.lag))
	out := store.HostChanges{Version: h.version, Partial: version >= h.firstVersion && version <= h.version}
	for _, id := range slices.Sorted(maps.Keys(h.changedAt)) {
		if out.Partial && h.changedAt[id] <= version {
			continue
		}
		if host, ok := h.hosts[id]; ok {
			out.Hosts = append(out.Hosts, host)
		} else if out.Partial {
			out.Gone = append(out.Gone, id)
		}
	}
	return out, nil
}

// apply makes the changes up to a time visible.
func (h *Hosts) apply(until time.Time) {
	for len(h.pending) > 0 && !h.pending[0].at.After(until) {
		c := h.pending[0]
		h.pending = h.pending[1:]
		h.version++
		h.changedAt[c.host.ID] = h.version
		if c.removed {
			delete(h.hosts, c.host.ID)
			continue
		}
		h.hosts[c.host.ID] = c.host
	}
}
