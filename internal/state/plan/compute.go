package plan

import (
	"cmp"
	"math"
	"slices"

	"chervilhead/internal/state/memory"
	"chervilhead/internal/state/table"
)

// defaultMinReplicas is the number of replicas that every model gets when memory allows,
// in different failure domains where possible.
const defaultMinReplicas = 2

// Compute returns the plan that follows prev under the default settings; endpoints are the
// rows that the agents report. A replica beyond demand stays until its space is needed,
// because dropping it earlier costs moves and gains nothing. A replica is removed from
// Models first, which shifts its traffic. It is unloaded through Evict once the agent
// reports it as extra and another replica is confirmed, or through Retire if it is the
// last one of a model without demand.
func Compute(t table.Table, endpoints []Endpoint, prev Plan) Plan {
	return DefaultSettings().Compute(t, endpoints, prev)
}

// Compute is like the function Compute, under these settings.
func (s Settings) Compute(t table.Table, endpoints []Endpoint, prev Plan) Plan {
	b := newBuilder(t, endpoints, prev)
	b.settings = s
	b.measureDemand(endpoints)
	b.keepReplicas()
	models, adapters := b.byPriority()
	b.addOverloadReplicas(models)
	for _, m := range models {
		if len(b.holders[m.Name]) > 0 || b.addReplica(m) || b.makeRoom(m) && b.addReplica(m) {
			continue
		}
		b.unplaced = append(b.unplaced, m.Name)
	}
	for _, m := range adapters {
		b.addAdapterReplicas(m)
		if len(b.holders[m.Name]) == 0 && b.awaited[m.Name] && b.makeRoom(m) {
			b.addAdapterReplicas(m)
		}
		if len(b.holders[m.Name]) == 0 {
			b.unplaced = append(b.unplaced, m.Name)
		}
	}
	for replicas := 2; replicas <= largestMinReplicas(models); replicas++ {
		for _, m := range models {
			if n := len(b.holders[m.Name]); n > 0 && n < replicas && replicas <= minReplicas(m) {
				b.addReplica(m)
			}
		}
	}
	b.followDemand(models)
	for _, m := range adapters {
		b.addAdapterReplicas(m)
	}
	return b.plan(prev)
}

func minReplicas(m table.Model) int { return max(m.LeastCopies, defaultMinReplicas) }

func largestMinReplicas(models []table.Model) int {
	n := defaultMinReplicas
	for _, m := range models {
		n = max(n, m.LeastCopies)
	}
	return n
}

// endpointPlan is the reported state of an endpoint with its part of the plan in progress.
type endpointPlan struct {
	Endpoint
	freeBytes int64
	// stagingBytes is the largest staging space that a planned model needs for its load.
	// It stays free beside all models, so that they can load in any order.
	stagingBytes int64
	models       map[string]bool
	confirmed    map[string]bool
	prevModels   []string
	prevVersion  uint64
	// prevLoadOrder is the LoadOrder of the previous plan.
	prevLoadOrder map[string]int
	// retired holds the resident models that the plan gives up because they have no demand.
	retired map[string]bool
}

type builder struct {
	table      table.Table
	endpoints  []*endpointPlan
	holders    map[string][]*endpointPlan
	adapters   map[string][]table.Model
	groupBytes map[string]int64
	unplaced   []string
	settings   Settings
	// demand is the demand for each model including its adapters, and ownDemand that for each
	// model or adapter alone; 1 keeps every slot of an engine busy.
	demand, ownDemand map[string]float64
	// awaited holds the models that requests wait for. idle maps each model without demand at
	// any of its replicas to the smallest Doublings that an agent reports.
	awaited map[string]bool
	idle    map[string]int
}

