package plan

import (
	"cmp"
	"math"
	"slices"

	"chervilhead/internal/state/table"
)

// Settings weigh the share of requests that meet their latency objective against the number
// of moves.
type Settings struct {
	// MoveCost is the shortage, as a share of a model's replicas, above which replicas are
	// added, and the share of replicas beyond demand that is kept. A higher value causes
	// fewer moves.
	MoveCost float64
	// LoadsPerSecond is the rate at which the weight store starts loads; 0 means 2.
	LoadsPerSecond float64
	// DisabledRules switches rules off, so that trials can measure the effect of each.
	DisabledRules Rule
}

// Rule is a set of rules of the planner.
type Rule uint

// The rules that can be switched off.
const (
	// FollowDemand adds replicas to models whose demand needs them.
	FollowDemand Rule = 1 << iota
	// KeepSurplus keeps replicas beyond demand, up to the share MoveCost.
	KeepSurplus
	// OrderLoads orders and spaces loads across all endpoints, models without a replica
	// first.
	OrderLoads
)

// DefaultSettings returns settings with a MoveCost of 1 and every rule in force.
func DefaultSettings() Settings { return Settings{MoveCost: 1} }

// targetReplicaLoad is the demand, in engines, that one replica is to serve: an engine holds
// several models, and requests wait when it is full.
const targetReplicaLoad = 0.2

// extraAdapterReplicas is the number of replicas of an adapter beyond its minimum: when one
// of two is lost, requests for the adapter queue behind those for its base at the other.
const extraAdapterReplicas = 1

// measureDemand sums the reported demand; that for an adapter counts for its base too.
func (b *builder) measureDemand(endpoints []Endpoint) {
	b.demand, b.ownDemand = map[string]float64{}, map[string]float64{}
	defer b.measureIdle()
	for _, e := range endpoints {
		for _, d := range e.Demand {
			b.ownDemand[d.Model] += d.Engines
			m, ok := b.table.Model(d.Model)
			if ok && m.Base != "" {
				m, ok = b.table.Model(m.Base)
			}
			if ok {
				b.demand[m.Name] += d.Engines
			}
		}
	}
}

// neededReplicas returns the number of replicas that the demand for a model needs.
func (b *builder) neededReplicas(m table.Model) float64 { return b.demand[m.Name] / targetReplicaLoad }

// followDemand adds replicas to models whose demand needs more, the largest shortage first,
// as far as free memory or the surplus of other models allows.
func (b *builder) followDemand(models []table.Model) {
	demandRatio := func(m table.Model) float64 {
		return b.neededReplicas(m) / float64(max(len(b.holders[m.Name]), 1))
	}
	var queue []table.Model
	if b.settings.DisabledRules&FollowDemand != 0 {
		return
	}
	for _, m := range models {
		if len(b.holders[m.Name]) > 0 && demandRatio(m) > 1+b.settings.MoveCost {
			queue = append(queue, m)
		}
	}
	for len(queue) > 0 {
		slices.SortStableFunc(queue, func(x, y table.Model) int { return cmp.Compare(demandRatio(y), demandRatio(x)) })
		m := queue[0]
		if demandRatio(m) <= 1 || !b.addReplica(m) && (!b.makeRoom(m) || !b.addReplica(m)) {
			queue = queue[1:]
		}
	}
}

// surplus reports whether a model has more replicas than its minimum and its demand, with
// the share MoveCost on top, need.
func (b *builder) surplus(m table.Model) bool {
	keep := math.Ceil(b.neededReplicas(m))
	if b.settings.DisabledRules&KeepSurplus == 0 {
		keep = math.Ceil(b.neededReplicas(m) * (1 + b.settings.MoveCost))
	}
	return len(b.holders[m.Name]) > max(minReplicas(m), int(keep))
}

// overloadThreshold is the demand per replica, in engines, above which a model is overloaded.
// Where the models don't all fit (Zipf 1.2), 76% of the requests met their latency objective
// with 0.45, 65% with 0.6 and 74% with 0.3.
const overloadThreshold = 0.45

// overloaded reports whether a model has replicas and more demand than they can serve.
func (b *builder) overloaded(m table.Model) bool {
	n := len(b.holders[m.Name])
	return n > 0 && b.demand[m.Name] > overloadThreshold*float64(n) && b.settings.DisabledRules&FollowDemand == 0
}

// addOverloadReplicas adds replicas to overloaded models, also in the space of replicas
// without demand, before models without a replica take that space. Otherwise, where the
// models don't all fit, those that replace one another would leave no space for the models
// with the most demand.
func (b *builder) addOverloadReplicas(models []table.Model) {
	for _, m := range models {
		for b.overloaded(m) && (b.addReplica(m) || b.makeRoom(m) && b.addReplica(m)) {
			continue
		}
	}
}
