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

// Allocator divides the limits among entries. Several may run at once: each division is
// conditional on the rows of all entries that it sees, so of two concurrent ones one fails.
type Allocator struct {
	st  store.TableService
	log *logrus.Entry
	// rows caches the held and grant rows as of readVersion.
	rows        map[string]store.Row
	readVersion uint64
	// sightings maps an entry's id to when its held row was first seen at its current version.
	sightings map[string]rowSighting
	now       func() time.Time
}

// rowSighting is the version of a row and when it was first seen.
type rowSighting struct {
	version uint64
	at      time.Time
}

// entryState is what a division knows about one entry.
type entryState struct {
	id           string
	held         held
	heldVersion  uint64
	grant        grant
	grantVersion uint64
	expired      bool
}

const (
	// concurrentStep is the granularity of parts of a limit on concurrent requests.
	concurrentStep = 1
	// requestStep is the granularity in requests a second. A bucket that holds less than one
	// request would have to admit it on credit, at every entry at once.
	requestStep = 1
	// tokenStepCount is the number of steps of a token limit; it bounds the entries that can
	// have a request on credit to 20.
	tokenStepCount = 20
	// minGrantChange is the fraction of a limit below which a change of a part does not trigger a
	// new division.
	minGrantChange = 0.02
)

// NewAllocator returns an allocator that uses the system clock.
func NewAllocator(st store.TableService, log *logrus.Entry) *Allocator {
	return &Allocator{st: st, log: log, sightings: map[string]rowSighting{}, now: time.Now}
}

// WithClock sets the allocator's clock and returns the allocator.
func (a *Allocator) WithClock(now func() time.Time) *Allocator {
	a.now = now
	return a
}

// Step reads the changed rows, reclaims parts whose term has ended and publishes a new
// division if one is due.
func (a *Allocator) Step(ctx context.Context, t table.Table) error {
	if !hasLimits(t) && len(a.sightings) == 0 {
		return nil
	}
	if err := a.readRows(ctx); err != nil {
		return err
	}
	entries, err := a.entries(a.now())
	if err != nil {
		return err
	}
	txn := a.divide(t, entries)
	if len(txn.Writes) == 0 {
		return nil
	}
	_, err = a.st.Commit(ctx, txn)
	if errors.Is(err, store.ErrConflict) {
		return nil // an entry or another allocator was faster; the next step reads its rows
	}
	if err == nil {
		a.log.WithField("rows", len(txn.Writes)).Info("limits divided")
	}
	return err
}

// hasLimits reports whether any group has a limit that entries share.
func hasLimits(t table.Table) bool {
	return slices.ContainsFunc(t.Groups, func(g table.Group) bool { return Limits(g) != Part{} })
}

// readRows reads the rows that changed since the last step.
func (a *Allocator) readRows(ctx context.Context) error {
	c, err := store.ReadSince(ctx, a.st, entryPrefix, a.readVersion)
	if err != nil {
		return err
	}
	if !c.Partial || a.rows == nil {
		a.rows = map[string]store.Row{}
	}
	for _, r := range c.Rows {
		a.rows[r.Key] = r
	}
	for _, key := range c.Gone {
		delete(a.rows, key)
	}
	a.readVersion = c.Version
	return nil
}

// entries returns the state of all entries, in id order, and marks those whose term has ended.
func (a *Allocator) entries(now time.Time) ([]*entryState, error) {
	byID := map[string]*entryState{}
	at := func(id string) *entryState {
		e, ok := byID[id]
		if !ok {
			e = &entryState{id: id}
			byID[id] = e
		}
		return e
	}
	for _, r := range a.rows {
		if id, ok := entryID(r.Key, heldSuffix); ok {
			e := at(id)
			e.heldVersion = r.Version
			if err := decode(r, &e.held); err != nil {
				return nil, err
			}
		} else if id, ok := entryID(r.Key, grantSuffix); ok {
			e := at(id)
			e.grantVersion = r.Version
			if err := decode(r, &e.grant); err != nil {
				return nil, err
			}
		}
	}
	out := make([]*entryState, 0, len(byID))
	for _, id := range slices.Sorted(maps.Keys(byID)) {
		e := byID[id]
		s, ok := a.sightings[id]
		if !ok || s.version != e.heldVersion {
			s = rowSighting{version: e.heldVersion, at: now}
			a.sightings[id] = s
		}
		e.expired = now.Sub(s.at) >= time.Duration(e.held.TermMillis)*time.Millisecond
		out = append(out, e)
	}
	maps.DeleteFunc(a.sightings, func(id string, _ rowSighting) bool { return byID[id] == nil })
	return out, nil
}