func newBuilder(t table.Table, endpoints []Endpoint, prev Plan) *builder {
	b := &builder{table: t, holders: map[string][]*endpointPlan{}, adapters: map[string][]table.Model{}, groupBytes: map[string]int64{}}
	for _, m := range t.Models {
		if m.Base != "" {
			b.adapters[m.Base] = append(b.adapters[m.Base], m)
		}
	}
	for _, e := range endpoints {
		ep := &endpointPlan{Endpoint: e, freeBytes: e.CapacityBytes, models: map[string]bool{}, confirmed: map[string]bool{}, retired: map[string]bool{}}
		if old, ok := prev.Endpoint(e.ID); ok {
			ep.prevModels, ep.prevVersion, ep.Role, ep.prevLoadOrder = old.Models, old.ModelsVersion, old.Role, old.LoadOrder
			for _, m := range old.Retire {
				// A report on an older Models list doesn't say whether the replica is still resident.
				ep.retired[m] = e.ModelsVersion != ep.prevVersion || slices.Contains(e.Extra, m)
			}
		}
		for _, m := range ep.prevModels {
			// A report on an older Models list doesn't cover the models added since.
			ep.confirmed[m] = e.ModelsVersion == ep.prevVersion && !slices.Contains(e.Missing, m)
		}
		for _, m := range e.Extra {
			ep.confirmed[m] = true
		}
		b.endpoints = append(b.endpoints, ep)
	}
	slices.SortFunc(b.endpoints, func(x, y *endpointPlan) int { return cmp.Compare(x.ID, y.ID) })
	return b
}

// keepReplicas keeps resident replicas before those that are only planned. Otherwise two
// planned replicas would never load if each needs the space of the only resident replica of
// the other's model.
func (b *builder) keepReplicas() {
	for _, ep := range b.endpoints {
		b.keepEndpointReplicas(ep, ep.prevModels, true)
	}
	for _, ep := range b.endpoints {
		b.keepEndpointReplicas(ep, slices.DeleteFunc(slices.Clone(ep.Extra), func(m string) bool { return b.evictable(ep, m) }), true)
	}
	for _, ep := range b.endpoints {
		b.keepEndpointReplicas(ep, ep.prevModels, false)
	}
}

// keepEndpointReplicas keeps those of the named replicas on an endpoint that are confirmed
// or, if confirmed is false, those that are not; base models come before adapters.
func (b *builder) keepEndpointReplicas(ep *endpointPlan, names []string, confirmed bool) {
	for _, adapter := range []bool{false, true} {
		for _, name := range names {
			m, ok := b.table.Model(name)
			if !ok || ep.Leaving || ep.models[name] || ep.confirmed[name] != confirmed || (m.Base != "") != adapter || m.Base != "" && !ep.models[m.Base] {
				continue
			}
			if fits(ep, m) || confirmed && ep.freeBytes >= m.MemoryBytes {
				b.place(ep, m)
			}
		}
	}
}

// byPriority returns the models and the adapters: those without a replica first, among them
// those that requests wait for, then by the weight of their groups, then by size.
func (b *builder) byPriority() (models, adapters []table.Model) {
	weight := map[string]float64{}
	for _, m := range b.table.Models {
		for _, g := range m.Groups {
			row, _ := b.table.Group(g)
			weight[m.Name] += row.Weight
		}
		if m.Base == "" {
			models = append(models, m)
		} else {
			adapters = append(adapters, m)
		}
	}
	order := func(x, y table.Model) int {
		return cmp.Or(
			cmp.Compare(min(len(b.holders[x.Name]), 1), min(len(b.holders[y.Name]), 1)),
			-cmp.Compare(b.awaitedRank(x), b.awaitedRank(y)),
			cmp.Compare(weight[y.Name], weight[x.Name]),
			cmp.Compare(y.MemoryBytes, x.MemoryBytes), cmp.Compare(x.Name, y.Name))
	}
	slices.SortFunc(models, order)
	slices.SortFunc(adapters, order)
	return models, adapters
}

func fits(ep *endpointPlan, m table.Model) bool {
	return ep.Service == "" && !ep.Leaving && !ep.models[m.Name] && ep.freeBytes >= m.MemoryBytes+max(ep.stagingBytes, memory.StagingBytes(m.MemoryBytes))
}

