package trial

import (
	"cmp"
	"math"
	"slices"

	"chervilhead/internal/state/plan"
	"chervilhead/internal/state/table"
)

// roundRobin sends requests in turn to the endpoints that hold a model. If none of them
// has a free slot, it loads the model on the next endpoint and evicts the least recently
// used models there to make room.
type roundRobin struct {
	next map[string]int
	turn int
}

func (*roundRobin) name() string                   { return "round robin, load on demand" }
func (*roundRobin) membershipChanged()             {}
func (*roundRobin) mayExit(*fleet, *endpoint) bool { return true }

// begin places replicas as far as they fit, so that no policy starts cold.
func (r *roundRobin) begin(f *fleet) {
	r.next = map[string]int{}
	p := plan.Compute(f.table, (&product{}).reports(f), plan.Plan{})
	for _, e := range f.endpoints {
		list, _ := p.Endpoint(e.id)
		e.place(f, list.Models)
	}
}

func (r *roundRobin) choose(f *fleet, model string) *endpoint {
	var holders []*endpoint
	free := false
	for _, e := range f.endpoints {
		if e.up && !e.leaving && (e.has(model) || e.loading[model]) {
			holders = append(holders, e)
			free = free || e.running+len(e.queue)+len(e.awaitingLoad[model]) < slots
		}
	}
	if !free {
		if e := r.loadOnDemand(f, model); e != nil {
			return e
		}
	}
	if len(holders) == 0 {
		return nil
	}
	r.next[model]++
	return holders[r.next[model]%len(holders)]
}

// loadOnDemand loads a model on the next endpoint that can make room for it.
func (r *roundRobin) loadOnDemand(f *fleet, name string) *endpoint {
	m, _ := f.table.Model(name)
	base, _ := f.table.Model(m.Base)
	for range f.endpoints {
		r.turn++
		e := f.endpoints[r.turn%len(f.endpoints)]
		if !e.up || e.leaving || e.has(name) || e.loading[name] || e.loading[m.Base] || e.running+len(e.queue) >= slots {
			continue
		}
		if m.Base != "" && !e.has(m.Base) {
			if !r.makeRoom(f, e, base, "") {
				continue
			}
			f.load(e, base)
		}
		if !r.makeRoom(f, e, m, m.Base) {
			continue
		}
		f.load(e, m)
		return e
	}
	return nil
}

// makeRoom evicts the least recently used models other than keep until m fits, and
// reports whether it does.
func (r *roundRobin) makeRoom(f *fleet, e *endpoint, m table.Model, keep string) bool {
	for !e.fits(m) {
		var names []string
		for n := range e.ready {
			if c, _ := f.table.Model(n); c.Base == "" && n != keep {
				names = append(names, n)
			}
		}
		slices.SortFunc(names, func(a, b string) int {
			return cmp.Or(cmp.Compare(e.ready[a], e.ready[b]), cmp.Compare(a, b))
		})
		if !slices.ContainsFunc(names, func(n string) bool { c, _ := f.table.Model(n); return f.unload(e, c) }) {
			return false
		}
	}
	return true
}

func (*roundRobin) tick(*fleet) {}

// staticPlacement places replicas once, by the demand at the start, and routes to the
// least loaded endpoint.
type staticPlacement struct {
	rates      []float64
	placements map[string][]string
}

func (*staticPlacement) name() string                   { return "static, least loaded" }
func (*staticPlacement) membershipChanged()             {}
func (*staticPlacement) mayExit(*fleet, *endpoint) bool { return true }

// staticUtilization is the utilization per replica for which an operator sizes a static placement.
const staticUtilization = 0.6

func (s *staticPlacement) begin(f *fleet) {
	s.placements = map[string][]string{}
	need := map[string]float64{}
	for i, m := range f.table.Models {
		need[baseOrName(m.Base, m.Name)] += s.rates[i]
	}
	t := f.table
	models := slices.Clone(t.Models)
	for i, m := range models {
		models[i].LeastCopies = max(2, int(math.Ceil(need[m.Name]*serviceTime.Seconds()/(staticUtilization*slots))))
	}
	t = table.New(1, t.Groups, models, nil, nil)
	p := plan.Compute(t, (&product{}).reports(f), plan.Plan{})
	for _, e := range f.endpoints {
		list, _ := p.Endpoint(e.id)
		e.place(f, list.Models)
		s.placements[e.id] = list.Models
	}
}

func baseOrName(base, name string) string {
	if base != "" {
		return base
	}
	return name
}

// tick reloads the models of an endpoint that was restored.
func (s *staticPlacement) tick(f *fleet) {
	agent := &product{}
	for _, e := range f.endpoints {
		if e.up && !e.leaving && len(e.ready)+len(e.loading) < len(s.placements[e.id]) {
			e.placement.Models = s.placements[e.id]
			agent.apply(f, e)
		}
	}
}

func (s *staticPlacement) choose(f *fleet, model string) *endpoint {
	var best *endpoint
	for _, e := range f.endpoints {
		if e.up && !e.leaving && e.has(model) && (best == nil || e.running+len(e.queue) < best.running+len(best.queue)) {
			best = e
		}
	}
	return best
}
