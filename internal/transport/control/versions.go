package control

import (
	"context"
	"encoding/json"
	"maps"
	"time"

	"chervilhead/internal/coordination/store"
	"chervilhead/internal/state/clock"
	"chervilhead/internal/state/resume"
)

const (
	// versionsKey is the row that holds the software versions of each service; after a loss of all
	// gateways it is the only record of those that are gone.
	versionsKey = "versions"
	// versionsRetryInterval is the pause after a failed call for the row.
	versionsRetryInterval = 800 * time.Millisecond
	// goneVersionTTL is how long the row names a version that is gone: twice as long as it counts,
	// because the clocks of a store and a gateway may differ after a restore.
	goneVersionTTL = 60 * time.Second
)

// savedVersion is one version of a service in the row.
type savedVersion struct {
	Present bool `json:"present,omitempty"`
	// SinceMS is when the version was first registered after it had been gone for resume.SettleAfter or
	// longer, by the store's clock in the era SinceEra, or 0 if that wasn't available.
	SinceMS  int64  `json:"since_ms,omitempty"`
	SinceEra uint64 `json:"since_era,omitempty"`
	// GoneAtMS is when the version's last registration was gone, or later, by the store's clock in
	// the era GoneEra, or 0 if that wasn't available.
	GoneAtMS int64  `json:"gone_at_ms,omitempty"`
	GoneEra  uint64 `json:"gone_era,omitempty"`
}

// withGone returns the entry of a version that is gone as of a time of the store's clock.
func (s savedVersion) withGone(at clock.Reading) savedVersion {
	s.Present, s.GoneAtMS, s.GoneEra = false, 0, 0
	if !at.IsZero() {
		s.GoneAtMS, s.GoneEra = at.Time.Milliseconds()+1, at.Era
	}
	return s
}

// newPresentVersion returns the entry of a version that came at a time of the store's clock.
func newPresentVersion(at clock.Reading) savedVersion {
	if at.IsZero() {
		return savedVersion{Present: true}
	}
	return savedVersion{Present: true, SinceMS: at.Time.Milliseconds(), SinceEra: at.Era}
}

// withReturn returns the entry of a version that is back after less than resume.SettleAfter.
func (s savedVersion) withReturn() savedVersion {
	s.Present, s.GoneAtMS, s.GoneEra = true, 0, 0
	return s
}

type savedVersions map[string]map[string]savedVersion

// storeClock is a table service that can tell the store's steady clock.
type storeClock interface {
	// StoreTime returns the earliest and the latest time that the store's clock may show now, which
	// hold no time if that isn't known.
	StoreTime() (earliest, latest clock.Reading)
}

// storeTime returns the latest time that the store's clock may show.
func storeTime(table store.TableService) clock.Reading {
	c, ok := table.(storeClock)
	if !ok {
		return clock.Reading{}
	}
	_, latest := c.StoreTime()
	return latest
}

// earliestStoreTime returns the earliest time that the store's clock may show.
func earliestStoreTime(table store.TableService) clock.Reading {
	c, ok := table.(storeClock)
	if !ok {
		return clock.Reading{}
	}
	earliest, _ := c.StoreTime()
	return earliest
}

// readVersions reads the row; found is false if it is missing or unreadable.
func readVersions(ctx context.Context, table store.TableService) (saved savedVersions, found bool, err error) {
	row, err := table.Get(ctx, versionsKey)
	if err != nil || row.Version == 0 {
		return nil, false, err
	}
	if json.Unmarshal(row.Value, &saved) != nil {
		return nil, false, nil
	}
	return saved, true, nil
}

// restoreVersions reads the row once, at the gateway's start, and passes it on.
func (p *Plane) restoreVersions(ctx context.Context) {
	for ctx.Err() == nil {
		saved, found, err := readVersions(ctx, p.planner.table)
		if err != nil {
			_ = waitForChange(ctx, nil, versionsRetryInterval)
			continue
		}
		if found && p.hooks.RestoreVersions != nil {
			p.hooks.RestoreVersions(saved.row(earliestStoreTime(p.planner.table), time.Since(p.startedAt)))
		}
		p.log.WithField("found", found).WithField("services", len(saved)).Info("the row of versions was read")
		return
	}
}

// row returns what the row says as of a gateway's start, which was sinceStart before the store's
// clock showed now. A time of another era can't be compared, so its version counts as gone now.
func (s savedVersions) row(now clock.Reading, sinceStart time.Duration) resume.Row {
	out := resume.Row{}
	for service, versions := range s {
		out[service] = map[string]resume.RowEntry{}
		for v, e := range versions {
			r := resume.RowEntry{Present: e.Present}
			if e.SinceMS > 0 && !now.IsZero() && e.SinceEra == now.Era {
				r.CameFor = max(time.Millisecond, now.Time-time.Duration(e.SinceMS)*time.Millisecond-sinceStart)
			}
			if !e.Present && e.GoneAtMS > 0 && !now.IsZero() && e.GoneEra == now.Era {
				r.GoneFor = max(0, now.Time-time.Duration(e.GoneAtMS)*time.Millisecond-sinceStart)
			}
			out[service][v] = r
		}
	}
	return out
}

