package keeper

import (
	"slices"
	"time"

	"chervilhead/internal/protocol/dgram"
	"chervilhead/internal/state/fleet"
)

// situation is all that the next order depends on.
type situation struct {
	report Report
	spec   *fleet.EngineSpec
	// wants are adapters that requests wait for, the oldest first.
	wants []fleet.ModelName
	// used is when a gateway last used an adapter.
	used map[fleet.ModelName]time.Time
	// move is the planner's newest order, or nil when it is done.
	move *dgram.Move
	// taken are orders that the engine accepted and hasn't ended yet.
	taken []taken
	// restore are models that the engine held before it started anew, the first first;
	// born is when the keeper saw that start.
	restore []string
	born    time.Time
	// planned is set once a planner has given an order since that start.
	planned bool
	// doubts are loads without an answer that may still be carried out.
	doubts []doubt
	// endpoint is the id that the engine has said, or empty.
	endpoint string
	now      time.Time
}

// taken is an accepted order. An engine lists a model or adapter until the last run on it
// has ended, and isn't busy meanwhile.
type taken struct {
	name   fleet.ModelName
	unload bool
	at     time.Time
}

// takenFor bounds the wait for an accepted order; the longest streams take 15 s.
const takenFor = 16 * time.Second

// ended reports whether an accepted order has had its effect or is given up.
func (t taken) ended(r Report, now time.Time) bool {
	model, whole := fleet.Holds(r.Models, t.name)
	held := model && whole
	return held != t.unload || now.Sub(t.at) > takenFor
}

// waits reports whether an accepted order about a model hasn't ended.
func (s situation) waits() bool {
	for _, t := range s.taken {
		if t.name.Adapter == "" && !t.ended(s.report, s.now) {
			return true
		}
	}
	return false
}

// loading reports whether an accepted load of a model hasn't ended.
func (s situation) loading() bool {
	return slices.ContainsFunc(s.taken, func(t taken) bool {
		return !t.unload && t.name.Adapter == "" && !t.ended(s.report, s.now)
	})
}

// unloading reports whether the engine has accepted to unload a name.
func (s situation) unloading(n fleet.ModelName) bool {
	for _, t := range s.taken {
		if t.name == n && t.unload && !t.ended(s.report, s.now) {
			return true
		}
	}
	return false
}

// doubt is an order without an answer.
type doubt struct {
	name     fleet.ModelName
	sequence int64
	at       time.Time
	// endpoint is the id that the order named; only an engine of that id carries it out.
	endpoint string
}

// doubtFor is how long an order without an answer may still be carried out; the platform
// names some seconds, 12 at most.
const doubtFor = 15 * time.Second

// step is what to do next.
type step interface{ step() }

type (
	// idle means that there is nothing to order.
	idle struct{}
	// order means that an order is to be given.
	order struct {
		name   fleet.ModelName
		unload bool
	}
	// moved means that the planner's order needs nothing more.
	moved struct{ why string }
	// unfit means that an adapter can't be loaded now.
	unfit struct {
		name fleet.ModelName
		why  string
	}
)

func (idle) step()  {}
func (order) step() {}
func (moved) step() {}
func (unfit) step() {}

// next returns the next step. Adapters go first, because requests wait for them and
// they take milliseconds.
func next(s situation) step {
	if s.spec == nil || s.report.Leaving || !s.report.Alive {
		return idle{}
	}
	for _, want := range s.wants {
		if st, ok := nextAdapter(s, want); ok {
			return st
		}
	}
	if s.report.ExecutingOrder || s.waits() {
		return idle{}
	}
	if s.move != nil {
		return nextMove(s)
	}
	return nextRestore(s)
}

// plannerFirst is the time in which a planner that lives gives an order to an engine that
// started; it knows the demand.
const plannerFirst = 1200 * time.Millisecond

// nextRestore loads what the engine held before, as far as the host still has its
// weights, while no planner gives orders. A planner that does knows what is asked for; an
// engine rejects orders for adapters while it loads a model that isn't.
func nextRestore(s situation) step {
	if s.planned || s.now.Sub(s.born) < plannerFirst {
		return idle{}
	}
	for _, m := range s.restore {
		name := fleet.ModelName{Model: m}
		if held, _ := fleet.Holds(s.report.Models, name); held {
			continue
		}
		spec, known := s.spec.Models[m]
		near := slices.Contains(s.report.InMemory, m) || slices.Contains(s.report.OnDisk, m)
		if known && near && s.memory()+spec.WeightsMB <= s.spec.WeightsMB {
			return order{name: name}
		}
	}
	return idle{}
}

