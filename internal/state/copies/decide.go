package copies

import (
	"cmp"
	"slices"

	"chervilhead/internal/state/fleet"
)

// Host is an endpoint that can hold models.
type Host struct {
	ID string
	// Models are resident or on their way, without those that make way.
	Models []string
	// AdapterMB is the memory that adapters take.
	AdapterMB float64
	// Near are models whose weights the host keeps, so that no load from the weight store is needed.
	Near []string
	// Usable is unset while the host leaves, doesn't answer or carries out an order.
	Usable bool
	// Leaving hosts' copies don't count.
	Leaving bool
}

// Demand is the demand for a model.
type Demand struct {
	// Work is the endpoint time in seconds that a second's requests need.
	Work float64
	// Waiting counts requests that wait for a first copy.
	Waiting int
}

// Move is one step: drop models of a host, then load one.
type Move struct {
	Host string
	Drop []string
	Load string
	// Far is set when the weights come from the weight store.
	Far    bool
	Reason string
}

// The thresholds of the decision.
const (
	// crowded is the load of a copy above which another copy pays for its load.
	crowded = 0.5
	// relief is how much lower the load of the dropped model's other copies must be.
	relief = 0.5
	// busyHost is the load of a host beyond which it gets no further hot model.
	busyHost = 0.9
)

// Next returns the best next move, if there is one. far says whether a load from the
// weight store may begin now.
func Next(spec *fleet.Engine, hosts []Host, demand map[string]Demand, far bool) (Move, bool) {
	p := newPlan(spec, hosts, demand)
	if m, ok := p.reach(far); ok {
		return m, true
	}
	return p.relieve(far)
}

type plan struct {
	spec   *fleet.Engine
	hosts  []Host
	demand map[string]Demand
	copies map[string]int
	names  []string
}

func newPlan(spec *fleet.Engine, hosts []Host, demand map[string]Demand) *plan {
	p := &plan{spec: spec, hosts: hosts, demand: demand, copies: map[string]int{}}
	for _, h := range hosts {
		if h.Leaving {
			continue
		}
		for _, m := range h.Models {
			p.copies[m]++
		}
	}
	for n := range spec.Models {
		p.names = append(p.names, n)
	}
	slices.Sort(p.names)
	return p
}

// load returns the work of each copy of a model when it has extra more.
func (p *plan) load(model string, extra int) float64 {
	n := p.copies[model] + extra
	if n <= 0 {
		return p.demand[model].Work
	}
	return p.demand[model].Work / float64(n)
}

func (p *plan) hostLoad(h Host) float64 {
	sum := 0.0
	for _, m := range h.Models {
		sum += p.load(m, 0)
	}
	return sum
}

// reach gives a model without a copy one: first those that requests wait for.
func (p *plan) reach(far bool) (Move, bool) {
	var absent []string
	for _, n := range p.names {
		if p.copies[n] == 0 {
			absent = append(absent, n)
		}
	}
	slices.SortStableFunc(absent, func(a, b string) int {
		da, db := p.demand[a], p.demand[b]
		return cmp.Or(cmp.Compare(db.Waiting, da.Waiting), cmp.Compare(db.Work, da.Work))
	})
	for _, n := range absent {
		if m, ok := p.place(n, far, true); ok {
			m.Reason = "reach"
			return m, true
		}
	}
	return Move{}, false
}

// relieve gives the model with the busiest copies another one.
func (p *plan) relieve(far bool) (Move, bool) {
	names := slices.Clone(p.names)
	slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(p.load(b, 0), p.load(a, 0)) })
	for _, n := range names {
		if p.load(n, 0) < crowded {
			return Move{}, false
		}
		if m, ok := p.place(n, far, false); ok {
			m.Reason = "relieve"
			return m, true
		}
	}
	return Move{}, false
}

// place finds the host for a copy of a model.
func (p *plan) place(model string, far, first bool) (Move, bool) {
	spec := p.spec.Models[model]
	var best Move
	bestCost, found := 0.0, false
	for _, h := range p.hosts {
		if !h.Usable || h.Leaving || slices.Contains(h.Models, model) {
			continue
		}
		near := slices.Contains(h.Near, model)
		if !near && !far {
			continue
		}
		drop, lost, ok := p.makeRoom(h, spec, first, model)
		if !ok {
			continue
		}
		load := p.hostLoad(h)
		if !first && load > busyHost {
			continue
		}
		cost := load + 2*lost
		if !near {
			cost += farCost
		}
		if !found || cost < bestCost {
			best, bestCost, found = Move{Host: h.ID, Drop: drop, Load: model, Far: !near}, cost, true
		}
	}
	return best, found
}

// farCost makes a load from the weight store a choice after one from the host itself.
const farCost = 1.0

// makeRoom returns the models that make way on a host, those whose other copies bear it
// best, and the load that these take over.
func (p *plan) makeRoom(h Host, spec fleet.Model, first bool, wanted string) ([]string, float64, bool) {
	free := p.spec.WeightsMB - h.AdapterMB
	for _, m := range h.Models {
		free -= p.spec.Models[m].WeightsMB
	}
	if free >= spec.WeightsMB {
		return nil, 0, true
	}
	victims := slices.Clone(h.Models)
	slices.SortStableFunc(victims, func(a, b string) int { return cmp.Compare(p.load(a, -1), p.load(b, -1)) })
	var drop []string
	lost := 0.0
	for _, v := range victims {
		if p.copies[v] < 2 {
			continue
		}
		after := p.load(v, -1)
		if !first && after > relief*p.load(wanted, 0) {
			continue
		}
		drop = append(drop, v)
		lost += after
		free += p.spec.Models[v].WeightsMB
		if free >= spec.WeightsMB {
			return drop, lost, true
		}
	}
	return nil, 0, false
}
