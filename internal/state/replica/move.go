package replica

import (
	"cmp"
	"slices"

	"chervilhead/internal/state/fleet"
)

// Endpoint is an endpoint that can hold models.
type Endpoint struct {
	ID string
	// Models are the resident and loading models, without those being unloaded;
	// LoadingModels are the loading ones.
	Models, LoadingModels []string
	// ReservedMB is the memory that adapters take, or that unanswered orders may take.
	ReservedMB float64
	// LocalWeights are the models whose weights the host keeps, which load without the
	// weight store.
	LocalWeights []string
	// Usable is unset while the host drains, doesn't answer or executes an order.
	Usable bool
	// Leaving is set while the host drains; its replicas don't count.
	Leaving bool
}

// Demand is the demand for one model.
type Demand struct {
	// OfferedLoad is the endpoint time, in seconds, that the requests of a second need.
	OfferedLoad float64
	// Waiting counts the requests that wait for a first replica.
	Waiting int
	// Running counts the requests that run at endpoints.
	Running int
}

// WithSlotOccupancy returns the demand with each model's OfferedLoad raised to at least its
// running requests divided by the slots of an endpoint. This covers requests with short
// prompts and long answers, whose tokens cost little while they fill an endpoint, and
// endpoints that are slower than estimated.
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

// Move is one step of the planner on one endpoint: it unloads the models in Unload, if
// any, and then loads Load. Nothing is transferred between endpoints.
type Move struct {
	Endpoint string
	Unload   []string
	Load     string
	// FromStore is set when the weights come from the weight store.
	FromStore bool
	Reason    string
}

// The thresholds and weights of a decision, in units of cost: 1 is the cost of an endpoint
// that is busy all the time with one model.
const (
	// minLocalLoadGain is the least gain for which a move with weights from the host is made:
	// a load has a price, a fraction of that of the requests that it helps.
	minLocalLoadGain = 0.08
	// minStoreLoadGain is the least gain of a move with weights from the weight store.
	minStoreLoadGain = 0.2
	// absentCost is the cost of a model with neither replica nor demand. The first request for it
	// waits for a load, while a busy replica serves several requests in each second of that load.
	absentCost = 0.05
	// absentLoadWeight weighs the offered load of a model without a replica, because its
	// requests are rejected or wait.
	absentLoadWeight = 5
	// absentWaitWeight weighs the requests that wait for a model without a replica.
	absentWaitWeight = 0.5
	// unloadWaitShare is the share of a move's gain that is lost if its load begins only once the
	// requests on an unloaded model have ended, which takes as long as a load or longer. It
	// decides between moves, not whether to make one.
	unloadWaitShare = 0.3
	// colocationWeight weighs the load of an endpoint on which a model gets its first replica.
	colocationWeight = 0.5
)

// NextMove returns the best next move, or false if none is worth its cost. storeLoadAllowed
// tells whether a load from the weight store may begin now.
func NextMove(spec *fleet.EngineSpec, endpoints []Endpoint, demand map[string]Demand, storeLoadAllowed bool) (Move, bool) {
	p := newPlacement(spec, endpoints, demand)
	first, firstGain, firstOK := p.bestFirstReplica(storeLoadAllowed)
	extra, extraGain, extraOK := p.bestExtraReplica(storeLoadAllowed)
	switch {
	case extraOK && (!firstOK || extraGain > firstGain):
		return extra, true
	case firstOK:
		return first, true
	default:
		return Move{}, false
	}
}

// placement holds the input of one decision, with the replicas of each model counted.
type placement struct {
	spec      *fleet.EngineSpec
	endpoints []Endpoint
	demand    map[string]Demand
	replicas  map[string]int
	// serving counts the replicas that are loaded.
	serving map[string]int
	// holders are the indices of the endpoints with a replica of each model, loads the offered
	// load of each endpoint.
	holders    map[string][]int
	loads      []float64
	modelNames []string
	// rooms holds what each endpoint, by its index, can make room for.
	rooms []room
}

// room is the memory of an endpoint and what unloading its models costs. It is the same for
// every model that may be loaded there, so it is computed once a decision.
type room struct {
	freeMB float64
	// victims are the models that may be unloaded, the least costly first.
	victims []victim
}

// victim is a model that may be unloaded.
type victim struct {
	model           string
	weightsMB, loss float64
	// load is the offered load of its replica, running the number of requests that run there.
	load, running float64
}

