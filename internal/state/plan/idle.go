package plan

import (
	"cmp"
	"slices"
	"time"

	"chervilhead/internal/state/memory"
	"chervilhead/internal/state/table"
)

// MinResidency is how long a copy stays after it was loaded or last asked for, unless it
// has a successor. A swap costs the waiting model about 10 s from its request to its
// load, so a copy serves for at least three times as long as it was waited for; and a
// store that starts 2 loads a second is not kept busy by 60 models that take turns.
const MinResidency = 30 * time.Second

// IdleModel is a resident model without recent demand at an endpoint.
type IdleModel struct {
	Model string `json:"model"`
	// Doublings is how often MinResidency has doubled since the copy was last asked for.
	Doublings int `json:"doublings,omitempty"`
}

// IdleModels returns the models that were last used MinResidency ago or earlier, given the
// time since each was asked for or loaded, in model order.
func IdleModels(unused map[string]time.Duration) []IdleModel {
	var out []IdleModel
	for name, d := range unused {
		if d < MinResidency {
			continue
		}
		n := 0
		for d >= 2*MinResidency {
			d /= 2
			n++
		}
		out = append(out, IdleModel{Model: name, Doublings: n})
	}
	slices.SortFunc(out, func(a, b IdleModel) int { return cmp.Compare(a.Model, b.Model) })
	return out
}

// Reason says why a model has no copy.
type Reason string

// The reasons for which a model has no copy.
const (
	// ReasonOnDemand means that the model is loaded when a request for it arrives.
	ReasonOnDemand Reason = "on_demand"
	// ReasonNoRoom means that requests wait, and every copy that could make room is the last
	// one of a model with demand.
	ReasonNoRoom Reason = "no_room"
	// ReasonTooLarge means that no endpoint has the memory for the model alone.
	ReasonTooLarge Reason = "too_large"
	// ReasonGroupLimit means that the model alone exceeds the memory limit of one of its groups.
	ReasonGroupLimit Reason = "group_limit"
)

// Transient reports whether a model with this reason can become resident without an operator.
func (r Reason) Transient() bool { return r != ReasonTooLarge && r != ReasonGroupLimit }

// Remedy returns what an operator can do about a model without a copy.
func (r Reason) Remedy() string {
	switch r {
	case ReasonTooLarge:
		return "add endpoints with more accelerator memory, or register a smaller version of the model"
	case ReasonGroupLimit:
		return "raise the group's limit on accelerator memory"
	case ReasonNoRoom:
		return "add endpoints, or lower the least number of copies of other models"
	case ReasonOnDemand:
		return "none is needed; the model is loaded when a request for it arrives"
	}
	return ""
}

// measureIdle collects the models that requests wait for and those without demand. A
// model is idle when the agent of each of its copies says so and none reports demand.
func (b *builder) measureIdle() {
	b.asked, b.idle = map[string]bool{}, map[string]int{}
	busy := map[string]bool{}
	for _, s := range b.spaces {
		for _, name := range s.AwaitedModels {
			if m, ok := b.t.Model(name); ok {
				b.asked[name] = true
				if m.Base != "" {
					b.asked[m.Base] = true
				}
			}
		}
		for name, confirmed := range s.confirmed {
			i := slices.IndexFunc(s.Idle, func(i IdleModel) bool { return i.Model == name })
			if !confirmed {
				continue
			}
			if i < 0 {
				busy[name] = true
				continue
			}
			if n, ok := b.idle[name]; !ok || s.Idle[i].Doublings < n {
				b.idle[name] = s.Idle[i].Doublings
			}
		}
	}
	for name := range b.idle {
		if busy[name] || b.asked[name] || b.demand[name] > 0 {
			delete(b.idle, name)
		}
	}
	for _, s := range b.spaces {
		for name := range s.retired {
			if _, idle := b.idle[name]; !idle && s.ModelsVersion == s.since {
				delete(s.retired, name)
			}
		}
	}
}

// urgency orders the models without a copy: those that requests wait for first.
func (b *builder) urgency(m table.Model) int {
	if b.asked[m.Name] && len(b.holders[m.Name]) == 0 {
		return 1
	}
	return 0
}

// maxPendingLoads is the number of loads to be done beyond which no copy without demand
// makes room for a further one. While the weight store is away, models would otherwise
// go one after the other although none can be loaded; it runs up to 11 loads at once.
const maxPendingLoads = 12

// pendingLoads counts the loads of models that the plan holds so far.
func (b *builder) pendingLoads() int {
	n := 0
	for _, s := range b.spaces {
		for name := range s.models {
			if m, ok := b.t.Model(name); ok && m.Base == "" && b.isPending(s, name) {
				n++
			}
		}
	}
	return n
}

