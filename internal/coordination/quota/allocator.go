package quota

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"chervilhead/internal/coordination/store"
	"chervilhead/internal/state/bucket"
	"chervilhead/internal/state/table"
)

// Allocator divides the limits among entries. Several may run at once: each division
// writes the grant rows of all entries that it sees, so of two that overlap one fails.
type Allocator struct {
	st  store.TableService
	log *logrus.Entry
	// rows is a copy of the table service's rows up to version read.
	rows map[string]store.Row
	read uint64
	// seen is when each held row was first seen at its version.
	seen map[string]sighting
	now  func() time.Time
}

type sighting struct {
	version uint64
	at      time.Time
}

// member is one entry as a division sees it.
type member struct {
	id         string
	held       held
	heldVer    uint64
	grant      grant
	grantVer   uint64
	reclaiming bool
}

// The smallest steps of a part. A request rate is divided in whole requests a second,
// because a bucket that holds less than one request would have to let it through on
// credit, at every entry at once. A token rate is divided in twentieths, which bounds
// the holders that can have a request on credit to 20.
const (
	unitConcurrent = 1
	unitRequests   = 1
	tokenSteps     = 20
	// changeShare is the part of a limit below which a change of grants waits.
	changeShare = 0.02
)

// NewAllocator returns a divider.
func NewAllocator(st store.TableService, log *logrus.Entry) *Allocator {
	return &Allocator{st: st, log: log, seen: map[string]sighting{}, now: time.Now}
}

// WithClock makes the divider read the time from now.
func (d *Allocator) WithClock(now func() time.Time) *Allocator {
	d.now = now
	return d
}

// Step reads all rows once and publishes a new division when one is due.
func (d *Allocator) Step(ctx context.Context, t table.Table) error {
	if !limited(t) && len(d.seen) == 0 {
		return nil
	}
	if err := d.update(ctx); err != nil {
		return err
	}
	members, err := d.members(d.now())
	if err != nil {
		return err
	}
	txn := d.divide(t, members)
	if len(txn.Writes) == 0 {
		return nil
	}
	_, err = d.st.Commit(ctx, txn)
	if errors.Is(err, store.ErrConflict) {
		return nil // an entry or another divider was faster; the next step sees its rows
	}
	if err == nil {
		d.log.WithField("rows", len(txn.Writes)).Info("limits divided")
	}
	return err
}

// limited reports whether any group has a limit that entries share.
func limited(t table.Table) bool {
	return slices.ContainsFunc(t.Groups, func(g table.Group) bool { return Limits(g) != Part{} })
}

// update reads the rows that changed since the last step.
func (d *Allocator) update(ctx context.Context) error {
	c, err := store.ReadSince(ctx, d.st, entryPrefix, d.read)
	if err != nil {
		return err
	}
	if !c.Partial || d.rows == nil {
		d.rows = map[string]store.Row{}
	}
	for _, r := range c.Rows {
		d.rows[r.Key] = r
	}
	for _, key := range c.Gone {
		delete(d.rows, key)
	}
	d.read = c.Version
	return nil
}

// members returns the entries and marks those whose term has passed.
func (d *Allocator) members(now time.Time) ([]*member, error) {
	byID := map[string]*member{}
	at := func(id string) *member {
		m, ok := byID[id]
		if !ok {
			m = &member{id: id}
			byID[id] = m
		}
		return m
	}
	for _, r := range d.rows {
		if id, ok := entryOf(r.Key, heldSuffix); ok {
			m := at(id)
			m.heldVer = r.Version
			if err := decode(r, &m.held); err != nil {
				return nil, err
			}
		} else if id, ok := entryOf(r.Key, grantSuffix); ok {
			m := at(id)
			m.grantVer = r.Version
			if err := decode(r, &m.grant); err != nil {
				return nil, err
			}
		}
	}
	out := make([]*member, 0, len(byID))
	for _, id := range slices.Sorted(maps.Keys(byID)) {
		m := byID[id]
		s, ok := d.seen[id]
		if !ok || s.version != m.heldVer {
			s = sighting{version: m.heldVer, at: now}
			d.seen[id] = s
		}
		m.reclaiming = now.Sub(s.at) >= time.Duration(m.held.TermMillis)*time.Millisecond
		out = append(out, m)
	}
	maps.DeleteFunc(d.seen, func(id string, _ sighting) bool { return byID[id] == nil })
	return out, nil
}

