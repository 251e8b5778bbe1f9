package plan

import (
	"cmp"
	"slices"

	"chervilhead/internal/state/memory"
	"chervilhead/internal/state/table"
)

// confirmedElsewhere reports whether a replica on another endpoint is planned and, by its
// agent's report, resident.
func (b *builder) confirmedElsewhere(model string, ep *endpointPlan) bool {
	return slices.ContainsFunc(b.holders[model], func(h *endpointPlan) bool { return h != ep && h.confirmed[model] })
}

// redundant reports whether an endpoint's replica of a model and those of the adapters on
// it are all confirmed on other endpoints too.
func (b *builder) redundant(ep *endpointPlan, m table.Model) bool {
	if !b.confirmedElsewhere(m.Name, ep) {
		return false
	}
	for _, a := range b.adapters[m.Name] {
		if (ep.models[a.Name] || ep.confirmed[a.Name]) && !b.confirmedElsewhere(a.Name, ep) {
			return false
		}
	}
	return true
}

// evictable reports whether a resident model may be unloaded from an endpoint: it is
// retired, not in the table, an adapter without its base, or redundant.
func (b *builder) evictable(ep *endpointPlan, name string) bool {
	m, known := b.table.Model(name)
	if ep.retired[name] {
		return true
	}
	// A report on an older Models list doesn't say whether the base is resident.
	current := ep.ModelsVersion == ep.prevVersion
	if !known || m.Base != "" && current && !ep.confirmed[m.Base] && !slices.Contains(ep.prevModels, m.Base) {
		return true
	}
	return b.redundant(ep, m)
}

// remove takes a model and its adapters out of an endpoint's part of the plan.
func (b *builder) remove(ep *endpointPlan, m table.Model) {
	for _, m := range append([]table.Model{m}, b.adapters[m.Name]...) {
		if !ep.models[m.Name] {
			continue
		}
		delete(ep.models, m.Name)
		ep.freeBytes += m.MemoryBytes
		b.holders[m.Name] = slices.DeleteFunc(slices.Clone(b.holders[m.Name]), func(h *endpointPlan) bool { return h == ep })
		for _, g := range m.Groups {
			b.groupBytes[g] -= m.MemoryBytes
		}
	}
}

// makeRoom removes replicas on the endpoint where that costs least, so that a model fits
// there, and reports whether it could. Which redundant replicas may go depends on the model:
//   - if it has a replica, only surplus ones
//   - if it has none, also those that demand doesn't need
//   - if requests wait for it, also those whose model isn't overloaded without them
//
// Replicas without demand may go for an overloaded model or one that requests wait for.
func (b *builder) makeRoom(m table.Model) bool {
	if !b.withinGroupLimits(m) && !b.makeGroupRoom(m) {
		return false
	}
	loadLimitReached := (b.awaitedRank(m) > 0 || b.overloaded(m)) && b.countPendingLoads() >= maxPendingLoads
	var bestEndpoint *endpointPlan
	var bestRemovals []table.Model
	var bestCost float64
	for _, ep := range b.endpoints {
		if ep.Service != "" || ep.Leaving || ep.models[m.Name] || m.Base != "" && !ep.models[m.Base] {
			continue
		}
		removals, ok := b.removalsFor(ep, m, !loadLimitReached)
		if cost := b.removalCost(removals); ok && (bestEndpoint == nil || cost < bestCost) {
			bestEndpoint, bestRemovals, bestCost = ep, removals, cost
		}
	}
	for _, d := range bestRemovals {
		b.giveUp(bestEndpoint, d)
	}
	return bestEndpoint != nil
}

// removalsFor returns the replicas to remove from an endpoint for a model to fit: those idle
// for longest first, then the largest. Last replicas without demand count only if retire is
// set.
func (b *builder) removalsFor(ep *endpointPlan, m table.Model, retire bool) (removals []table.Model, ok bool) {
	var removable []table.Model
	unplaced, awaited, overloaded := len(b.holders[m.Name]) == 0, b.awaitedRank(m) > 0, b.overloaded(m)
	for name := range ep.models {
		c, ok := b.table.Model(name)
		if !ok || name == m.Base {
			continue
		}
		others := float64(len(b.holders[name]) - 1)
		mayGo := b.surplus(c) || unplaced && others >= b.neededReplicas(c) || awaited && b.demand[name] <= overloadThreshold*others
		if c.Base == "" && mayGo && b.redundant(ep, c) || (awaited || overloaded) && retire && b.retirable(ep, c) {
			removable = append(removable, c)
		}
	}
	slices.SortFunc(removable, func(x, y table.Model) int {
		return cmp.Or(cmp.Compare(b.idleRank(y), b.idleRank(x)), cmp.Compare(y.MemoryBytes, x.MemoryBytes), cmp.Compare(x.Name, y.Name))
	})
	need := m.MemoryBytes + max(ep.stagingBytes, memory.StagingBytes(m.MemoryBytes)) - ep.freeBytes
	for _, c := range removable {
		if need <= 0 {
			break
		}
		need -= b.freedBytes(ep, c, removals)
		removals = append(removals, c)
	}
	if need > 0 {
		return nil, false
	}
	return removals, true
}