// knownVersion is one version of a service as the planner knows it.
type knownVersion struct {
	saved savedVersion
	// goneAt is when the planner found it gone, by the local clock.
	goneAt time.Time
}

// versionsWriter knows the versions of the last minute, also while this gateway isn't the planner,
// and keeps the row. Only holdLease uses it, as the lease.
type versionsWriter struct {
	// token is that of the lease under which the row was read last.
	token uint64
	// failedAt is when a call for the row last failed.
	failedAt time.Time
	versions map[string]map[string]knownVersion
	// unsaved is set while the row may not say what versions does.
	unsaved bool
}

// keepVersions takes the newest view of the endpoints and, if this gateway is the planner, writes
// the row if the versions have changed. A version that comes and goes between two calls, together
// with all gateways, is missed.
func (p *planner) keepVersions(ctx context.Context, now time.Time) {
	w := &p.versionsWriter
	v := p.plane.view()
	if v.EndpointsConfirmedAt.IsZero() {
		return
	}
	registered := resume.VersionsOf(v.Endpoints)
	w.observe(registered, p.table, now)
	if now.Sub(w.failedAt) < versionsRetryInterval {
		return
	}
	if err := p.saveVersions(ctx, registered, now); err != nil {
		w.failedAt = now
		p.plane.log.WithError(err).Debug("the row of versions was not kept")
	}
}

func (p *planner) saveVersions(ctx context.Context, registered map[string]map[string]bool, now time.Time) error {
	p.mu.Lock()
	held, token := p.holdsLease(now), p.fencingToken
	p.mu.Unlock()
	if !held {
		return nil
	}
	w := &p.versionsWriter
	if w.token != token {
		saved, _, err := readVersions(ctx, p.table)
		if err != nil {
			return err
		}
		w.merge(saved, now)
		w.observe(registered, p.table, now)
		w.token = token
	}
	if !w.unsaved {
		return nil
	}
	out := savedVersions{}
	for service, versions := range w.versions {
		out[service] = map[string]savedVersion{}
		for v, k := range versions {
			out[service][v] = k.saved
		}
	}
	value, err := json.Marshal(out)
	if err != nil {
		return err
	}
	if _, err := p.table.Commit(ctx, store.Txn{Conds: []store.Cond{p.lease.Cond()}, Writes: []store.Write{{Key: versionsKey, Value: value}}}); err != nil {
		return err
	}
	w.unsaved = false
	p.plane.log.WithField("versions", string(value)).Info("the row of versions was written")
	return nil
}

// merge takes what the row says when the lease was taken. What this gateway saw itself goes first:
// the row may be of a copy from which the store was restored, or the planner before may have died
// before it wrote.
func (w *versionsWriter) merge(saved savedVersions, now time.Time) {
	known := w.versions
	w.versions, w.unsaved = map[string]map[string]knownVersion{}, false
	for service, versions := range saved {
		w.versions[service] = map[string]knownVersion{}
		for v, s := range versions {
			w.versions[service][v] = knownVersion{s, now}
		}
	}
	for service, versions := range known {
		for v, k := range versions {
			before, ok := w.versions[service][v]
			if ok && before.saved.Present == k.saved.Present || !ok && !k.saved.Present && now.Sub(k.goneAt) >= resume.SettleAfter {
				continue
			}
			if w.versions[service] == nil {
				w.versions[service] = map[string]knownVersion{}
			}
			w.versions[service][v], w.unsaved = k, true
		}
	}
}

// observe takes a reading of the endpoints.
func (w *versionsWriter) observe(registered map[string]map[string]bool, table store.TableService, now time.Time) {
	next, changed := w.next(registered, earliestStoreTime(table), storeTime(table), now)
	w.versions, w.unsaved = next, w.unsaved || changed
}

// next returns the versions after a reading of the endpoints, and whether the row has to be written.
func (w *versionsWriter) next(registered map[string]map[string]bool, since, gone clock.Reading, now time.Time) (map[string]map[string]knownVersion, bool) {
	next, changed := map[string]map[string]knownVersion{}, false
	for service, versions := range w.versions {
		next[service] = maps.Clone(versions)
		for v, k := range versions {
			switch {
			case registered[service][v]:
			case k.saved.Present:
				next[service][v], changed = knownVersion{k.saved.withGone(gone), now}, true
			case now.Sub(k.goneAt) >= goneVersionTTL:
				delete(next[service], v)
			}
		}
		if len(next[service]) == 0 {
			delete(next, service)
		}
	}
	for service, versions := range registered {
		if next[service] == nil {
			next[service] = map[string]knownVersion{}
		}
		for v := range versions {
			switch k, known := next[service][v]; {
			case k.saved.Present:
			case known && now.Sub(k.goneAt) < resume.SettleAfter:
				next[service][v], changed = knownVersion{saved: k.saved.withReturn()}, true
			default:
				next[service][v], changed = knownVersion{saved: newPresentVersion(since)}, true
			}
		}
	}
	return next, changed
}
