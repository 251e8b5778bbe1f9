package plan

import (
	"cmp"
	"slices"

	"chervilhead/internal/state/memory"
	"chervilhead/internal/state/table"
)

// confirmedElsewhere reports whether another endpoint's list names a copy that its
// agent reports as resident.
func (b *builder) confirmedElsewhere(model string, s *space) bool {
	return slices.ContainsFunc(b.holders[model], func(h *space) bool { return h != s && h.confirmed[model] })
}

// spare reports whether an endpoint's copy of a model, with the adapters that ride on
// it, may be let go.
func (b *builder) spare(s *space, m table.Model) bool {
	if !b.confirmedElsewhere(m.Name, s) {
		return false
	}
	for _, a := range b.adapters[m.Name] {
		if (s.models[a.Name] || s.confirmed[a.Name]) && !b.confirmedElsewhere(a.Name, s) {
			return false
		}
	}
	return true
}

// evictable reports whether a resident model is of no use on an endpoint: the table
// doesn't know it, it is an adapter without its base, or it is spare.
func (b *builder) evictable(s *space, name string) bool {
	m, known := b.t.Model(name)
	if s.retired[name] {
		return true
	}
	// A report on an older list doesn't say whether the base is resident.
	current := s.ModelsVersion == s.since
	if !known || m.Base != "" && current && !s.confirmed[m.Base] && !slices.Contains(s.before, m.Base) {
		return true
	}
	return b.spare(s, m)
}

// drop lets an endpoint's copy of a model go, with its adapters.
func (b *builder) drop(s *space, m table.Model) {
	for _, m := range append([]table.Model{m}, b.adapters[m.Name]...) {
		if !s.models[m.Name] {
			continue
		}
		delete(s.models, m.Name)
		s.free += m.MemoryBytes
		b.holders[m.Name] = slices.DeleteFunc(slices.Clone(b.holders[m.Name]), func(h *space) bool { return h == s })
		for _, g := range m.Groups {
			b.group[g] -= m.MemoryBytes
		}
	}
}

// makeRoom lets spare copies go on the endpoint where that costs least, so that a model
// fits there; for a model that has a copy only surplus copies go, for one that nobody
// asks for only those that demand doesn't call for, and for one that requests wait for
// also those whose model isn't overloaded without them. Copies without demand make room
// for a model that requests wait for and for an overloaded one.
func (b *builder) makeRoom(m table.Model) bool {
	if !b.allowed(m) && !b.relieve(m) {
		return false
	}
	full := (b.urgency(m) > 0 || b.overloaded(m)) && b.pendingLoads() >= maxPendingLoads
	var best *space
	var bestDrops []table.Model
	var bestCost float64
	for _, s := range b.spaces {
		if s.Service != "" || s.Leaving || s.models[m.Name] || m.Base != "" && !s.models[m.Base] {
			continue
		}
		drops, ok := b.roomBy(s, m, !full)
		if cost := b.cost(drops); ok && (best == nil || cost < bestCost) {
			best, bestDrops, bestCost = s, drops, cost
		}
	}
	for _, d := range bestDrops {
		b.letGo(best, d)
	}
	return best != nil
}

// roomBy returns the copies that must go for a model to fit: those with the least recent
// demand first, then the largest. Copies may be retired if retire is set.
func (b *builder) roomBy(s *space, m table.Model, retire bool) (out []table.Model, ok bool) {
	var spare []table.Model
	restore, asked, overload := len(b.holders[m.Name]) == 0, b.urgency(m) > 0, b.overloaded(m)
	for name := range s.models {
		c, ok := b.t.Model(name)
		if !ok || name == m.Base {
			continue
		}
		others := float64(len(b.holders[name]) - 1)
		yields := b.surplus(c) || restore && others >= b.copies(c) || asked && b.demand[name] <= fullLoad*others
		if c.Base == "" && yields && b.spare(s, c) || (asked || overload) && retire && b.retirable(s, c) {
			spare = append(spare, c)
		}
	}
	slices.SortFunc(spare, func(x, y table.Model) int {
		return cmp.Or(cmp.Compare(b.rank(y), b.rank(x)), cmp.Compare(y.MemoryBytes, x.MemoryBytes), cmp.Compare(x.Name, y.Name))
	})
	need := m.MemoryBytes + max(s.staging, memory.StagingBytes(m.MemoryBytes)) - s.free
	for _, c := range spare {
		if need <= 0 {
			break
		}
		need -= b.freed(s, c, out)
		out = append(out, c)
	}
	if need > 0 {
		return nil, false
	}
	return out, true
}
