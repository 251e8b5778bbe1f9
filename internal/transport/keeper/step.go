package keeper

import (
	"slices"
	"time"

	"chervilhead/internal/protocol/dgram"
	"chervilhead/internal/state/fleet"
)

// snapshot is the input of nextStep.
type snapshot struct {
	report Report
	spec   *fleet.EngineSpec
	// wantedAdapters are those that requests wait for, the longest wanted first.
	wantedAdapters []fleet.ModelName
	// lastUsed is when a gateway last reported the use of an adapter.
	lastUsed map[fleet.ModelName]time.Time
	// move is the planner's newest move, or nil when it has ended.
	move *dgram.Move
	// acceptedOrders are those that the engine accepted and has not completed yet.
	acceptedOrders []acceptedOrder
	// restoreModels are the models that the engine held before its last start, in order of
	// preference; engineStartedAt is when the keeper saw that start.
	restoreModels   []string
	engineStartedAt time.Time
	// movedSinceStart is set once a planner has sent a move since that start.
	movedSinceStart bool
	// unanswered are load orders without a reply that may still be carried out.
	unanswered []unansweredOrder
	// endpoint is the id that the engine reported, or empty.
	endpoint string
	now      time.Time
}

// acceptedOrder is an order that the engine accepted. After an unload order the engine lists
// the model or adapter until the last request on it has ended, and isn't busy meanwhile.
type acceptedOrder struct {
	name       fleet.ModelName
	unload     bool
	acceptedAt time.Time
}

// acceptedOrderTimeout bounds the wait for an accepted order; the longest streams, which an
// unload waits for, take 15 s.
const acceptedOrderTimeout = 16 * time.Second

// ended reports whether an accepted order has taken effect or has timed out.
func (o acceptedOrder) ended(r Report, now time.Time) bool {
	modelHeld, allHeld := fleet.Holds(r.Models, o.name)
	held := modelHeld && allHeld
	return held != o.unload || now.Sub(o.acceptedAt) > acceptedOrderTimeout
}

// modelOrderPending reports whether an accepted order to load or unload a model hasn't ended.
func (s snapshot) modelOrderPending() bool {
	for _, o := range s.acceptedOrders {
		if o.name.Adapter == "" && !o.ended(s.report, s.now) {
			return true
		}
	}
	return false
}

// modelLoadPending reports whether an accepted load of a model hasn't ended.
func (s snapshot) modelLoadPending() bool {
	return slices.ContainsFunc(s.acceptedOrders, func(o acceptedOrder) bool {
		return !o.unload && o.name.Adapter == "" && !o.ended(s.report, s.now)
	})
}

// unloadPending reports whether an accepted unload of a model or adapter hasn't ended.
func (s snapshot) unloadPending(n fleet.ModelName) bool {
	for _, o := range s.acceptedOrders {
		if o.name == n && o.unload && !o.ended(s.report, s.now) {
			return true
		}
	}
	return false
}

// unansweredOrder is a load order without a reply.
type unansweredOrder struct {
	name     fleet.ModelName
	sequence int64
	sentAt   time.Time
	// endpoint is the id that the order expects; an engine with another id rejects it.
	endpoint string
}

// unansweredOrderTimeout is how long an order without a reply may still be carried out; the
// platform states some seconds, 12 at most.
const unansweredOrderTimeout = 15 * time.Second

// step is the keeper's next action.
type step interface{ step() }

type (
	// idle means that there is nothing to order.
	idle struct{}
	// order means that an order is to be sent.
	order struct {
		name   fleet.ModelName
		unload bool
	}
	// moveEnded means that the planner's move is complete or can't be completed.
	moveEnded struct{ reason string }
	// adapterRefused means that a wanted adapter can't be loaded now.
	adapterRefused struct {
		name   fleet.ModelName
		reason string
	}
)

func (idle) step()           {}
func (order) step()          {}
func (moveEnded) step()      {}
func (adapterRefused) step() {}

// nextStep returns the next step. Adapters go first, because requests wait for them and
// their loads take milliseconds.
func nextStep(s snapshot) step {
	if s.spec == nil || s.report.Leaving || !s.report.Alive {
		return idle{}
	}
	for _, want := range s.wantedAdapters {
		if st, ok := nextAdapter(s, want); ok {
			return st
		}
	}
	if s.report.ExecutingOrder || s.modelOrderPending() {
		return idle{}
	}
	if s.move != nil {
		return nextMove(s)
	}
	return nextRestore(s)
}

// plannerGracePeriod is the time in which a live planner sends a move to an engine that has
// started; the planner goes first, as it knows the demand.
const plannerGracePeriod = 1200 * time.Millisecond

// nextRestore loads the models that the engine held before its last start and whose weights
// its host still has, while no planner sends moves. A planner knows which models are
// requested; a load that nobody needs makes the engine reject orders for adapters meanwhile.
func nextRestore(s snapshot) step {
	if s.movedSinceStart || s.now.Sub(s.engineStartedAt) < plannerGracePeriod {
		return idle{}
	}
	for _, m := range s.restoreModels {
		name := fleet.ModelName{Model: m}
		if held, _ := fleet.Holds(s.report.Models, name); held {
			continue
		}
		spec, known := s.spec.Models[m]
		near := slices.Contains(s.report.InMemory, m) || slices.Contains(s.report.OnDisk, m)
		if known && near && s.committedMB()+spec.WeightsMB <= s.spec.WeightsMB {
			return order{name: name}
		}
	}
	return idle{}
}

