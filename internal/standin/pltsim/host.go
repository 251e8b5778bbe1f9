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
// A lag that grows holds back changes that are not visible yet and hides none that is.
type Hosts struct {
	faults *Faults
	lag    time.Duration

	mu      sync.Mutex
	hosts   map[string]store.Host
	changes []change
	// version counts the visible changes; it starts at the time of day, so that the
	// versions of a list that was started again are newer than those before. Changes
	// from before first are not known.
	version, first uint64
	// changed is the version of each host's latest change, also of hosts that are gone.
	changed map[string]uint64
}

type change struct {
	at   time.Time
	host store.Host
	gone bool
}

// NewHosts returns an empty host list with a lag.
func NewHosts(faults *Faults, lag time.Duration) *Hosts {
	now := uint64(time.Now().UnixNano())
	return &Hosts{
		faults: faults.ForService(ServiceHosts), lag: lag, hosts: map[string]store.Host{}, version: now, first: now, changed: map[string]uint64{},
	}
}

// Set adds or replaces a host; readers see it after the lag.
func (h *Hosts) Set(host store.Host) { h.enqueue(change{host: host}) }

// Remove takes a host off the list; readers see it after the lag.
func (h *Hosts) Remove(id string) { h.enqueue(change{host: store.Host{ID: id}, gone: true}) }

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

// latest returns the newest form of a host, visible or not.
func (h *Hosts) latest(id string) (store.Host, bool) {
	host, ok := h.hosts[id]
	for _, c := range h.changes {
		if c.host.ID == id {
			host, ok = c.host, !c.gone
		}
	}
	return host, ok
}

func (h *Hosts) enqueue(c change) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c.at = time.Now()
	h.changes = append(h.changes, c)
}

// List implements store.Hosts.
func (h *Hosts) List(ctx context.Context) ([]store.Host, error) {
	out, err := h.ListSince(ctx, 0)
	return out.Hosts, err
}

// ListSince implements store.HostFeed.
func (h *Hosts) ListSince(ctx context.Context, version uint64) (store.HostChanges, error) {
	if err := h.faults.before(ctx, "host list"); err != nil {
		return store.HostChanges{}, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.apply(h.faults.then().Add(-h.lag))
	out := store.HostChanges{Version: h.version, Partial: version >= h.first && version <= h.version}
	for _, id := range slices.Sorted(maps.Keys(h.changed)) {
		if out.Partial && h.changed[id] <= version {
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
	for len(h.changes) > 0 && !h.changes[0].at.After(until) {
		c := h.changes[0]
		h.changes = h.changes[1:]
		h.version++
		h.changed[c.host.ID] = h.version
		if c.gone {
			delete(h.hosts, c.host.ID)
			continue
		}
		h.hosts[c.host.ID] = c.host
	}
}
