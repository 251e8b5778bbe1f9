package agent

import (
	"maps"
	"slices"
	"time"

	"chervilhead/internal/state/plan"
)

// demanded notes an attempt that arrived for a model the agent knows of, accepted or
// not; mu is held.
func (a *Agent) demanded(model string, now time.Time) {
	m, ok := a.table.Model(model)
	if ok {
		a.asked[model] = now
		if m.Base != "" {
			a.asked[m.Base] = now
		}
	}
	if !ok || a.meanRun == 0 {
		return
	}
	work := a.meanRun.Seconds() / float64(max(a.cfg.Slots, 1))
	a.meters[model] = a.meters[model].Add(now.Sub(a.epoch), work)
}

// demand returns the forecast demand and forgets models without any.
func (a *Agent) demand(now time.Time) []plan.Demand {
	a.mu.Lock()
	defer a.mu.Unlock()
	at := now.Sub(a.epoch)
	for m, meter := range a.meters {
		if meter.Forecast(at) == 0 {
			delete(a.meters, m)
		}
	}
	return plan.DemandForecasts(a.meters, at)
}

// describeDemand renews the reported demand at intervals, and sooner in a flood, when
// requests wait for a model that the report doesn't name, or when a model that the plan
// retires has demand.
func (c *Reconciler) describeDemand(now time.Time) {
	since := now.Sub(c.demandAt)
	awaited, demand := c.agent.awaitedModels(now), c.agent.demand(now)
	urgent := c.kept && since >= plan.AwaitReportInterval || plan.AwaitReportDue(c.info.AwaitedModels, awaited, since)
	if !urgent && !plan.DemandReportDue(c.info.Demand, demand, since) {
		return
	}
	c.info.Demand, c.info.AwaitedModels, c.info.Idle = demand, awaited, plan.IdleModels(c.agent.unused(now))
	c.demandAt, c.kept = now, false
}

// maxAwaited bounds the models that are reported as waited for.
const maxAwaited = 64

// await notes that requests wait for a model without a copy; the agent's table may not
// have the model yet.
func (a *Agent) await(model string, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.awaited) < maxAwaited || !a.awaited[model].IsZero() {
		a.awaited[model] = now
	}
}

// AwaitedModels returns the models for which entries lately had waiting requests, in name order.
func (a *Agent) AwaitedModels() []string { return a.awaitedModels(time.Now()) }

func (a *Agent) awaitedModels(now time.Time) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	maps.DeleteFunc(a.awaited, func(_ string, at time.Time) bool { return now.Sub(at) >= plan.MinResidency })
	out := slices.Collect(maps.Keys(a.awaited))
	// Attempts also arrive where a copy is planned and not loaded yet.
	for m, at := range a.asked {
		if _, ok := a.awaited[m]; !ok && !a.ready[m] && now.Sub(at) < plan.MinResidency {
			out = append(out, m)
		}
	}
	slices.Sort(out)
	return out
}

// noteReady keeps the time since which each model is resident; mu is held. An engine
// that doesn't answer for a moment keeps its times, a model that is gone loses them.
func (a *Agent) noteReady(now time.Time) {
	if a.engine == nil {
		return
	}
	for m := range a.ready {
		if _, ok := a.readySince[m]; !ok {
			a.readySince[m] = now
		}
	}
	gone := func(m string, _ time.Time) bool { return !a.ready[m] }
	maps.DeleteFunc(a.readySince, gone)
	maps.DeleteFunc(a.asked, func(m string, at time.Time) bool { return !a.ready[m] && now.Sub(at) >= plan.MinResidency })
}

// unused returns the time since each resident model was last asked for or loaded.
func (a *Agent) unused(now time.Time) map[string]time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.unusedLocked(now)
}

// withdraws refuses further attempts for a model that has no demand, and reports whether
// it does: an attempt that arrives after the order to unload would fail on the engine.
// Readings of the engine that still show the model admit attempts again.
func (a *Agent) withdraws(model string, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if d, ok := a.unusedLocked(now)[model]; !ok || d < plan.MinResidency || now.Sub(a.awaited[model]) < plan.MinResidency {
		return false
	}
	delete(a.ready, model)
	return true
}

func (a *Agent) unusedLocked(now time.Time) map[string]time.Duration {
	out := make(map[string]time.Duration, len(a.ready))
	for m := range a.ready {
		out[m] = min(now.Sub(a.asked[m]), now.Sub(a.readySince[m]))
	}
	for _, at := range a.attempts {
		if p := at.current(); p == phaseQueued || p == phaseRunning {
			m, _ := a.table.Model(at.start.Model)
			delete(out, m.Name)
			delete(out, m.Base)
		}
	}
	return out
}
