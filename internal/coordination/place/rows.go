package place

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"reflect"
	"slices"
	"time"

	"chervilhead/internal/coordination/member"
	"chervilhead/internal/coordination/store"
	"chervilhead/internal/state/plan"
	"chervilhead/internal/state/share"
)

// endpointRows caches the endpoints' descriptions from the table service.
type endpointRows struct {
	// readVersion is the version of the table service that the cache reflects.
	readVersion uint64
	// version is the version of the last change of a description other than of its demand;
	// demandVersion is that of the last change of a demand.
	version, demandVersion uint64
	rows                   map[string]plan.Endpoint
}

// update reads the rows that changed since the last update.
func (e *endpointRows) update(ctx context.Context, st store.TableService, meter *share.UsageMeter) error {
	c, err := store.ReadSince(ctx, st, EndpointPrefix, e.readVersion)
	if err != nil {
		return err
	}
	if !c.Partial || e.rows == nil {
		e.rows = map[string]plan.Endpoint{}
	}
	for _, r := range c.Rows {
		var row EndpointRow
		if json.Unmarshal(r.Value, &row) != nil {
			// An endpoint whose description does not decode is left out of the plan.
			e.version = max(e.version, r.Version)
			delete(e.rows, r.Key)
			continue
		}
		meter.Observe(row.ID, r.Version, row.Usage, time.Now())
		e.recordChange(e.rows[r.Key], row.Endpoint, r.Version)
		e.rows[r.Key] = row.Endpoint
	}
	for _, key := range c.Gone {
		delete(e.rows, key)
		e.version = max(e.version, c.Version)
	}
	e.readVersion = c.Version
	return nil
}

// recordChange updates the versions after a change of a description. A change of only the
// usage updates neither, because it needs no new plan.
func (e *endpointRows) recordChange(old, d plan.Endpoint, version uint64) {
	if !reflect.DeepEqual(old.Demand, d.Demand) || !reflect.DeepEqual(old.Idle, d.Idle) {
		e.demandVersion = max(e.demandVersion, version)
	}
	old.Demand, d.Demand, old.Idle, d.Idle = nil, nil, nil, nil
	if !reflect.DeepEqual(old, d) {
		e.version = max(e.version, version)
	}
}

// plannable returns the endpoints whose hosts are listed, in id order. Endpoints on leaving
// hosts are included and marked, so that models that only they hold can be placed elsewhere
// first; those of a plain service are left out.
func (e *endpointRows) plannable(view member.View) []plan.Endpoint {
	out := make([]plan.Endpoint, 0, len(e.rows))
	for _, d := range slices.SortedFunc(maps.Values(e.rows), func(a, b plan.Endpoint) int { return cmp.Compare(a.ID, b.ID) }) {
		if !view.Live(d.ID) {
			if _, listed := view.Host(d.ID); !listed || d.Service != "" {
				continue
			}
			d.Leaving = true
		}
		out = append(out, d)
	}
	return out
}
