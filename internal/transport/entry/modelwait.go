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
	// initialLoadTime is the assumed time from a request to the end of its model's load
	// until one has been measured: up to 2 s until the agent reports the demand, 1 s to
	// plan, 1 s to distribute the plan, the same again if a replica must be evicted first,
	// and 5 s to load the largest model of the first deployment.
	initialLoadTime = 10 * time.Second
	// minLoadTime is the least time that a load is expected to take.
	minLoadTime = 3 * time.Second
	// loadTimeWeight is the weight of a new measurement in the average load time.
	loadTimeWeight = 0.3
	// awaitReportInterval is the interval between an entry's reports of one awaited model.
	awaitReportInterval = 2 * time.Second
	// maxWaitingPerModel bounds an entry's requests that wait for one model.
	maxWaitingPerModel = 256
	// maxAwaitReportTargets is the number of agents tried for one report.
	maxAwaitReportTargets = 3
	// cannotLoadRetryAfter applies to a model that needs an operator's action to fit.
	cannotLoadRetryAfter = time.Minute
)

// modelWaits is the state of the requests that wait for models without a replica.
type modelWaits struct {
	byModel map[string]*modelWait
	// loadTime is a moving average of the time from the first waiting request to the end
	// of the load.
	loadTime time.Duration
}

type modelWait struct {
	// since is when the current wait began; a request that arrives plan.MinResidency later
	// begins a new one. reportedAt is when the last report to an agent began.
	since, reportedAt time.Time
	requests          int
}

func newModelWaits() modelWaits {
	return modelWaits{byModel: map[string]*modelWait{}, loadTime: initialLoadTime}
}

// awaitModel blocks while the request's model has no replica, and reports whether it did.
// Meanwhile it tells an agent, whose state report carries the demand to the planner. It
// returns an error as soon as a load can no longer finish in time or the planner finds
// that none is possible.
func (e *Entry) awaitModel(ctx context.Context, req *request) (waited bool, ferr *fault.Error) {
	if req.kind == wire.KindService {
		return false, nil
	}
	v := e.view.Load()
	if v.plan.Version == 0 || len(v.modelEndpoints[req.model]) > 0 {
		return false, nil
	}
	if reason := v.plan.UnplacedReasons[req.model]; !reason.Transient() {
		return false, errCannotLoad(req.model, reason)
	}
	w, due, ferr := e.joinModelWait(req.model, time.Now())
	if ferr != nil {
		return false, ferr
	}
	defer e.leaveModelWait(w)
	report := time.NewTicker(awaitReportInterval)
	defer report.Stop()
	startBy := time.NewTimer(time.Until(req.startBy))
	defer startBy.Stop()
	for {
		e.reportAwaited(v, req.model)
		switch reason := v.plan.UnplacedReasons[req.model]; {
		case reason == plan.ReasonNoRoom || !reason.Transient():
			return waited, errCannotLoad(req.model, reason)
		case req.startBy.Before(due):
			return waited, errLoadTooLate(req.model, time.Until(due))
		}
		waited = true
		select {
		case <-v.replaced:
			if v = e.view.Load(); len(v.modelEndpoints[req.model]) > 0 {
				return true, nil
			}
		case <-report.C:
		case <-startBy.C:
			return true, errLoadTooLate(req.model, minLoadTime)
		case <-ctx.Done():
			return true, errLoadTooLate(req.model, minLoadTime)
		}
	}
}

// joinModelWait counts a request as waiting for a model and returns when the load is
// expected to be done.
func (e *Entry) joinModelWait(model string, now time.Time) (w *modelWait, due time.Time, ferr *fault.Error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if w = e.modelWaits.byModel[model]; w == nil {
		w = &modelWait{}
		e.modelWaits.byModel[model] = w
	}
	if now.Sub(w.since) >= plan.MinResidency {
		w.since = now
	}
	if w.requests >= maxWaitingPerModel {
		return nil, due, fault.New(fault.RateLimit, fault.CodeQueueFull, fmt.Sprintf("%d requests already wait for model %q to be loaded", w.requests, model), "retry later").WithRetryAfter(e.modelWaits.loadTime)
	}
	w.requests++
	due = w.since.Add(e.modelWaits.loadTime)
	if earliest := now.Add(minLoadTime); due.Before(earliest) {
		due = earliest
	}
	return w, due, nil
}

func (e *Entry) leaveModelWait(w *modelWait) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.requests--
}

// recordLoadTime updates the average load time when the first streamed answer of the
// requests that waited for a model begins; other answers begin only when they are complete.
func (e *Entry) recordLoadTime(req *request) {
	if !req.stream {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	w := e.modelWaits.byModel[req.model]
	if w == nil {
		return
	}
	took := time.Since(w.since)
	e.modelWaits.loadTime += time.Duration(loadTimeWeight * float64(took-e.modelWaits.loadTime))
	delete(e.modelWaits.byModel, req.model)
}

// reportAwaited tells an agent that requests wait for a model. All entries with the same
// plan and membership view choose the same agent.
func (e *Entry) reportAwaited(v *view, model string) {
	now := time.Now()
	e.mu.Lock()
	w := e.modelWaits.byModel[model]
	due := w != nil && now.Sub(w.reportedAt) >= awaitReportInterval
	if due {
		w.reportedAt = now
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
		for _, ep := range awaitReportTargets(model, live) {
			callCtx, cancel := context.WithTimeout(context.Background(), probeTimeout)
			conn, err := e.pool.Get(callCtx, ep.Address)
			if err == nil {
				err = conn.Call(callCtx, wire.MethodAwait, wire.AwaitReport{Model: model, Versions: e.docs.Versions()}, &struct{}{})
			}
			cancel()
			if err == nil {
				return
			}
		}
	}()
}

// awaitReportTargets returns the endpoints whose agents may be told that requests wait for
// a model, in order of preference. An agent that is about to unload the model comes first,
// so that it keeps the replica.
func awaitReportTargets(model string, live []plan.Endpoint) []plan.Endpoint {
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
	return out[:min(maxAwaitReportTargets, len(out))]
}

// errCannotLoad rejects a request whose model the planner cannot place.
func errCannotLoad(model string, reason plan.Reason) *fault.Error {
	if reason == plan.ReasonNoRoom {
		return fault.New(fault.Unavailable, "no_room_for_model", fmt.Sprintf("model %q is not resident, and every replica that could be evicted for it is in use", model),
			"retry later").WithRetryAfter(plan.MinResidency)
	}
	return fault.New(fault.Unavailable, "model_does_not_fit", fmt.Sprintf("model %q cannot be loaded: %s", model, reason), reason.Remedy()).WithRetryAfter(cannotLoadRetryAfter)
}

// errLoadTooLate rejects a request whose model cannot be loaded before its start-by time.
func errLoadTooLate(model string, after time.Duration) *fault.Error {
	return fault.New(fault.Unavailable, "model_loading", fmt.Sprintf("model %q is not resident and cannot be loaded before the request's deadline", model),
		"retry later").WithRetryAfter(max(after, time.Second))
}
