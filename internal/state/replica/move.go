package replica

import (
	"cmp"
	"slices"

	"chervilhead/internal/state/fleet"
)

// Endpoint is an endpoint that can hold models.
type Endpoint struct {
	ID string
	// Models are resident or on their way, without those that make way; Coming are those
	// on their way.
	Models, LoadingModels []string
	// ReservedMB is the memory that adapters take, or that orders without an answer may take.
	ReservedMB float64
	// LocalWeights are models whose weights the host keeps, so that no load from the weight store is needed.
	LocalWeights []string
	// Usable is unset while the host leaves, doesn't answer or carries out an order.
	Usable bool
	// Leaving hosts' copies don't count.
	Leaving bool
}

// Demand is the demand for a model.
type Demand struct {
	// OfferedLoad is the endpoint time in seconds that a second's requests need.
	OfferedLoad float64
	// Waiting counts requests that wait for a first copy.
	Waiting int
	// Running counts requests that endpoints have.
	Running int
}

// WithSlotOccupancy returns demand whose work is at least the part of the endpoints' places that
// requests hold. It answers for requests with short prompts and long answers, whose tokens
// cost little while they fill an endpoint, and for endpoints that are slower than thought.
func WithSlotOccupancy(demand map[string]Demand, slots int) map[string]Demand {
	if slots <= 0 {
		return demand
	}
	out := make(map[string]Demand, len(demand))
	for m, d := range demand {
		d.OfferedLoad = max(d.OfferedLoad, float64(d.Running)/float64(slots))
		out[m] = d
	}
	return out
}

// Move is one step: drop models of a host, then load one.
type Move struct {
	Endpoint string
	Unload   []string
	Load     string
	// FromStore is set when the weights come from the weight store.
	FromStore bool
	Reason    string
}

// The thresholds of the decision, in the unit of cost: one is an endpoint that is busy all
// the time with one model.
const (
	// nearGain and farGain are the least gain of a move from the host's own copy of the
	// weights and from the weight store; a load is priced like a fraction of the requests
	// that it helps.
	nearGain, farGain = 0.08, 0.2
	// missingCost is the cost of a model without a copy that nobody asks for; missingWork
	// and missingWait weigh what is asked for: such requests are refused or wait.
	missingCost, missingWork, missingWait = 0.3, 5, 0.5
	// hostWeight is the cost of sharing a host with other busy models.
	hostWeight = 0.5
)

// NextMove returns the best next move, if there is one. far says whether a load from the
// weight store may begin now.
func NextMove(spec *fleet.EngineSpec, hosts []Endpoint, demand map[string]Demand, far bool) (Move, bool) {
	p := newPlan(spec, hosts, demand)
	reach, worth, ok := p.reach(far)
	relieve, net, also := p.relieve(far)
	switch {
	case also && (!ok || net > worth):
		return relieve, true
	case ok:
		return reach, true
	default:
		return Move{}, false
	}
}

type plan struct {
	spec   *fleet.EngineSpec
	hosts  []Endpoint
	demand map[string]Demand
	copies map[string]int
	// ready counts the copies that serve now.
	ready map[string]int
	names []string
}