func newPlacement(spec *fleet.EngineSpec, endpoints []Endpoint, demand map[string]Demand) *placement {
	p := &placement{spec: spec, endpoints: endpoints, demand: demand, replicas: map[string]int{}, serving: map[string]int{}, holders: map[string][]int{}, loads: make([]float64, len(endpoints))}
	for i, e := range endpoints {
		if e.Leaving {
			continue
		}
		for _, m := range e.Models {
			p.replicas[m]++
			p.holders[m] = append(p.holders[m], i)
			if !slices.Contains(e.LoadingModels, m) {
				p.serving[m]++
			}
		}
	}
	for n := range spec.Models {
		p.modelNames = append(p.modelNames, n)
	}
	slices.Sort(p.modelNames)
	for m, holders := range p.holders {
		for _, i := range holders {
			p.loads[i] += p.replicaLoad(m, 0)
		}
	}
	p.rooms = make([]room, len(endpoints))
	for i, e := range endpoints {
		if e.Usable && !e.Leaving {
			p.rooms[i] = p.newRoom(i, e)
		}
	}
	return p
}

// idle reports whether no model has any demand. Nothing then tells replicas that will be needed
// from others, and what the operators placed is a better guess than an even spread.
func (p *placement) idle() bool {
	for _, d := range p.demand {
		if d.OfferedLoad > 0 || d.Waiting > 0 || d.Running > 0 {
			return false
		}
	}
	return true
}

// newRoom returns the room of the i-th endpoint. The last replica of a model isn't a victim until
// another one is loaded: a load from the weight store takes seconds, in which requests would
// find none.
func (p *placement) newRoom(i int, e Endpoint) room {
	idle := p.idle()
	r := room{freeMB: p.spec.WeightsMB - e.ReservedMB}
	for _, m := range e.Models {
		weights, load := p.spec.Models[m].WeightsMB, p.replicaLoad(m, 0)
		r.freeMB -= weights
		if !idle && p.replicas[m] >= 2 && p.serving[m] >= 2 {
			r.victims = append(r.victims, victim{model: m, weightsMB: weights, loss: p.unloadLoss(m, i), load: load, running: float64(p.demand[m].Running) / float64(p.replicas[m])})
		}
	}
	slices.SortStableFunc(r.victims, func(a, b victim) int {
		return cmp.Compare(a.loss+unloadWaitShare*minStoreLoadGain*min(1, a.running), b.loss+unloadWaitShare*minStoreLoadGain*min(1, b.running))
	})
	return r
}

// fit returns the victims that make room for a model, and the loss of unloading them, or false
// if there is not enough memory.
func (r room) fit(weightsMB float64) ([]victim, float64, bool) {
	free, loss := r.freeMB, 0.0
	for i, v := range r.victims {
		if free >= weightsMB {
			return r.victims[:i], loss, true
		}
		free += v.weightsMB
		loss += v.loss
	}
	return r.victims, loss, free >= weightsMB
}

// unloadWait returns how certainly the load waits for requests on the models to unload, 0 to 1.
func unloadWait(unload []victim) float64 {
	most := 0.0
	for _, v := range unload {
		most = max(most, v.running)
	}
	return min(1, most)
}

func names(list []victim) []string {
	var out []string
	for _, v := range list {
		out = append(out, v.model)
	}
	return out
}

// replicaLoad returns the offered load of each replica of a model if it had extra replicas more.
func (p *placement) replicaLoad(model string, extra int) float64 {
	n := p.replicas[model] + extra
	if n <= 0 {
		return p.demand[model].OfferedLoad
	}
	return p.demand[model].OfferedLoad / float64(n)
}

// bestFirstReplica tries the models without a replica, that with the highest absence cost
// first. It returns the first move whose gain, the absence cost, exceeds the loss caused by
// its unloads, and the difference of the two. A replica of a busy model is not unloaded for
// a model with little demand.
func (p *placement) bestFirstReplica(storeLoadAllowed bool) (Move, float64, bool) {
	var absent []string
	for _, n := range p.modelNames {
		if p.replicas[n] == 0 {
			absent = append(absent, n)
		}
	}
	slices.SortStableFunc(absent, func(a, b string) int { return cmp.Compare(p.absenceCost(b), p.absenceCost(a)) })
	for _, n := range absent {
		if m, loss, ok := p.placeFirstReplica(n, storeLoadAllowed); ok && p.absenceCost(n) > loss {
			return m, p.absenceCost(n) - loss, true
		}
	}
	return Move{}, 0, false
}

