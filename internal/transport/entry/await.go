package entry

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"chervilhead/internal/protocol/wire"
	"chervilhead/internal/state/fault"
	"chervilhead/internal/state/plan"
	"chervilhead/internal/state/poison"
)

const (
	// firstLoadTime is the assumed time from a request to its model's load before one was
	// measured: up to 2 s to the agent's report, 1 s each to plan and to spread, the same
	// again where a copy must go first, and 5 s for the largest model of the first user.
	firstLoadTime = 10 * time.Second
	// leastLoadTime is the time below which no load is expected to finish.
	leastLoadTime = 3 * time.Second
	// loadTimeShare is the weight of a new measurement of the load time.
	loadTimeShare = 0.3
	// awaitRepeat spaces an entry's messages about one model that requests wait for.
	awaitRepeat = 2 * time.Second
	// maxAwaiting bounds the requests of an entry that wait for one model.
	maxAwaiting = 256
	// awaitHomes is the number of agents that are tried with such a message.
	awaitHomes = 3
	// misfitRetryAfter is told where only an operator can make a model fit.
	misfitRetryAfter = time.Minute
)

// awaits is what an entry knows of models without a copy that requests wait for.
type awaits struct {
	models map[string]*awaited
	// took is a moving average of the time from the first request to its model's load.
	took time.Duration
}

type awaited struct {
	// since is when the first request of the present wait arrived; n requests wait.
	since, told time.Time
	n           int
}

func newAwaits() awaits {
	return awaits{models: map[string]*awaited{}, took: firstLoadTime}
}

// await holds a request up while its model has no copy, and reports whether it did. The
// agents pass the demand on to the planner. It returns a refusal as soon as a load can no
// longer be done in time or the planner finds that none is possible.
func (e *Entry) await(ctx context.Context, req *request) (waited bool, ferr *fault.Error) {
	if req.kind == wire.KindService {
		return false, nil
	}
	v := e.view.Load()
	if v.plan.Version == 0 || len(v.byModel[req.model]) > 0 {
		return false, nil
	}
	if why := v.plan.UnplacedReasons[req.model]; !why.Transient() {
		return false, misfit(req.model, why)
	}
	w, due, ferr := e.joinAwait(req.model, time.Now())
	if ferr != nil {
		return false, ferr
	}
	defer e.leaveAwait(w)
	tell := time.NewTicker(awaitRepeat)
	defer tell.Stop()
	late := time.NewTimer(time.Until(req.startBy))
	defer late.Stop()
	for {
		e.tellAwaited(v, req.model)
		switch why := v.plan.UnplacedReasons[req.model]; {
		case why == plan.ReasonNoRoom || !why.Transient():
			return waited, misfit(req.model, why)
		case req.startBy.Before(due):
			return waited, tooLate(req.model, time.Until(due))
		}
		waited = true
		select {
		case <-v.replaced:
			if v = e.view.Load(); len(v.byModel[req.model]) > 0 {
				return true, nil
			}
		case <-tell.C:
		case <-late.C:
			return true, tooLate(req.model, leastLoadTime)
		case <-ctx.Done():
			return true, tooLate(req.model, leastLoadTime)
		}
	}
}

// joinAwait counts a request that waits for a model and returns when its load is expected.
func (e *Entry) joinAwait(model string, now time.Time) (w *awaited, due time.Time, ferr *fault.Error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if w = e.awaits.models[model]; w == nil {
		w = &awaited{}
		e.awaits.models[model] = w
	}
	if now.Sub(w.since) >= plan.MinResidency {
		w.since = now
	}
	if w.n >= maxAwaiting {
		return nil, due, fault.New(fault.RateLimit, fault.CodeQueueFull, fmt.Sprintf("%d requests wait for model %q to be loaded", w.n, model), "retry later").WithRetryAfter(e.awaits.took)
	}
	w.n++
	due = w.since.Add(e.awaits.took)
	if soonest := now.Add(leastLoadTime); due.Before(soonest) {
		due = soonest
	}
	return w, due, nil
}

func (e *Entry) leaveAwait(w *awaited) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.n--
}

// loaded measures the load time by the first stream that waited for a model and began;
// other answers begin only when they are complete.
func (e *Entry) loaded(req *request) {
	if !req.stream {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	w := e.awaits.models[req.model]
	if w == nil {
		return
	}
	took := time.Since(w.since)
	e.awaits.took += time.Duration(loadTimeShare * float64(took-e.awaits.took))
	delete(e.awaits.models, req.model)
}

// tellAwaited tells an agent, the same one for every entry, that requests wait for a model.
func (e *Entry) tellAwaited(v *view, model string) {
	now := time.Now()
	e.mu.Lock()
	w := e.awaits.models[model]
	due := w != nil && now.Sub(w.told) >= awaitRepeat
	if due {
		w.told = now
	}
	e.mu.Unlock()
	if !due {
		return
	}
	var live []plan.Endpoint
	members := e.members.View()
	for _, ep := range v.plan.Endpoints {
		if ep.Service == "" && !ep.Leaving && members.Live(ep.ID) {
			live = append(live, ep)
		}
	}
	go func() {
		for _, ep := range awaitedAt(model, live) {
			ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
			link, err := e.pool.Get(ctx, ep.Address)
			if err == nil {
				err = link.Call(ctx, wire.MethodAwait, wire.AwaitReport{Model: model, Versions: e.docs.Versions()}, &struct{}{})
			}
			cancel()
			if err == nil {
				return
			}
		}
	}()
}

// awaitedAt returns the endpoints whose agents hear of requests that wait for a model, in
// order of preference. An agent that is about to unload the model is first, so that it
// keeps the copy.
func awaitedAt(model string, live []plan.Endpoint) []plan.Endpoint {
	out := slices.Clone(live)
	retires := func(e plan.Endpoint) int {
		if slices.Contains(e.Retire, model) {
			return 1
		}
		return 0
	}
	slices.SortFunc(out, func(a, b plan.Endpoint) int {
		return cmp.Or(cmp.Compare(retires(b), retires(a)), cmp.Compare(poison.RendezvousWeight(model, b.ID), poison.RendezvousWeight(model, a.ID)), cmp.Compare(a.ID, b.ID))
	})
	return out[:min(awaitHomes, len(out))]
}

// misfit refuses a request whose model cannot be loaded now.
func misfit(model string, why plan.Reason) *fault.Error {
	if why == plan.ReasonNoRoom {
		return fault.New(fault.Unavailable, "no_room_for_model", fmt.Sprintf("model %q is not resident, and every copy that could make room is in use", model),
			"retry later").WithRetryAfter(plan.MinResidency)
	}
	return fault.New(fault.Unavailable, "model_does_not_fit", fmt.Sprintf("model %q cannot be loaded: %s", model, why), why.Remedy()).WithRetryAfter(misfitRetryAfter)
}

// tooLate refuses a request whose model cannot be loaded before its start-by time.
func tooLate(model string, after time.Duration) *fault.Error {
	return fault.New(fault.Unavailable, "model_loading", fmt.Sprintf("model %q is being loaded and is not ready in time", model),
		"retry later").WithRetryAfter(max(after, time.Second))
}