func newPlan(spec *fleet.EngineSpec, hosts []Endpoint, demand map[string]Demand) *plan {
	p := &plan{spec: spec, hosts: hosts, demand: demand, copies: map[string]int{}, ready: map[string]int{}}
	for _, h := range hosts {
		if h.Leaving {
			continue
		}
		for _, m := range h.Models {
			p.copies[m]++
			if !slices.Contains(h.LoadingModels, m) {
				p.ready[m]++
			}
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
		return p.demand[model].OfferedLoad
	}
	return p.demand[model].OfferedLoad / float64(n)
}

func (p *plan) hostLoad(h Endpoint) float64 {
	sum := 0.0
	for _, m := range h.Models {
		sum += p.load(m, 0)
	}
	return sum
}

// reach gives a model without a copy one, first those that requests wait for, and returns
// what that is worth beyond what makes way. A copy of a busy model doesn't make way for a
// model that few ask for.
func (p *plan) reach(far bool) (Move, float64, bool) {
	var absent []string
	for _, n := range p.names {
		if p.copies[n] == 0 {
			absent = append(absent, n)
		}
	}
	slices.SortStableFunc(absent, func(a, b string) int { return cmp.Compare(p.missing(b), p.missing(a)) })
	for _, n := range absent {
		if m, loss, ok := p.place(n, far); ok && p.missing(n) > loss {
			return m, p.missing(n) - loss, true
		}
	}
	return Move{}, 0, false
}

// missing returns the cost of a model without a copy.
func (p *plan) missing(model string) float64 {
	d := p.demand[model]
	return missingCost + missingWork*d.OfferedLoad + missingWait*float64(d.Waiting)
}

// relieve makes the move that shortens the queues most, and returns its net gain. The cost of a model is the square
// of its work over its copies: the load of a copy, weighted by the work that meets it.
func (p *plan) relieve(far bool) (Move, float64, bool) {
	var best Move
	most, found := 0.0, false
	for _, n := range p.names {
		work := p.demand[n].OfferedLoad
		if work <= 0 {
			continue
		}
		gain := p.cost(n, 0) - p.cost(n, 1)
		if gain < nearGain || found && gain <= most {
			continue
		}
		for _, h := range p.hosts {
			m, net, ok := p.relieveOn(n, h, gain, far)
			if ok && (!found || net > most) {
				best, most, found = m, net, true
			}
		}
	}
	return best, most, found
}

// relieveOn returns the net gain of a copy of a model on a host.
func (p *plan) relieveOn(n string, h Endpoint, gain float64, far bool) (Move, float64, bool) {
	if !h.Usable || h.Leaving || slices.Contains(h.Models, n) {
		return Move{}, 0, false
	}
	near := slices.Contains(h.LocalWeights, n)
	if !near && !far {
		return Move{}, 0, false
	}
	drop, loss, ok := p.makeRoom(h, p.spec.Models[n])
	if !ok {
		return Move{}, 0, false
	}
	least := nearGain
	if !near {
		least = farGain
	}
	beside := p.hostLoad(h)
	for _, d := range drop {
		beside -= p.load(d, 0)
	}
	net := gain - loss - hostWeight*beside*p.load(n, 1)
	return Move{Endpoint: h.ID, Unload: drop, Load: n, FromStore: !near, Reason: "relieve"}, net - least, net > least
}

// cost returns the cost of a model's queues when it has extra more copies.
func (p *plan) cost(model string, extra int) float64 {
	return p.demand[model].OfferedLoad * p.load(model, extra)
}

// place finds the host for the first copy of a model, and returns what is lost with the
// copies that make way there.
func (p *plan) place(model string, far bool) (Move, float64, bool) {
	var best Move
	least, lost, found := 0.0, 0.0, false
	for _, h := range p.hosts {
		if !h.Usable || h.Leaving {
			continue
		}
		near := slices.Contains(h.LocalWeights, model)
		if !near && !far {
			continue
		}
		drop, loss, ok := p.makeRoom(h, p.spec.Models[model])
		if !ok {
			continue
		}
		cost := loss + hostWeight*p.hostLoad(h)
		if !near {
			cost += farGain
		}
		if !found || cost < least {
			best = Move{Endpoint: h.ID, Unload: drop, Load: model, FromStore: !near, Reason: "reach"}
			least, lost, found = cost, loss, true
		}
	}
	return best, lost, found
}

// makeRoom returns the models that make way on a host, those that are missed least, and
// what that costs. The last copy of a model stays until another one is ready: a load from
// the weight store takes seconds, and requests would find none meanwhile.
func (p *plan) makeRoom(h Endpoint, spec fleet.Model) ([]string, float64, bool) {
	free := p.spec.WeightsMB - h.ReservedMB
	for _, m := range h.Models {
		free -= p.spec.Models[m].WeightsMB
	}
	if free >= spec.WeightsMB {
		return nil, 0, true
	}
	victims := slices.DeleteFunc(slices.Clone(h.Models), func(v string) bool { return p.copies[v] < 2 || p.ready[v] < 2 })
	slices.SortStableFunc(victims, func(a, b string) int {
		return cmp.Compare(p.cost(a, -1)-p.cost(a, 0), p.cost(b, -1)-p.cost(b, 0))
	})
	var drop []string
	loss := 0.0
	for _, v := range victims {
		drop = append(drop, v)
		loss += p.cost(v, -1) - p.cost(v, 0)
		if free += p.spec.Models[v].WeightsMB; free >= spec.WeightsMB {
			return drop, loss, true
		}
	}
	return nil, 0, false
}
