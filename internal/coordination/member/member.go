package member

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"chervilhead/internal/coordination/store"
	"chervilhead/internal/state/jitter"
)

// View is an immutable membership view.
type View struct {
	hosts map[string]store.Host
	// list holds the hosts in id order.
	list []store.Host
	seq  uint64
}

// Seq returns the view's sequence number, which increases with each change of the host list.
func (v View) Seq() uint64 { return v.seq }

// Host returns the host with an id and reports whether it is listed.
func (v View) Host(id string) (store.Host, bool) {
	h, ok := v.hosts[id]
	return h, ok
}

// Live reports whether a host is listed as live. Until a list has been read, every host
// counts as live.
func (v View) Live(id string) bool {
	if v.hosts == nil {
		return true
	}
	h, ok := v.hosts[id]
	return ok && h.State == store.HostLive
}

// Peers returns all listed hosts but one.
func (v View) Peers(except string) []store.Host {
	out := make([]store.Host, 0, len(v.list))
	for _, h := range v.list {
		if h.ID != except {
			out = append(out, h)
		}
	}
	return out
}

// Count returns the number of listed hosts with a role.
func (v View) Count(role store.Role) int {
	n := 0
	for _, h := range v.list {
		if h.Role == role {
			n++
		}
	}
	return n
}

// with returns the view after changes of the host list, or the same view if nothing differs.
func (v View) with(c store.HostChanges) View {
	hosts := map[string]store.Host{}
	if c.Partial {
		if len(c.Hosts) == 0 && len(c.Gone) == 0 {
			return v
		}
		hosts = maps.Clone(v.hosts)
	}
	for _, h := range c.Hosts {
		hosts[h.ID] = h
	}
	for _, id := range c.Gone {
		delete(hosts, id)
	}
	if v.hosts != nil && maps.Equal(hosts, v.hosts) {
		return v
	}
	out := View{hosts: hosts, list: make([]store.Host, 0, len(hosts)), seq: v.seq + 1}
	for _, id := range slices.Sorted(maps.Keys(hosts)) {
		out.list = append(out.list, hosts[id])
	}
	return out
}

// Watcher polls the host list and keeps the newest view.
type Watcher struct {
	hosts    store.Hosts
	interval time.Duration
	log      *logrus.Entry
	random   jitter.Random

	mu   sync.Mutex
	view View
	// version is the version of the host list that the view reflects.
	version uint64
}

// NewWatcher returns a watcher that polls at a mean interval.
func NewWatcher(hosts store.Hosts, interval time.Duration, log *logrus.Entry) *Watcher {
	return &Watcher{hosts: hosts, interval: interval, log: log}
}

// WithRandom sets the random source for the jitter between polls; it must be called before Run.
func (w *Watcher) WithRandom(r jitter.Random) *Watcher {
	w.random = r
	return w
}

// View returns the newest view.
func (w *Watcher) View() View {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.view
}

// Poll reads the changes of the host list once; if that fails, the view stays unchanged.
// It is not safe for concurrent use.
func (w *Watcher) Poll(ctx context.Context) error {
	changes, err := store.ListSince(ctx, w.hosts, w.version)
	if err != nil {
		return err
	}
	w.version = changes.Version
	next := w.View().with(changes)
	w.mu.Lock()
	w.view = next
	w.mu.Unlock()
	return nil
}

// Run polls until the context ends; the jitter keeps processes from polling together.
func (w *Watcher) Run(ctx context.Context) {
	for {
		if err := w.Poll(ctx); err != nil && ctx.Err() == nil {
			w.log.WithError(err).Debug("cannot read the host list; the last membership view stays in force")
		}
		timer := time.NewTimer(w.random.Around(w.interval))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}
