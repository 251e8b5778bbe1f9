package plan

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"chervilhead/internal/state/table"
)

// defaultLoadsPerSecond is the rate at which present weight stores start loads.
const defaultLoadsPerSecond = 2

// loadSpacing returns the time between the starts of two loads, over all endpoints, at a rate.
func loadSpacing(perSecond float64) time.Duration {
	return time.Duration(float64(time.Second) / cmp.Or(perSecond, defaultLoadsPerSecond))
}

// loadBurst is the number of loads that may start without delay. The weight store runs up
// to 11 at once, and some of the first loads still wait for memory on their endpoints: with
// a burst of 4, the models of a lost failure domain were reachable again after 22.25 s
// instead of 20.5 s.
const loadBurst = 12

// pendingLoad is a replica that is to be loaded.
type pendingLoad struct {
	endpoint *endpointPlan
	model    table.Model
	// earlierReplicas is the number of the model's replicas that are resident or load earlier.
	earlierReplicas int
	// missingShare is the share of the model's replicas that are not resident.
	missingShare, groupWeight float64
}

// base returns the model's base, or the model itself.
func (p pendingLoad) base() string { return cmp.Or(p.model.Base, p.model.Name) }

// loadOrder orders the pending loads of all endpoints: models without a replica first, then
// by missing share and by the weight of their groups, and a base before its adapters among
// equals. Positions start at 1.
func (b *builder) loadOrder() map[*endpointPlan]map[string]int {
	if b.settings.DisabledRules&OrderLoads != 0 {
		return nil
	}
	var all []pendingLoad
	counts := map[string]int{}
	for _, ep := range b.endpoints {
		for name := range ep.models {
			if !b.isPending(ep, name) {
				counts[name]++
			}
		}
	}
	resident := maps.Clone(counts)
	for _, ep := range b.endpoints {
		for _, name := range slices.Sorted(maps.Keys(ep.models)) {
			if m, ok := b.table.Model(name); ok && b.isPending(ep, name) {
				all = append(all, b.newPendingLoad(ep, m, counts[name], resident[name]))
				counts[name]++
			}
		}
	}
	slices.SortStableFunc(all, func(x, y pendingLoad) int {
		return cmp.Or(
			cmp.Compare(min(x.earlierReplicas, 1), min(y.earlierReplicas, 1)),
			cmp.Compare(y.missingShare, x.missingShare), cmp.Compare(y.groupWeight, x.groupWeight), cmp.Compare(x.base(), y.base()),
			cmp.Compare(min(len(x.model.Base), 1), min(len(y.model.Base), 1)), cmp.Compare(x.model.Name, y.model.Name))
	})
	out := map[*endpointPlan]map[string]int{}
	for i, p := range all {
		if out[p.endpoint] == nil {
			out[p.endpoint] = map[string]int{}
		}
		out[p.endpoint][p.model.Name] = i + 1
	}
	return out
}

// isPending reports whether a planned replica is to be loaded. If the agent's report is on
// an older Models list, that is so for a replica that is new or was in the previous load
// order.
func (b *builder) isPending(ep *endpointPlan, name string) bool {
	_, ordered := ep.prevLoadOrder[name]
	return !ep.confirmed[name] && (ep.ModelsVersion == ep.prevVersion || ordered || !slices.Contains(ep.prevModels, name))
}

func (b *builder) newPendingLoad(ep *endpointPlan, m table.Model, earlierReplicas, resident int) pendingLoad {
	p := pendingLoad{endpoint: ep, model: m, earlierReplicas: earlierReplicas, missingShare: 1 - float64(resident)/float64(max(len(b.holders[m.Name]), 1))}
	for _, g := range m.Groups {
		row, _ := b.table.Group(g)
		p.groupWeight += row.Weight
	}
	return p
}

// LoadTimes returns the earliest time at which the agent may load each model of Models,
// given the times from the previous plan, the plan's LoadsPerSecond and the time now. A
// newer plan may bring a load forward but doesn't delay it.
func (e Endpoint) LoadTimes(before map[string]time.Duration, perSecond float64, now time.Duration) map[string]time.Duration {
	out := make(map[string]time.Duration, len(e.Models))
	for _, name := range e.Models {
		at := now + time.Duration(max(e.LoadOrder[name]-loadBurst, 0))*loadSpacing(perSecond)
		if old, ok := before[name]; ok {
			at = min(at, old)
		}
		out[name] = at
	}
	return out
}