// absenceCost returns the cost of leaving a model without a replica.
func (p *placement) absenceCost(model string) float64 {
	d := p.demand[model]
	return absentCost + absentLoadWeight*d.OfferedLoad + absentWaitWeight*float64(d.Waiting)
}

// bestExtraReplica returns the move that shortens the queues most, and its rank.
func (p *placement) bestExtraReplica(storeLoadAllowed bool) (Move, float64, bool) {
	var best Move
	bestNet, found := 0.0, false
	for _, n := range p.modelNames {
		load := p.demand[n].OfferedLoad
		if load <= 0 {
			continue
		}
		gain := p.spreadGain(n)
		if gain < minLocalLoadGain || found && gain <= bestNet {
			continue
		}
		for i := range p.endpoints {
			m, net, ok := p.extraReplicaOn(n, i, gain, storeLoadAllowed)
			if ok && (!found || net > bestNet) {
				best, bestNet, found = m, net, true
			}
		}
	}
	return best, bestNet, found
}

// extraReplicaOn returns the move that loads one more replica of a model on the i-th endpoint,
// and its rank, or false if its net gain does not exceed the threshold. The rank is the net gain
// beyond the threshold, less what is lost while the load waits for running requests.
func (p *placement) extraReplicaOn(model string, i int, gain float64, storeLoadAllowed bool) (Move, float64, bool) {
	e := &p.endpoints[i]
	if !e.Usable || e.Leaving || slices.Contains(e.Models, model) {
		return Move{}, 0, false
	}
	local := slices.Contains(e.LocalWeights, model)
	if !local && !storeLoadAllowed {
		return Move{}, 0, false
	}
	unload, loss, ok := p.rooms[i].fit(p.spec.Models[model].WeightsMB)
	if !ok {
		return Move{}, 0, false
	}
	minGain := minLocalLoadGain
	if !local {
		minGain = minStoreLoadGain
	}
	otherLoad := p.loads[i]
	for _, v := range unload {
		otherLoad -= v.load
	}
	added := p.replicaLoad(model, 1)
	net := gain - loss - added*(2*otherLoad+added)
	if net <= minGain {
		return Move{}, 0, false
	}
	return Move{Endpoint: e.ID, Unload: names(unload), Load: model, FromStore: !local, Reason: "relieve"}, net - minGain - unloadWaitShare*gain*unloadWait(unload), true
}

// The cost of a placement is the sum of the squares of the endpoints' loads: an endpoint's load,
// weighted by what is delayed by it. A model's load is taken to be spread evenly over its
// replicas. The load of the other models on an endpoint counts, because all share its batch.

// spreadGain returns how much one more replica of a model takes off the endpoints that hold it.
func (p *placement) spreadGain(model string) float64 {
	taken := p.replicaLoad(model, 0) - p.replicaLoad(model, 1)
	gain := 0.0
	for _, i := range p.holders[model] {
		gain += taken * (2*p.loads[i] - taken)
	}
	return gain
}

// unloadLoss returns how much more the endpoints cost if a model is unloaded from the i-th one.
// It is never negative: a replica that gateways avoid because its endpoint is busy costs nothing.
func (p *placement) unloadLoss(model string, i int) float64 {
	removed := p.replicaLoad(model, 0)
	added := p.replicaLoad(model, -1) - removed
	loss := -removed * (2*p.loads[i] - removed)
	for _, k := range p.holders[model] {
		if k != i {
			loss += added * (2*p.loads[k] + added)
		}
	}
	return max(0, loss)
}

// placeFirstReplica finds the endpoint for the first replica of a model, and returns the
// loss caused by the replicas that are unloaded there.
func (p *placement) placeFirstReplica(model string, storeLoadAllowed bool) (Move, float64, bool) {
	var best Move
	bestCost, bestLoss, found := 0.0, 0.0, false
	for i := range p.endpoints {
		e := &p.endpoints[i]
		if !e.Usable || e.Leaving {
			continue
		}
		local := slices.Contains(e.LocalWeights, model)
		if !local && !storeLoadAllowed {
			continue
		}
		unload, loss, ok := p.rooms[i].fit(p.spec.Models[model].WeightsMB)
		if !ok {
			continue
		}
		cost := loss + colocationWeight*p.loads[i]
		if !local {
			cost += minStoreLoadGain
		}
		if !found || cost < bestCost {
			best = Move{Endpoint: e.ID, Unload: names(unload), Load: model, FromStore: !local, Reason: "reach"}
			bestCost, bestLoss, found = cost, loss, true
		}
	}
	return best, bestLoss, found
}
