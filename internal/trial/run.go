package trial

import (
	"container/heap"
	"time"

	"chervilhead/internal/state/plan"
)

// Result is what a policy achieved under a load.
type Result struct {
	Policy string
	// Offered, Finished and Kept count requests: all, those that ended whole, and
	// those of them that kept the promise.
	Offered, Finished, MetObjective int
	// Loads, Evictions and Shifts count moves of models and adapters.
	Loads, Evictions, PlanRemovals int
	hours                          float64
	accelerators                   float64
}

// acceleratorsPerEngine is the target's 2,400 accelerators over 600 engines.
const acceleratorsPerEngine = 4

// GoodputPerAccelerator returns the requests kept per accelerator and hour.
func (r Result) GoodputPerAccelerator() float64 {
	return float64(r.MetObjective) / r.accelerators / r.hours
}

// MovesPerHour returns loads, evictions and shifts per hour.
func (r Result) MovesPerHour() float64 { return float64(r.Loads+r.Evictions+r.PlanRemovals) / r.hours }

const (
	lostFrom  = 5 * time.Minute
	lostUntil = 10 * time.Minute
	// replaceAfter and replaceEvery pace a rolling replacement; hostReplaced is how
	// long a new host takes to appear.
	replaceAfter = time.Minute
	replaceEvery = time.Minute
	hostReplaced = 20 * time.Second
)

// ComparePolicies measures the product, the baselines and the bound under a load.
func ComparePolicies(s FleetSpec, l Workload) []Result {
	t := s.table(2)
	arrivals := l.arrivals(s, t)
	out := []Result{bound(s, l, arrivals)}
	rates := l.rates(s, t)(0)
	for _, p := range []policy{&robin{}, &static{rates: rates}, &system{rates: rates, set: plan.DefaultSettings()}} {
		out = append(out, simulate(s, l, arrivals, p))
	}
	return out
}

// RunProduct measures the product alone under planner settings.
func RunProduct(s FleetSpec, l Workload, set plan.Settings) Result {
	t := s.table(2)
	return simulate(s, l, l.arrivals(s, t), &system{rates: l.rates(s, t)(0), set: set})
}

func simulate(s FleetSpec, l Workload, arrivals []arrival, p policy) Result {
	f := newFleet(s, s.table(2), p)
	p.begin(f)
	f.faults(l)
	f.repeat()
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
	return f.result.of(f.policy.name(), f.size, len(arrivals))
}

func (r Result) of(policy string, s FleetSpec, offered int) Result {
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
	// The entry tries again while the caller waits.
	if f.now+retryAfter-r.at <= callerDeadline {
		f.after(retryAfter, func() { f.dispatch(r) })
	}
}

const retryAfter = 250 * time.Millisecond

// repeat runs the policy's ticks until the arrivals end.
func (f *fleet) repeat() {
	f.policy.tick(f)
	if f.now < f.size.Horizon {
		f.after(tickInterval, f.repeat)
	}
}

// faults schedules the faults of a load.
func (f *fleet) faults(l Workload) {
	for i, e := range f.endpoints {
		if l.lost && i%f.size.FailureDomains < max(l.domains, 1) {
			f.after(lostFrom, func() { f.fail(e) })
			f.after(lostUntil, func() { f.back(e) })
		}
		if at := replaceAfter + time.Duration(i)*replaceEvery; l.replaced && at < f.size.Horizon {
			f.after(at, func() { f.leave(e) })
		}
	}
}

// leave lets an endpoint finish its work, then replaces it.
func (f *fleet) leave(e *endpoint) {
	if !e.leaving {
		e.leaving = true
		f.policy.changed()
	}
	idle := e.running == 0 && len(e.queue) == 0 && len(e.held) == 0
	if !idle || !f.policy.mayExit(f, e) {
		if f.now < f.size.Horizon {
			f.after(tickInterval, func() { f.leave(e) })
		}
		return
	}
	f.fail(e)
	f.after(hostReplaced, func() { f.back(e) })
}
