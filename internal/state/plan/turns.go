package plan

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"chervilhead/internal/state/table"
)

// defaultLoadsPerSecond is the rate at which the weight stores of today start loads.
const defaultLoadsPerSecond = 2

// loadSpacing returns the time between two loads over the whole fleet at a rate.
func loadSpacing(perSecond float64) time.Duration {
	return time.Duration(float64(time.Second) / cmp.Or(perSecond, defaultLoadsPerSecond))
}

// loadsAhead is the number of loads that ask at once. The store runs up to 11 at once,
// and some that ask first still wait for their space: with 4, the models of a lost domain
// were reachable again after 22.25 s instead of 20.5 s.
const loadsAhead = 12

// pending is a copy that is to be loaded.
type pending struct {
	s *space
	m table.Model
	// copies is the number of the model's copies that are resident or come before.
	copies int
	// deficit is the share of the model's copies that are not resident.
	deficit, weight float64
}

// base returns the model's base, or the model itself.
func (p pending) base() string { return cmp.Or(p.m.Base, p.m.Name) }

// turns orders the loads of the plan over the fleet: models without a copy first, then by
// deficit and by the weight of their groups. An adapter's load follows its base's.
func (b *builder) turns() map[*space]map[string]int {
	if b.set.DisabledRules&OrderLoads != 0 {
		return nil
	}
	var all []pending
	copies := map[string]int{}
	for _, s := range b.spaces {
		for name := range s.models {
			if !b.isPending(s, name) {
				copies[name]++
			}
		}
	}
	resident := maps.Clone(copies)
	for _, s := range b.spaces {
		for _, name := range slices.Sorted(maps.Keys(s.models)) {
			if m, ok := b.t.Model(name); ok && b.isPending(s, name) {
				all = append(all, b.pendingOf(s, m, copies[name], resident[name]))
				copies[name]++
			}
		}
	}
	slices.SortStableFunc(all, func(x, y pending) int {
		return cmp.Or(
			cmp.Compare(min(x.copies, 1), min(y.copies, 1)),
			cmp.Compare(y.deficit, x.deficit), cmp.Compare(y.weight, x.weight), cmp.Compare(x.base(), y.base()),
			cmp.Compare(min(len(x.m.Base), 1), min(len(y.m.Base), 1)), cmp.Compare(x.m.Name, y.m.Name))
	})
	out := map[*space]map[string]int{}
	for i, p := range all {
		if out[p.s] == nil {
			out[p.s] = map[string]int{}
		}
		out[p.s][p.m.Name] = i + 1
	}
	return out
}

// isPending reports whether a copy of the plan is to be loaded. A report on an older list
// doesn't tell; then the copies count that are new or that the plan before counted.
func (b *builder) isPending(s *space, name string) bool {
	_, before := s.turns[name]
	return !s.confirmed[name] && (s.ModelsVersion == s.since || before || !slices.Contains(s.before, name))
}

func (b *builder) pendingOf(s *space, m table.Model, copies, resident int) pending {
	p := pending{s: s, m: m, copies: copies, deficit: 1 - float64(resident)/float64(max(len(b.holders[m.Name]), 1))}
	for _, g := range m.Groups {
		row, _ := b.t.Group(g)
		p.weight += row.Weight
	}
	return p
}

// LoadTimes returns when an agent may ask for the loads of its list, given when it might before
// and the time now. A turn that comes sooner in a newer plan counts; none is put off.
// The rate is the plan's LoadsPerSecond.
func (e Endpoint) LoadTimes(before map[string]time.Duration, perSecond float64, now time.Duration) map[string]time.Duration {
	out := make(map[string]time.Duration, len(e.Models))
	for _, name := range e.Models {
		at := now + time.Duration(max(e.LoadOrder[name]-loadsAhead, 0))*loadSpacing(perSecond)
		if old, ok := before[name]; ok {
			at = min(at, old)
		}
		out[name] = at
	}
	return out
}
