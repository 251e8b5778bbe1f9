package plan

import (
	"cmp"
	"slices"
	"time"

	"chervilhead/internal/state/memory"
	"chervilhead/internal/state/table"
)

// MinResidency is how long a last replica stays after it was loaded or last requested. A
// request waits about 10 s for its model to be swapped in, so a replica serves for at least
// three times as long as requests waited for it; and 60 models that replace one another
// don't overload a weight store that starts 2 loads a second.
const MinResidency = 30 * time.Second

// IdleModel is a resident model without recent demand at an endpoint.
type IdleModel struct {
	Model string `json:"model"`
	// Doublings is the largest n for which the replica was unused for at least
	// MinResidency * 2^n.
	Doublings int `json:"doublings,omitempty"`
}

// IdleModels returns the models that were unused for at least MinResidency, in model order.
// Its argument gives the time since each model was last requested or loaded.
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

// Reason says why a model has no replica.
type Reason string

// Reasons why a model has no replica.
const (
	// ReasonOnDemand means that the model is loaded when a request for it arrives.
	ReasonOnDemand Reason = "on_demand"
	// ReasonNoRoom means that requests wait for the model, and every replica that could make
	// room for it is the last one of a model with demand.
	ReasonNoRoom Reason = "no_room"
	// ReasonTooLarge means that no endpoint has the memory for the model alone.
	ReasonTooLarge Reason = "too_large"
	// ReasonGroupLimit means that the model alone exceeds the memory limit of one of its groups.
	ReasonGroupLimit Reason = "group_limit"
)

// Transient reports whether the model can become resident without an operator's action.
func (r Reason) Transient() bool { return r != ReasonTooLarge && r != ReasonGroupLimit }

// Remedy returns what an operator can do for the model to get a replica.
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

// measureIdle collects the models that requests wait for and the idle ones. A model is idle
// if the agent of each of its replicas reports it as idle, none reports demand and no
// request waits for it.
func (b *builder) measureIdle() {
	b.awaited, b.idle = map[string]bool{}, map[string]int{}
	busy := map[string]bool{}
	for _, ep := range b.endpoints {
		for _, name := range ep.AwaitedModels {
			if m, ok := b.table.Model(name); ok {
				b.awaited[name] = true
				if m.Base != "" {
					b.awaited[m.Base] = true
				}
			}
		}
		for name, confirmed := range ep.confirmed {
			i := slices.IndexFunc(ep.Idle, func(i IdleModel) bool { return i.Model == name })
			if !confirmed {
				continue
			}
			if i < 0 {
				busy[name] = true
				continue
			}
			if n, ok := b.idle[name]; !ok || ep.Idle[i].Doublings < n {
				b.idle[name] = ep.Idle[i].Doublings
			}
		}
	}
	for name := range b.idle {
		if busy[name] || b.awaited[name] || b.demand[name] > 0 {
			delete(b.idle, name)
		}
	}
	for _, ep := range b.endpoints {
		for name := range ep.retired {
			if _, idle := b.idle[name]; !idle && ep.ModelsVersion == ep.prevVersion {
				delete(ep.retired, name)
			}
		}
	}
}

// awaitedRank is 1 for a model without a replica that requests wait for, and 0 otherwise.
func (b *builder) awaitedRank(m table.Model) int {
	if b.awaited[m.Name] && len(b.holders[m.Name]) == 0 {
		return 1
	}
	return 0
}

// maxPendingLoads is the number of pending loads from which no last replica is removed to
// make room for another. Otherwise, during an outage of the weight store, idle models would
// be removed one after the other although none can be loaded. The weight store runs up to
// 11 loads at once.
const maxPendingLoads = 12

// countPendingLoads returns the number of pending loads of models, without adapters, in the
// plan so far.
func (b *builder) countPendingLoads() int {
	n := 0
	for _, ep := range b.endpoints {
		for name := range ep.models {
			if m, ok := b.table.Model(name); ok && m.Base == "" && b.isPending(ep, name) {
				n++
			}
		}
	}
	return n
}

// retirable reports whether an endpoint's replica may be removed although no other exists:
// it is resident and the only one planned, the model is idle, and each adapter on it is too
// or is confirmed elsewhere.
func (b *builder) retirable(ep *endpointPlan, m table.Model) bool {
	lastIdle := func(name string) bool {
		_, idle := b.idle[name]
		return idle && ep.confirmed[name] && len(b.holders[name]) == 1
	}
	if !lastIdle(m.Name) {
		return false
	}
	for _, a := range b.adapters[m.Name] {
		if ep.models[a.Name] && !lastIdle(a.Name) && !b.confirmedElsewhere(a.Name, ep) {
			return false
		}
	}
	return true
}

