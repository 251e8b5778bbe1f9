package trial

import (
	"maps"
	"slices"
	"time"

	"chervilhead/internal/state/plan"
	"chervilhead/internal/state/route"
	"chervilhead/internal/state/sets"
)

// policy decides where requests run and which models are resident on which endpoint.
type policy interface {
	name() string
	// begin makes the initial models resident.
	begin(f *fleet)
	// choose returns the endpoint for a request, or nil when none can take it.
	choose(f *fleet, model string) *endpoint
	// tick runs every tickInterval.
	tick(f *fleet)
	// mayExit reports whether a leaving endpoint without work may stop.
	mayExit(f *fleet, e *endpoint) bool
	// membershipChanged is called when an endpoint failed, began to leave or was restored.
	membershipChanged()
}

const (
	// tickInterval is how often an agent compares its engine with the plan.
	tickInterval = 250 * time.Millisecond
	// planTicks is the number of ticks between plans.
	planTicks = 4
	// planPropagation is how long a plan takes to reach every node.
	planPropagation = time.Second
	sampleSize      = 2
	maxAttempts     = 4
)

// product is the policy of the product: the plan and route packages decide.
type product struct {
	// rates is the demand before the start, in requests per second.
	rates    []float64
	settings plan.Settings
	newest   plan.Plan
	holders  map[string][]*endpoint
	index    map[string]*route.Index
	ticks    int
	// waiting is when a request for a model without a replica last arrived.
	waiting map[string]time.Duration
}

func (*product) name() string       { return "chervilhead" }
func (*product) membershipChanged() {}
func (s *product) compute(f *fleet, es []plan.Endpoint) plan.Plan {
	return s.settings.Compute(f.table, es, s.newest)
}

// seedDemand sets the demand meters of the agents that hold each model to the demand before
// the start.
func (s *product) seedDemand(f *fleet) {
	for i, rate := range s.rates {
		m := f.table.Models[i].Name
		for _, e := range s.holders[m] {
			e.meters[m] = plan.SteadyDemandMeter(0, rate*serviceTime.Seconds()/slots/float64(len(s.holders[m])))
		}
	}
}

// begin computes plans, at most 10 and with instant loads, until the placement no longer changes.
func (s *product) begin(f *fleet) {
	for range 10 {
		next := s.compute(f, s.reports(f))
		if plan.SamePlacement(next, s.newest) {
			break
		}
		s.newest = next
		s.adopt(f, next)
		for _, e := range f.endpoints {
			e.place(f, e.placement.Models)
		}
		s.seedDemand(f)
	}
	f.result = Result{}
}

// place makes models resident without delay, in addition to those that already are.
func (e *endpoint) place(f *fleet, names []string) {
	for _, n := range names {
		if m, ok := f.table.Model(n); ok && !e.has(n) {
			e.ready[n] = 0
			e.used += m.MemoryBytes
		}
	}
}

func (e *endpoint) has(model string) bool {
	_, ok := e.ready[model]
	return ok
}

// idleTimes returns, for each resident model without requests, the time since it was last
// requested or loaded.
func (e *endpoint) idleTimes(now time.Duration) map[string]time.Duration {
	out := map[string]time.Duration{}
	for m := range e.ready {
		if e.busy[m] == 0 {
			out[m] = now - e.usedAt[m]
		}
	}
	return out
}

// reports returns the endpoints' rows as their agents write them. The first agent reports
// all models that requests wait for.
func (s *product) reports(f *fleet) []plan.Endpoint {
	maps.DeleteFunc(s.waiting, func(_ string, at time.Duration) bool { return f.now-at >= plan.MinResidency })
	out := make([]plan.Endpoint, 0, len(f.endpoints))
	for _, e := range f.endpoints {
		if !e.up {
			continue
		}
		r := plan.Endpoint{ID: e.id, FailureDomain: e.domain, CapacityBytes: capacityBytes, ModelsVersion: e.placement.ModelsVersion, Leaving: e.leaving}
		for _, m := range e.placement.Models {
			if !e.has(m) {
				r.Missing = append(r.Missing, m)
			}
		}
		for m := range e.ready {
			if _, ok := slices.BinarySearch(e.placement.Models, m); !ok {
				r.Extra = append(r.Extra, m)
			}
		}
		slices.Sort(r.Extra)
		var waiting []string
		if len(out) == 0 {
			waiting = slices.Sorted(maps.Keys(s.waiting))
		}
		since := f.now - e.demandAt
		urgent := plan.AwaitReportDue(e.waiting, waiting, since) || e.retireDeferred && since >= plan.AwaitReportInterval
		if d := plan.DemandForecasts(e.meters, f.now); f.now == 0 || urgent || plan.DemandReportDue(e.demand, d, since) {
			e.demand, e.demandAt, e.waiting, e.idle, e.retireDeferred = d, f.now, waiting, plan.IdleModels(e.idleTimes(f.now)), false
		}
		r.Demand, r.AwaitedModels, r.Idle = e.demand, e.waiting, e.idle
		out = append(out, r)
	}
	return out
}

