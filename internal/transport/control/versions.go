package control

import (
	"context"
	"encoding/json"
	"maps"
	"time"

	"chervilhead/internal/coordination/store"
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
	// GoneAtMS is when the version's last registration was gone, by the store's clock, or 0 if that
	// wasn't available.
	GoneAtMS int64 `json:"gone_at_ms,omitempty"`
}

type savedVersions map[string]map[string]savedVersion

// storeClock is a table service that can tell the store's steady clock.
type storeClock interface {
	// StoreTime returns the store's time at a local time, or false if that isn't known.
	StoreTime(at time.Time) (ms int64, ok bool)
}

func storeTime(table store.TableService, at time.Time) int64 {
	if c, ok := table.(storeClock); ok {
		if ms, ok := c.StoreTime(at); ok {
			return ms
		}
	}
	return 0
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
			p.hooks.RestoreVersions(saved.row(storeTime(p.planner.table, time.Now()), time.Since(p.startedAt)))
		}
		p.log.WithField("found", found).WithField("services", len(saved)).Info("the row of versions was read")
		return
	}
}

// row returns what the row says as of a gateway's start, which was sinceStart before nowMS.
func (s savedVersions) row(nowMS int64, sinceStart time.Duration) resume.Row {
	out := resume.Row{}
	for service, versions := range s {
		out[service] = map[string]resume.RowEntry{}
		for v, e := range versions {
			r := resume.RowEntry{Present: e.Present}
			if !e.Present && e.GoneAtMS > 0 && nowMS > 0 {
				r.GoneFor = max(0, time.Duration(nowMS-e.GoneAtMS)*time.Millisecond-sinceStart)
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

// versionsWriter keeps the row. Only holdLease uses it, as the lease.
type versionsWriter struct {
	// token is that of the lease under which the row was read last.
	token uint64
	// failedAt is when a call for the row last failed.
	failedAt time.Time
	versions map[string]map[string]knownVersion
}

// keepVersions writes the row if the registered versions have changed and this gateway is the
// planner. A version that comes and goes between two calls, together with all gateways, is missed.
func (p *planner) keepVersions(ctx context.Context, now time.Time) {
	w := &p.versionsWriter
	if now.Sub(w.failedAt) < versionsRetryInterval {
		return
	}
	if err := p.saveVersions(ctx, now); err != nil {
		w.failedAt = now
		p.plane.log.WithError(err).Debug("the row of versions was not kept")
	}
}

func (p *planner) saveVersions(ctx context.Context, now time.Time) error {
	p.mu.Lock()
	held, token := p.holdsLease(now), p.fencingToken
	p.mu.Unlock()
	v := p.plane.view()
	if !held || v.EndpointsConfirmedAt.IsZero() {
		return nil
	}
	w := &p.versionsWriter
	if w.token != token {
		saved, _, err := readVersions(ctx, p.table)
		if err != nil {
			return err
		}
		w.token, w.versions = token, map[string]map[string]knownVersion{}
		for service, versions := range saved {
			w.versions[service] = map[string]knownVersion{}
			for v, s := range versions {
				w.versions[service][v] = knownVersion{s, now}
			}
		}
	}
	next, changed := w.next(resume.VersionsOf(v.Endpoints), storeTime(p.table, now), now)
	if !changed {
		return nil
	}
	out := savedVersions{}
	for service, versions := range next {
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
	w.versions = next
	p.plane.log.WithField("versions", string(value)).Info("the row of versions was written")
	return nil
}

// next returns the versions after a reading of the endpoints, and whether the row has to be written.
func (w *versionsWriter) next(registered map[string]map[string]bool, nowMS int64, now time.Time) (map[string]map[string]knownVersion, bool) {
	next, changed := map[string]map[string]knownVersion{}, false
	for service, versions := range w.versions {
		next[service] = maps.Clone(versions)
		for v, k := range versions {
			switch {
			case registered[service][v]:
			case k.saved.Present:
				next[service][v], changed = knownVersion{savedVersion{GoneAtMS: nowMS}, now}, true
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
			if !next[service][v].saved.Present {
				next[service][v], changed = knownVersion{saved: savedVersion{Present: true}}, true
			}
		}
	}
	return next, changed
}