// idleRank is 0 for a model with demand, and larger the longer the model has been idle.
func (b *builder) idleRank(m table.Model) int {
	n, idle := b.idle[m.Name]
	if !idle {
		return 0
	}
	return n + 1
}

// removalCost returns the cost of removing replicas: nearly 1 for each that has been idle
// for long, and 2 for each with demand.
func (b *builder) removalCost(removals []table.Model) float64 {
	sum := 0.0
	for _, m := range removals {
		sum += 1 + 1/float64(1+b.idleRank(m))
	}
	return sum
}

// freedBytes returns the memory that the removal of a replica and the adapters on it frees
// in addition to the replicas in removed.
func (b *builder) freedBytes(ep *endpointPlan, m table.Model, removed []table.Model) int64 {
	isRemoved := func(name string) bool {
		return slices.ContainsFunc(removed, func(o table.Model) bool { return o.Name == name })
	}
	if m.Base != "" && isRemoved(m.Base) {
		return 0
	}
	n := m.MemoryBytes
	for _, a := range b.adapters[m.Name] {
		if ep.models[a.Name] && !isRemoved(a.Name) {
			n += a.MemoryBytes
		}
	}
	return n
}

// giveUp removes a replica and the adapters on it, and retires those resident ones of them
// that have no confirmed replica elsewhere.
func (b *builder) giveUp(ep *endpointPlan, m table.Model) {
	for _, m := range append([]table.Model{m}, b.adapters[m.Name]...) {
		if ep.models[m.Name] && ep.confirmed[m.Name] && !b.confirmedElsewhere(m.Name, ep) {
			ep.retired[m.Name] = true
		}
	}
	b.remove(ep, m)
}

// makeGroupRoom removes replicas of groups that are at their memory limit, those idle for
// longest first, until the groups may hold a model that requests wait for. It reports
// whether they may.
func (b *builder) makeGroupRoom(m table.Model) bool {
	for b.awaited[m.Name] && len(b.holders[m.Name]) == 0 && b.reason(m).Transient() && !b.withinGroupLimits(m) {
		var bestEndpoint *endpointPlan
		var best table.Model
		for _, ep := range b.endpoints {
			for name := range ep.models {
				c, _ := b.table.Model(name)
				mayGo := b.retirable(ep, c) || c.Base == "" && b.redundant(ep, c)
				if !mayGo || name == m.Base || !b.shareLimit(c, m) {
					continue
				}
				if bestEndpoint == nil || cmp.Or(cmp.Compare(b.idleRank(best), b.idleRank(c)), cmp.Compare(c.Name, best.Name)) < 0 {
					bestEndpoint, best = ep, c
				}
			}
		}
		if bestEndpoint == nil {
			return false
		}
		b.giveUp(bestEndpoint, best)
	}
	return b.withinGroupLimits(m)
}

// shareLimit reports whether two models count towards the memory limit of the same group.
func (b *builder) shareLimit(x, y table.Model) bool {
	return slices.ContainsFunc(x.Groups, func(name string) bool {
		g, ok := b.table.Group(name)
		return ok && g.MaxMemoryBytes > 0 && slices.Contains(y.Groups, name)
	})
}

// reason returns why a model has no replica.
func (b *builder) reason(m table.Model) Reason {
	need, staging := m.MemoryBytes, memory.StagingBytes(m.MemoryBytes)
	base, isAdapter := b.table.Model(m.Base)
	if isAdapter {
		need, staging = need+base.MemoryBytes, max(staging, memory.StagingBytes(base.MemoryBytes))
	}
	engines, room := 0, false
	for _, ep := range b.endpoints {
		if ep.Service == "" {
			engines++
			room = room || ep.CapacityBytes >= need+staging
		}
	}
	for _, name := range m.Groups {
		groupNeed := m.MemoryBytes
		if isAdapter && slices.Contains(base.Groups, name) {
			groupNeed = need
		}
		if g, ok := b.table.Group(name); ok && g.MaxMemoryBytes > 0 && groupNeed > g.MaxMemoryBytes {
			return ReasonGroupLimit
		}
	}
	switch {
	case engines > 0 && !room:
		return ReasonTooLarge
	case b.awaited[m.Name]:
		return ReasonNoRoom
	default:
		return ReasonOnDemand
	}
}

// reasons returns why each unplaced model has no replica.
func (b *builder) reasons() map[string]Reason {
	if len(b.unplaced) == 0 {
		return nil
	}
	out := make(map[string]Reason, len(b.unplaced))
	for _, name := range b.unplaced {
		m, _ := b.table.Model(name)
		out[name] = b.reason(m)
	}
	return out
}