// withinGroupLimits reports whether one more replica fits in the memory limits of the
// model's groups.
func (b *builder) withinGroupLimits(m table.Model) bool {
	for _, name := range m.Groups {
		if g, ok := b.table.Group(name); ok && g.MaxMemoryBytes > 0 && b.groupBytes[name]+m.MemoryBytes > g.MaxMemoryBytes {
			return false
		}
	}
	return true
}

// addReplica places one more replica of a model on an endpoint that has room: in a failure
// domain without a replica where possible, then where the largest share of memory is free.
func (b *builder) addReplica(m table.Model) bool {
	if !b.withinGroupLimits(m) {
		return false
	}
	var best *endpointPlan
	var bestScore float64
	for _, ep := range b.endpoints {
		if !fits(ep, m) {
			continue
		}
		score := float64(ep.freeBytes) / float64(max(ep.CapacityBytes, 1))
		if !slices.ContainsFunc(b.holders[m.Name], func(h *endpointPlan) bool { return h.FailureDomain == ep.FailureDomain }) {
			score += 2
		}
		if best == nil || score > bestScore {
			best, bestScore = ep, score
		}
	}
	if best == nil {
		return false
	}
	b.place(best, m)
	return true
}

// addAdapterReplicas places an adapter on endpoints that hold its base and have room, up to
// the number that its own demand needs, and at least extraAdapterReplicas above its minimum.
// It places no more, because an adapter has to be loaded again whenever a replica of its base
// is moved to another endpoint.
func (b *builder) addAdapterReplicas(m table.Model) {
	limit := max(minReplicas(m)+extraAdapterReplicas, int(math.Ceil(b.ownDemand[m.Name]/targetReplicaLoad)))
	for _, ep := range b.holders[m.Base] {
		if len(b.holders[m.Name]) < limit && fits(ep, m) && b.withinGroupLimits(m) {
			b.place(ep, m)
		}
	}
}

func (b *builder) place(ep *endpointPlan, m table.Model) {
	ep.models[m.Name] = true
	ep.freeBytes -= m.MemoryBytes
	ep.stagingBytes = max(ep.stagingBytes, memory.StagingBytes(m.MemoryBytes))
	b.holders[m.Name] = append(b.holders[m.Name], ep)
	for _, g := range m.Groups {
		b.groupBytes[g] += m.MemoryBytes
	}
}

// plan returns the finished plan. An endpoint gets a new ModelsVersion only if its Models
// changed.
func (b *builder) plan(prev Plan) Plan {
	slices.Sort(b.unplaced)
	order := b.loadOrder()
	p := Plan{Version: prev.Version + 1, Unplaced: b.unplaced, UnplacedReasons: b.reasons(), LoadsPerSecond: b.settings.LoadsPerSecond}
	for _, ep := range b.endpoints {
		e := Endpoint{
			ID: ep.ID, Address: ep.Address, FailureDomain: ep.FailureDomain, Service: ep.Service,
			CapacityBytes: ep.CapacityBytes, Role: ep.Role, ModelsVersion: ep.prevVersion, Leaving: ep.Leaving, LoadOrder: order[ep],
		}
		for name := range ep.models {
			e.Models = append(e.Models, name)
		}
		slices.Sort(e.Models)
		if !slices.Equal(e.Models, ep.prevModels) {
			e.ModelsVersion = p.Version
		}
		for _, name := range ep.Extra {
			if !ep.models[name] && b.evictable(ep, name) && !ep.retired[name] {
				e.Evict = append(e.Evict, name)
			}
		}
		slices.Sort(e.Evict)
		for name, retired := range ep.retired {
			if retired && !ep.models[name] {
				e.Retire = append(e.Retire, name)
			}
		}
		slices.Sort(e.Retire)
		p.Endpoints = append(p.Endpoints, e)
	}
	return p
}