func nextAdapter(s snapshot, want fleet.ModelName) (step, bool) {
	modelHeld, allHeld := fleet.Holds(s.report.Models, want)
	if allHeld || slices.Contains(s.report.LoadingAdapters, want) {
		return nil, false
	}
	spec, known := s.spec.Models[want.Model]
	if !modelHeld || !known {
		return adapterRefused{want, "model_not_resident"}, true
	}
	if s.move != nil && slices.Contains(s.move.Unload, want.Model) {
		return adapterRefused{want, "model_leaves"}, true
	}
	if s.report.ExecutingOrder || s.modelLoadPending() {
		// The engine rejects every order until the current one has ended.
		return adapterRefused{want, "engine_busy"}, true
	}
	held := heldAdapters(s.report)
	if len(held)+s.countUnanswered(true) < s.spec.AdapterSlots && s.committedMB()+spec.AdapterMB <= s.spec.WeightsMB {
		return order{name: want}, true
	}
	evictable := slices.DeleteFunc(held, func(n fleet.ModelName) bool {
		return slices.Contains(s.report.LoadingAdapters, n) || slices.Contains(s.wantedAdapters, n) || s.unloadPending(n) || s.now.Sub(s.lastUsed[n]) < adapterUseTTL
	})
	if len(evictable) == 0 {
		return adapterRefused{want, "adapters_in_use"}, true
	}
	// Unload the least recently used.
	return order{name: slices.MinFunc(evictable, func(a, b fleet.ModelName) int { return s.lastUsed[a].Compare(s.lastUsed[b]) }), unload: true}, true
}

// adapterUseTTL is how long an adapter counts as in use after a gateway reported its use; a
// gateway reports several times in that time.
const adapterUseTTL = 1500 * time.Millisecond

// nextMove returns the next step of the planner's move: the unloads first, then the load.
func nextMove(s snapshot) step {
	for _, m := range s.move.Unload {
		if held, _ := fleet.Holds(s.report.Models, fleet.ModelName{Model: m}); held {
			return order{name: fleet.ModelName{Model: m}, unload: true}
		}
	}
	if s.move.Load == "" {
		return moveEnded{"dropped"}
	}
	name := fleet.ModelName{Model: s.move.Load}
	if held, _ := fleet.Holds(s.report.Models, name); held {
		return moveEnded{"resident"}
	}
	spec, known := s.spec.Models[s.move.Load]
	if !known {
		return moveEnded{"model_unknown"}
	}
	if s.committedMB()+spec.WeightsMB > s.spec.WeightsMB {
		return moveEnded{"no_room"}
	}
	return order{name: name}
}

// committedMB returns the memory in use by models and adapters, with what pending loads and
// unanswered orders may yet take.
func (s snapshot) committedMB() float64 {
	mb := 0.0
	for _, r := range s.report.Models {
		m := s.spec.Models[r.Model]
		mb += m.WeightsMB + float64(len(r.Adapters))*m.AdapterMB
	}
	for _, p := range s.report.LoadingAdapters {
		mb += s.spec.Models[p.Model].AdapterMB
	}
	for _, o := range s.unanswered {
		if !s.mayStillApply(o) {
			continue
		}
		if m := s.spec.Models[o.name.Model]; o.name.Adapter == "" {
			mb += m.WeightsMB
		} else {
			mb += m.AdapterMB
		}
	}
	return mb
}

// reservedMB returns committedMB without the weights of resident models.
func (s snapshot) reservedMB() float64 {
	if s.spec == nil {
		return 0
	}
	mb := s.committedMB()
	for _, r := range s.report.Models {
		mb -= s.spec.Models[r.Model].WeightsMB
	}
	return mb
}

// mayStillApply reports whether an unanswered order can still be carried out: its expected
// sequence is one that the engine has yet to reach. That includes an order from before a
// restart under the same id. An order with the engine's current sequence doesn't count: the
// order to be sent next expects the same one, and the engine accepts only one of the two.
func (s snapshot) mayStillApply(o unansweredOrder) bool {
	if o.endpoint != "" && s.endpoint != "" && o.endpoint != s.endpoint {
		return false
	}
	return s.now.Sub(o.sentAt) < unansweredOrderTimeout && o.sequence > s.report.Sequence
}

// countUnanswered returns the number of unanswered orders for adapters, or for models, that
// may still be carried out.
func (s snapshot) countUnanswered(adapter bool) int {
	n := 0
	for _, o := range s.unanswered {
		if s.mayStillApply(o) && (o.name.Adapter != "") == adapter {
			n++
		}
	}
	return n
}

// heldAdapters returns the adapters that are resident or loading.
func heldAdapters(r Report) []fleet.ModelName {
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