// adopt makes agents and entries use a plan.
func (s *product) adopt(f *fleet, p plan.Plan) {
	s.holders = map[string][]*endpoint{}
	for _, e := range f.endpoints {
		list, ok := p.Endpoint(e.id)
		if !ok {
			e.placement = plan.Endpoint{}
			continue
		}
		for _, m := range e.placement.Models {
			if _, kept := slices.BinarySearch(list.Models, m); !kept && e.has(m) && !e.leaving {
				f.result.PlanRemovals++
			}
		}
		e.placement, e.loadTimes = list, list.LoadTimes(e.loadTimes, 0, f.now)
		for _, m := range list.Models {
			s.holders[m] = append(s.holders[m], e)
		}
	}
	s.index = make(map[string]*route.Index, len(s.holders))
	for m, es := range s.holders {
		var all []route.Candidate
		var ids []string
		for _, e := range es {
			all, ids = append(all, route.Candidate{Endpoint: e.id, FailureDomain: e.domain}), append(ids, e.id)
		}
		s.index[m] = route.NewIndex(all, ids)
	}
}

func (s *product) tick(f *fleet) {
	for _, e := range f.endpoints {
		if e.up {
			s.apply(f, e)
		}
	}
	if s.ticks++; s.ticks%planTicks != 0 {
		return
	}
	next := s.compute(f, s.reports(f))
	if plan.SamePlacement(next, s.newest) {
		return
	}
	s.newest = next
	f.after(planPropagation, func() {
		if s.newest.Version == next.Version {
			s.adopt(f, next)
		}
	})
}

// apply sends the orders of an agent for one tick: evict, retire, then load models and adapters.
func (*product) apply(f *fleet, e *endpoint) {
	for _, n := range e.placement.Evict {
		if m, _ := f.table.Model(n); e.has(n) && !e.leaving {
			f.unload(e, m)
		}
	}
	for _, n := range e.placement.Retire {
		if m, _ := f.table.Model(n); e.has(n) && !slices.Contains(e.placement.Models, n) {
			e.retireDeferred = f.now-e.usedAt[n] < plan.MinResidency || !f.unload(e, m)
		}
	}
	for _, adapter := range []bool{false, true} {
		for _, n := range e.placement.Models {
			m, _ := f.table.Model(n)
			if (m.Base != "") != adapter || e.has(n) || e.loading[n] || m.Base != "" && !e.has(m.Base) || f.now < e.loadTimes[n] || !e.fits(m) {
				continue
			}
			f.load(e, m)
		}
	}
}

func (s *product) mayExit(f *fleet, e *endpoint) bool {
	for m := range e.ready {
		if !slices.ContainsFunc(s.holders[m], func(h *endpoint) bool { return h != e && h.up && h.has(m) }) {
			return false
		}
	}
	return true
}

// choose samples the endpoints of a model as an entry does; one that is down or leaving
// costs an attempt.
func (s *product) choose(f *fleet, model string) *endpoint {
	index := s.index[model]
	if index == nil {
		if s.waiting == nil {
			s.waiting = map[string]time.Duration{}
		}
		s.waiting[model] = f.now
	}
	q := route.Query{Tried: sets.Of[string]()}
	for range maxAttempts {
		sample := index.Sample(f.rand, sampleSize, q)
		for i := range sample {
			f.report(&sample[i], model)
		}
		i := route.Choose(sample)
		if i < 0 {
			return nil
		}
		e := f.byID[sample[i].Endpoint]
		if e.up && !e.leaving {
			return e
		}
		q.Tried.Add(e.id)
	}
	return nil
}

// report fills a candidate from the agent's probe reply.
func (f *fleet) report(c *route.Candidate, model string) {
	e := f.byID[c.Endpoint]
	c.Leaving = e.leaving
	if !e.up {
		return
	}
	c.LoadKnown, c.Resident, c.Running, c.Slots, c.Wait = true, e.has(model), e.running, slots, e.wait()
}

// wait estimates the queueing time of a new request.
func (e *endpoint) wait() time.Duration {
	if e.running < slots && len(e.queue) == 0 {
		return 0
	}
	return serviceTime * time.Duration(len(e.queue)+1) / slots
}
