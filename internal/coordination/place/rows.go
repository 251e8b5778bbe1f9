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

// endpointRows is a copy of the endpoints' descriptions in the table service.
type endpointRows struct {
	// read is the table service's version up to which the copy is complete.
	read uint64
	// version is the version of the latest change to the descriptions; demand is that
	// of the latest change to nothing but the demand.
	version, demand uint64
	rows            map[string]plan.Endpoint
}

// update reads what changed since the last update.
func (e *endpointRows) update(ctx context.Context, st store.TableService, meter *share.UsageMeter) error {
	c, err := store.ReadSince(ctx, st, EndpointPrefix, e.read)
	if err != nil {
		return err
	}
	if !c.Partial || e.rows == nil {
		e.rows = map[string]plan.Endpoint{}
	}
	for _, r := range c.Rows {
		var rep EndpointRow
		if json.Unmarshal(r.Value, &rep) != nil {
			// A description that does not decode is of an endpoint that cannot be planned for.
			e.version = max(e.version, r.Version)
			delete(e.rows, r.Key)
			continue
		}
		meter.Observe(rep.ID, r.Version, rep.Usage, time.Now())
		e.note(e.rows[r.Key], rep.Endpoint, r.Version)
		e.rows[r.Key] = rep.Endpoint
	}
	for _, key := range c.Gone {
		delete(e.rows, key)
		e.version = max(e.version, c.Version)
	}
	e.read = c.Version
	return nil
}

// note keeps what kind of change a description brings. One that brings nothing but
// usage needs no new plan.
func (e *endpointRows) note(old, d plan.Endpoint, version uint64) {
	if !reflect.DeepEqual(old.Demand, d.Demand) || !reflect.DeepEqual(old.Idle, d.Idle) {
		e.demand = max(e.demand, version)
	}
	old.Demand, d.Demand, old.Idle, d.Idle = nil, nil, nil, nil
	if !reflect.DeepEqual(old, d) {
		e.version = max(e.version, version)
	}
}

// listed returns the described endpoints that are listed, in id order; those that leave
// stay until what only they hold is resident elsewhere.
func (e *endpointRows) listed(view member.View) []plan.Endpoint {
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