// retirable reports whether an endpoint's copy may go without a successor: it is resident
// and the only one planned, and neither the model nor an adapter on it has demand.
func (b *builder) retirable(s *space, m table.Model) bool {
	last := func(name string) bool {
		_, idle := b.idle[name]
		return idle && s.confirmed[name] && len(b.holders[name]) == 1
	}
	if !last(m.Name) {
		return false
	}
	for _, a := range b.adapters[m.Name] {
		if s.models[a.Name] && !last(a.Name) && !b.confirmedElsewhere(a.Name, s) {
			return false
		}
	}
	return true
}

// rank orders copies that may go: 0 for those with demand, more the longer they are idle.
func (b *builder) rank(m table.Model) int {
	n, idle := b.idle[m.Name]
	if !idle {
		return 0
	}
	return n + 1
}

// cost prices copies that go: a copy with demand costs twice as much as one that has been
// idle for long.
func (b *builder) cost(drops []table.Model) float64 {
	sum := 0.0
	for _, m := range drops {
		sum += 1 + 1/float64(1+b.rank(m))
	}
	return sum
}

// freed returns the space that a copy gives back, with the adapters that ride on it,
// besides those in out.
func (b *builder) freed(s *space, m table.Model, out []table.Model) int64 {
	gone := func(name string) bool {
		return slices.ContainsFunc(out, func(o table.Model) bool { return o.Name == name })
	}
	if m.Base != "" && gone(m.Base) {
		return 0
	}
	n := m.MemoryBytes
	for _, a := range b.adapters[m.Name] {
		if s.models[a.Name] && !gone(a.Name) {
			n += a.MemoryBytes
		}
	}
	return n
}

// letGo drops a copy, and retires it where no other one is confirmed.
func (b *builder) letGo(s *space, m table.Model) {
	for _, m := range append([]table.Model{m}, b.adapters[m.Name]...) {
		if s.models[m.Name] && s.confirmed[m.Name] && !b.confirmedElsewhere(m.Name, s) {
			s.retired[m.Name] = true
		}
	}
	b.drop(s, m)
}

// relieve lets copies of a group that is at its memory limit go, those with the least
// recent demand first, until the group may hold a model that requests wait for.
func (b *builder) relieve(m table.Model) bool {
	for b.asked[m.Name] && len(b.holders[m.Name]) == 0 && b.reason(m).Transient() && !b.allowed(m) {
		var at *space
		var best table.Model
		for _, s := range b.spaces {
			for name := range s.models {
				c, _ := b.t.Model(name)
				yields := b.retirable(s, c) || c.Base == "" && b.spare(s, c)
				if !yields || name == m.Base || !b.shareLimit(c, m) {
					continue
				}
				if at == nil || cmp.Or(cmp.Compare(b.rank(best), b.rank(c)), cmp.Compare(c.Name, best.Name)) < 0 {
					at, best = s, c
				}
			}
		}
		if at == nil {
			return false
		}
		b.letGo(at, best)
	}
	return b.allowed(m)
}

// shareLimit reports whether two models count towards one group's memory limit.
func (b *builder) shareLimit(x, y table.Model) bool {
	return slices.ContainsFunc(x.Groups, func(name string) bool {
		g, ok := b.t.Group(name)
		return ok && g.MaxMemoryBytes > 0 && slices.Contains(y.Groups, name)
	})
}

// reason returns why a model has no copy.
func (b *builder) reason(m table.Model) Reason {
	need, staging := m.MemoryBytes, memory.StagingBytes(m.MemoryBytes)
	base, rides := b.t.Model(m.Base)
	if rides {
		need, staging = need+base.MemoryBytes, max(staging, memory.StagingBytes(base.MemoryBytes))
	}
	engines, room := 0, false
	for _, s := range b.spaces {
		if s.Service == "" {
			engines++
			room = room || s.CapacityBytes >= need+staging
		}
	}
	for _, name := range m.Groups {
		of := m.MemoryBytes
		if rides && slices.Contains(base.Groups, name) {
			of = need
		}
		if g, ok := b.t.Group(name); ok && g.MaxMemoryBytes > 0 && of > g.MaxMemoryBytes {
			return ReasonGroupLimit
		}
	}
	switch {
	case engines > 0 && !room:
		return ReasonTooLarge
	case b.asked[m.Name]:
		return ReasonNoRoom
	default:
		return ReasonOnDemand
	}
}

// reasons returns why the unplaced models have no copy.
func (b *builder) reasons() map[string]Reason {
	if len(b.unplaced) == 0 {
		return nil
	}
	out := make(map[string]Reason, len(b.unplaced))
	for _, name := range b.unplaced {
		m, _ := b.t.Model(name)
		out[name] = b.reason(m)
	}
	return out
}