func nextAdapter(s situation, want fleet.ModelName) (step, bool) {
	model, whole := fleet.Holds(s.report.Models, want)
	if whole || slices.Contains(s.report.LoadingAdapters, want) {
		return nil, false
	}
	spec, known := s.spec.Models[want.Model]
	if !model || !known {
		return unfit{want, "model_not_resident"}, true
	}
	if s.move != nil && slices.Contains(s.move.Unload, want.Model) {
		return unfit{want, "model_leaves"}, true
	}
	if s.report.ExecutingOrder || s.loading() {
		// The engine rejects every order until the one under way has ended.
		return unfit{want, "engine_busy"}, true
	}
	held := adapters(s.report)
	if len(held)+s.doubtful(true) < s.spec.AdapterSlots && s.memory()+spec.AdapterMB <= s.spec.WeightsMB {
		return order{name: want}, true
	}
	idle := slices.DeleteFunc(held, func(n fleet.ModelName) bool {
		return slices.Contains(s.report.LoadingAdapters, n) || slices.Contains(s.wants, n) || s.unloading(n) || s.now.Sub(s.used[n]) < inUse
	})
	if len(idle) == 0 {
		return unfit{want, "adapters_in_use"}, true
	}
	// The one that was used least recently makes way.
	return order{name: slices.MinFunc(idle, func(a, b fleet.ModelName) int { return s.used[a].Compare(s.used[b]) }), unload: true}, true
}

// inUse is how long an adapter counts as in use after a gateway said so; gateways say so
// several times in that time.
const inUse = 1500 * time.Millisecond

func nextMove(s situation) step {
	for _, m := range s.move.Unload {
		if held, _ := fleet.Holds(s.report.Models, fleet.ModelName{Model: m}); held {
			return order{name: fleet.ModelName{Model: m}, unload: true}
		}
	}
	if s.move.Load == "" {
		return moved{"dropped"}
	}
	name := fleet.ModelName{Model: s.move.Load}
	if held, _ := fleet.Holds(s.report.Models, name); held {
		return moved{"resident"}
	}
	spec, known := s.spec.Models[s.move.Load]
	if !known {
		return moved{"model_unknown"}
	}
	if s.memory()+spec.WeightsMB > s.spec.WeightsMB {
		return moved{"no_room"}
	}
	return order{name: name}
}

// memory returns the megabytes that are taken or may come to be taken.
func (s situation) memory() float64 {
	mb := 0.0
	for _, r := range s.report.Models {
		m := s.spec.Models[r.Model]
		mb += m.WeightsMB + float64(len(r.Adapters))*m.AdapterMB
	}
	for _, p := range s.report.LoadingAdapters {
		mb += s.spec.Models[p.Model].AdapterMB
	}
	for _, d := range s.doubts {
		if !s.open(d) {
			continue
		}
		if m := s.spec.Models[d.name.Model]; d.name.Adapter == "" {
			mb += m.WeightsMB
		} else {
			mb += m.AdapterMB
		}
	}
	return mb
}

// reserved returns the megabytes beside the weights of resident models that are taken or
// may come to be taken.
func (s situation) reserved() float64 {
	if s.spec == nil {
		return 0
	}
	mb := s.memory()
	for _, r := range s.report.Models {
		mb -= s.spec.Models[r.Model].WeightsMB
	}
	return mb
}

// open reports whether an order without an answer can still be carried out: it waits for
// the engine to have accepted a number of orders that it hasn't passed yet. An order
// that has that number from before a restart under the same id counts too. One that is
// about to be given has the current number, and of two such orders the engine takes only one.
func (s situation) open(d doubt) bool {
	if d.endpoint != "" && s.endpoint != "" && d.endpoint != s.endpoint {
		return false
	}
	return s.now.Sub(d.at) < doubtFor && d.sequence > s.report.Sequence
}

func (s situation) doubtful(adapter bool) int {
	n := 0
	for _, d := range s.doubts {
		if s.open(d) && (d.name.Adapter != "") == adapter {
			n++
		}
	}
	return n
}

// adapters returns the adapters that are resident or on their way.
func adapters(r Report) []fleet.ModelName {
	out := slices.Clone(r.LoadingAdapters)
	for _, m := range r.Models {
		for _, a := range m.Adapters {
			if n := (fleet.ModelName{Model: m.Model, Adapter: a}); !slices.Contains(out, n) {
				out = append(out, n)
			}
		}
	}
	return out
}
