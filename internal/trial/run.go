package trial

import (
	"container/heap"
	"time"

	"chervilhead/internal/state/plan"
)

// Result is the outcome of a policy under a workload.
type Result struct {
	Policy string
	// Offered, Finished and MetObjective count requests: all, those that completed, and
	// those of them that met the latency objective.
	Offered, Finished, MetObjective int
	// Loads and Evictions count those of models and adapters, PlanRemovals the resident ones that a
	// new plan removed from an endpoint.
	Loads, Evictions, PlanRemovals int
	hours                          float64
	accelerators                   float64
}

// acceleratorsPerEngine follows from 2,400 accelerators in 600 engines at the target size.
const acceleratorsPerEngine = 4

// GoodputPerAccelerator returns the requests that met the latency objective, per accelerator and hour.
func (r Result) GoodputPerAccelerator() float64 {
	return float64(r.MetObjective) / r.accelerators / r.hours
}

// MovesPerHour returns the sum of loads, evictions and plan removals per hour.
func (r Result) MovesPerHour() float64 { return float64(r.Loads+r.Evictions+r.PlanRemovals) / r.hours }

const (
	domainLossStart = 5 * time.Minute
	domainLossEnd   = 10 * time.Minute
	// A rolling replacement drains one host every replacementInterval from replacementStart on;
	// a new host appears hostReplacementTime after the old one stopped.
	replacementStart    = time.Minute
	replacementInterval = time.Minute
	hostReplacementTime = 20 * time.Second
)

// ComparePolicies returns the results of the bound, the baselines and the product under a
// workload, in this order.
func ComparePolicies(s FleetSpec, l Workload) []Result {
	t := s.table(2)
	arrivals := l.arrivals(s, t)
	out := []Result{bound(s, l, arrivals)}
	rates := l.rates(s, t)(0)
	for _, p := range []policy{&roundRobin{}, &staticPlacement{rates: rates}, &product{rates: rates, settings: plan.DefaultSettings()}} {
		out = append(out, simulate(s, l, arrivals, p))
	}
	return out
}

// RunProduct simulates the product alone under planner settings.
func RunProduct(s FleetSpec, l Workload, set plan.Settings) Result {
	t := s.table(2)
	return simulate(s, l, l.arrivals(s, t), &product{rates: l.rates(s, t)(0), settings: set})
}

func simulate(s FleetSpec, l Workload, arrivals []arrival, p policy) Result {
	f := newFleet(s, s.table(2), p)
	p.begin(f)
	f.scheduleFaults(l)
	f.scheduleTicks()
	return f.run(arrivals)
}

// run serves the arrivals and returns the result.
func (f *fleet) run(arrivals []arrival) Result {
	i := 0
	for i < len(arrivals) || len(f.events) > 0 {
		if len(f.events) == 0 || i < len(arrivals) && arrivals[i].at <= f.events[0].at {
			f.now = arrivals[i].at
			f.dispatch(request{at: f.now, model: f.table.Models[arrivals[i].model].Name})
			i++
			continue
		}
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.do()
	}
	return f.result.withFleet(f.policy.name(), f.spec, len(arrivals))
}

func (r Result) withFleet(policy string, s FleetSpec, offered int) Result {
	r.Policy, r.Offered = policy, offered
	r.hours, r.accelerators = s.Horizon.Hours(), float64(s.Engines*acceleratorsPerEngine)
	return r
}

// dispatch sends a request to the endpoint that the policy chooses.
func (f *fleet) dispatch(r request) {
	if e := f.policy.choose(f, r.model); e != nil {
		f.accept(e, r)
		return
	}
	// The entry retries until the caller's deadline.
	if f.now+retryInterval-r.at <= callerDeadline {
		f.after(retryInterval, func() { f.dispatch(r) })
	}
}

const retryInterval = 250 * time.Millisecond

// scheduleTicks runs the policy's tick and schedules the next one, until the horizon.
func (f *fleet) scheduleTicks() {
	f.policy.tick(f)
	if f.now < f.spec.Horizon {
		f.after(tickInterval, f.scheduleTicks)
	}
}

// scheduleFaults schedules the faults of a workload.
func (f *fleet) scheduleFaults(l Workload) {
	for i, e := range f.endpoints {
		if l.losesDomain && i%f.spec.FailureDomains < max(l.lostDomains, 1) {
			f.after(domainLossStart, func() { f.fail(e) })
			f.after(domainLossEnd, func() { f.restore(e) })
		}
		if at := replacementStart + time.Duration(i)*replacementInterval; l.replacesHosts && at < f.spec.Horizon {
			f.after(at, func() { f.leave(e) })
		}
	}
}

// leave drains an endpoint, then replaces it.
func (f *fleet) leave(e *endpoint) {
	if !e.leaving {
		e.leaving = true
		f.policy.membershipChanged()
	}
	idle := e.running == 0 && len(e.queue) == 0 && len(e.awaitingLoad) == 0
	if !idle || !f.policy.mayExit(f, e) {
		if f.now < f.spec.Horizon {
			f.after(tickInterval, func() { f.leave(e) })
		}
		return
	}
	f.fail(e)
	f.after(hostReplacementTime, func() { f.restore(e) })
}
