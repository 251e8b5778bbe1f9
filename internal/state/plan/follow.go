package plan

import (
	"cmp"
	"math"
	"slices"

	"chervilhead/internal/state/table"
)

// Settings trade attainment against moves.
type Settings struct {
	// MoveCost is the shortage, as a share of the copies held, from which a copy is
	// added; the same share of surplus is kept. Higher values move less.
	MoveCost float64
	// LoadsPerSecond is the rate at which the weight store starts loads; 0 means the default.
	LoadsPerSecond float64
	// DisabledRules switches rules off, which the experiment uses to measure what each is worth.
	DisabledRules Rule
}

// Rule is a set of rules of the planner.
type Rule uint

// The rules that can be switched off.
const (
	// FollowDemand adds copies where demand calls for them.
	FollowDemand Rule = 1 << iota
	// KeepSurplus keeps copies above demand by the share MoveCost.
	KeepSurplus
	// OrderLoads spaces the loads over the whole fleet, those of unreachable models first.
	OrderLoads
)

// DefaultSettings returns the settings in force where none are given.
func DefaultSettings() Settings { return Settings{MoveCost: 1} }

// copyLoad is the demand that one copy is to take, in engines: an engine holds
// several models, and a full one makes requests wait.
const copyLoad = 0.2

// adapterSpare is the number of copies of an adapter beyond those that its row calls for:
// its requests meet a queue behind those of the base when one of two copies is lost.
const adapterSpare = 1

// measure sums the reported demand; adapters count for their base.
func (b *builder) measure(endpoints []Endpoint) {
	b.demand, b.own = map[string]float64{}, map[string]float64{}
	defer b.measureIdle()
	for _, e := range endpoints {
		for _, d := range e.Demand {
			b.own[d.Model] += d.Engines
			m, ok := b.t.Model(d.Model)
			if ok && m.Base != "" {
				m, ok = b.t.Model(m.Base)
			}
			if ok {
				b.demand[m.Name] += d.Engines
			}
		}
	}
}

// copies returns the copies that the demand for a model calls for.
func (b *builder) copies(m table.Model) float64 { return b.demand[m.Name] / copyLoad }

// follow adds copies where demand calls for more, the largest shortage first, as far as
// memory or the surplus of other models allows.
func (b *builder) follow(models []table.Model) {
	short := func(m table.Model) float64 {
		return b.copies(m) / float64(max(len(b.holders[m.Name]), 1))
	}
	var queue []table.Model
	if b.set.DisabledRules&FollowDemand != 0 {
		return
	}
	for _, m := range models {
		if len(b.holders[m.Name]) > 0 && short(m) > 1+b.set.MoveCost {
			queue = append(queue, m)
		}
	}
	for len(queue) > 0 {
		slices.SortStableFunc(queue, func(x, y table.Model) int { return cmp.Compare(short(y), short(x)) })
		m := queue[0]
		if short(m) <= 1 || !b.add(m) && (!b.makeRoom(m) || !b.add(m)) {
			queue = queue[1:]
		}
	}
}

// surplus reports whether a model has copies that neither its row nor demand calls for.
func (b *builder) surplus(m table.Model) bool {
	keep := math.Ceil(b.copies(m))
	if b.set.DisabledRules&KeepSurplus == 0 {
		keep = math.Ceil(b.copies(m) * (1 + b.set.MoveCost))
	}
	return len(b.holders[m.Name]) > max(wanted(m), int(keep))
}

// fullLoad is the demand on each copy, in engines, from which a model is overloaded. With
// 0.6, 65% of the requests kept their promise where models don't fit (Zipf 1.2), with
// 0.45 76% and with 0.3 74%.
const fullLoad = 0.45

// overloaded reports whether a model has copies and demand for more than they can take.
func (b *builder) overloaded(m table.Model) bool {
	n := len(b.holders[m.Name])
	return n > 0 && b.demand[m.Name] > fullLoad*float64(n) && b.set.DisabledRules&FollowDemand == 0
}

// relieveOverload adds copies of overloaded models, also in the place of copies without
// demand, before models without a copy take that space: otherwise the models that take
// turns in a fleet whose models don't fit leave no space for the ones with most demand.
func (b *builder) relieveOverload(models []table.Model) {
	for _, m := range models {
		for b.overloaded(m) && (b.add(m) || b.makeRoom(m) && b.add(m)) {
			continue
		}
	}
}