// divide returns the transaction that reclaims ended parts and, if a new division is due,
// writes the grants.
func (a *Allocator) divide(t table.Table, entries []*entryState) store.Txn {
	var txn store.Txn
	var live []*entryState
	for _, e := range entries {
		if e.expired {
			e.reclaim(&txn)
			continue
		}
		live = append(live, e)
	}
	next := map[string]grant{}
	for _, e := range live {
		next[e.id] = grant{Parts: map[string]Part{}, Limits: map[string]Part{}}
	}
	due := false
	for _, g := range t.Groups {
		limit := Limits(g)
		if limit == (Part{}) {
			continue
		}
		parts := divideGroup(limit, g.Name, live)
		for _, e := range live {
			next[e.id].Parts[g.Name], next[e.id].Limits[g.Name] = parts[e.id], limit
			due = due || e.grant.Limits[g.Name] != limit || grantChanged(limit, e.grant.Parts[g.Name], parts[e.id])
		}
	}
	if !due {
		return txn
	}
	for _, e := range live {
		e.writeGrant(&txn, next[e.id])
	}
	return txn
}

func divideGroup(limit Part, group string, live []*entryState) map[string]Part {
	none := func(*entryState) float64 { return 0 }
	divideDimension := func(limit, unit float64, get func(Part) float64, over func(*entryState) float64) map[string]float64 {
		holders := make([]bucket.Holder, 0, len(live))
		scaled := make(map[string]float64, len(live))
		// With requests that outlived their term, more may run than the limit allows.
		excess := -limit
		for _, e := range live {
			part := get(e.held.Parts[group])
			scaled[e.id] = scaleToLimit(part, limit, get(e.held.Limits[group])) + over(e)
			excess += scaled[e.id]
			holders = append(holders, bucket.Holder{ID: e.id, Held: part + over(e), Demand: get(e.held.Demand[group])})
		}
		out := bucket.Divide(limit, unit, holders)
		for _, h := range holders {
			// The other entries may still use their parts, scaled to a lowered limit, and more
			// while there is an excess. An entry keeps no more than they leave.
			if out[h.ID] <= h.Held {
				out[h.ID] = min(out[h.ID], bucket.Floor(scaled[h.ID]-max(excess, 0), unit))
			}
		}
		return out
	}
	conc := divideDimension(limit.Concurrent, concurrentStep, func(p Part) float64 { return p.Concurrent }, func(e *entryState) float64 { return e.held.Over[group] })
	reqs := divideDimension(limit.Requests, min(requestStep, limit.Requests), func(p Part) float64 { return p.Requests }, none)
	toks := divideDimension(limit.Tokens, limit.Tokens/tokenStepCount, func(p Part) float64 { return p.Tokens }, none)
	out := make(map[string]Part, len(live))
	for _, e := range live {
		out[e.id] = Part{Concurrent: conc[e.id], Requests: reqs[e.id], Tokens: toks[e.id]}
	}
	return out
}

func grantChanged(limit, a, b Part) bool {
	differs := func(limit, a, b float64) bool { return a != b && (a == 0 || max(a-b, b-a) >= minGrantChange*limit) }
	return differs(limit.Concurrent, a.Concurrent, b.Concurrent) ||
		differs(limit.Requests, a.Requests, b.Requests) || differs(limit.Tokens, a.Tokens, b.Tokens)
}

// reclaim deletes the rows of an entry whose term has ended.
func (e *entryState) reclaim(txn *store.Txn) {
	heldKey, grantKey := entryPrefix+e.id+heldSuffix, entryPrefix+e.id+grantSuffix
	txn.Conds = append(txn.Conds, store.Cond{Key: heldKey, Version: e.heldVersion}, store.Cond{Key: grantKey, Version: e.grantVersion})
	txn.Writes = append(txn.Writes, store.Write{Key: heldKey, Delete: true}, store.Write{Key: grantKey, Delete: true})
}

// writeGrant adds the write of an entry's new grant. Its condition on the held row fails if the
// entry has taken the old grant meanwhile.
func (e *entryState) writeGrant(txn *store.Txn, g grant) {
	heldKey, grantKey := entryPrefix+e.id+heldSuffix, entryPrefix+e.id+grantSuffix
	txn.Conds = append(txn.Conds, store.Cond{Key: heldKey, Version: e.heldVersion}, store.Cond{Key: grantKey, Version: e.grantVersion})
	txn.Writes = append(txn.Writes, putRow(grantKey, g))
}