// divide returns the transaction of a new division, without writes when none is due.
func (d *Allocator) divide(t table.Table, members []*member) store.Txn {
	var txn store.Txn
	var live []*member
	for _, m := range members {
		if m.reclaiming {
			m.drop(&txn)
			continue
		}
		live = append(live, m)
	}
	next := map[string]grant{}
	for _, m := range live {
		next[m.id] = grant{Parts: map[string]Part{}, Limits: map[string]Part{}}
	}
	due := false
	for _, g := range t.Groups {
		limit := Limits(g)
		if limit == (Part{}) {
			continue
		}
		parts := divideGroup(limit, g.Name, live)
		for _, m := range live {
			next[m.id].Parts[g.Name], next[m.id].Limits[g.Name] = parts[m.id], limit
			due = due || m.grant.Limits[g.Name] != limit || changed(limit, m.grant.Parts[g.Name], parts[m.id])
		}
	}
	if !due {
		return txn
	}
	for _, m := range live {
		m.write(&txn, next[m.id])
	}
	return txn
}

func divideGroup(limit Part, group string, live []*member) map[string]Part {
	none := func(*member) float64 { return 0 }
	dim := func(limit, unit float64, get func(Part) float64, over func(*member) float64) map[string]float64 {
		hs := make([]bucket.Holder, 0, len(live))
		worth := make(map[string]float64, len(live))
		// Requests that outlived a term can make more run than the limit allows.
		excess := -limit
		for _, m := range live {
			part := get(m.held.Parts[group])
			worth[m.id] = scale(part, limit, get(m.held.Limits[group])) + over(m)
			excess += worth[m.id]
			hs = append(hs, bucket.Holder{ID: m.id, Held: part + over(m), Demand: get(m.held.Demand[group])})
		}
		out := bucket.Divide(limit, unit, hs)
		for _, h := range hs {
			// The others may still use what their parts are worth under a lowered limit,
			// and more while there is an excess; an entry keeps no more than they leave.
			if out[h.ID] <= h.Held {
				out[h.ID] = min(out[h.ID], bucket.Floor(worth[h.ID]-max(excess, 0), unit))
			}
		}
		return out
	}
	conc := dim(limit.Concurrent, unitConcurrent, func(p Part) float64 { return p.Concurrent }, func(m *member) float64 { return m.held.Over[group] })
	reqs := dim(limit.Requests, min(unitRequests, limit.Requests), func(p Part) float64 { return p.Requests }, none)
	toks := dim(limit.Tokens, limit.Tokens/tokenSteps, func(p Part) float64 { return p.Tokens }, none)
	out := make(map[string]Part, len(live))
	for _, m := range live {
		out[m.id] = Part{Concurrent: conc[m.id], Requests: reqs[m.id], Tokens: toks[m.id]}
	}
	return out
}

func changed(limit, a, b Part) bool {
	differs := func(limit, a, b float64) bool { return a != b && (a == 0 || max(a-b, b-a) >= changeShare*limit) }
	return differs(limit.Concurrent, a.Concurrent, b.Concurrent) ||
		differs(limit.Requests, a.Requests, b.Requests) || differs(limit.Tokens, a.Tokens, b.Tokens)
}

// drop reclaims the parts of an entry whose term has passed.
func (m *member) drop(txn *store.Txn) {
	heldKey, grantKey := entryPrefix+m.id+heldSuffix, entryPrefix+m.id+grantSuffix
	txn.Conds = append(txn.Conds, store.Cond{Key: heldKey, Version: m.heldVer}, store.Cond{Key: grantKey, Version: m.grantVer})
	txn.Writes = append(txn.Writes, store.Write{Key: heldKey, Delete: true}, store.Write{Key: grantKey, Delete: true})
}

// write adds an entry's new grant. The held row must be unchanged, because the entry
// may otherwise have taken the old grant meanwhile.
func (m *member) write(txn *store.Txn, g grant) {
	heldKey, grantKey := entryPrefix+m.id+heldSuffix, entryPrefix+m.id+grantSuffix
	txn.Conds = append(txn.Conds, store.Cond{Key: heldKey, Version: m.heldVer}, store.Cond{Key: grantKey, Version: m.grantVer})
	txn.Writes = append(txn.Writes, put(grantKey, g))
}
