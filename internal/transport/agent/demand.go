package agent

import (
	"maps"
	"slices"
	"time"

	"chervilhead/internal/state/plan"
)

// noteArrival counts an attempt that arrived for a model of the table, accepted or not;
// mu is held.
func (a *Agent) noteArrival(model string, now time.Time) {
	m, ok := a.table.Model(model)
	if ok {
		a.lastArrival[model] = now
		if m.Base != "" {
			a.lastArrival[m.Base] = now
		}
	}
	if !ok || a.meanRun == 0 {
		return
	}
	engineSeconds := a.meanRun.Seconds() / float64(max(a.cfg.Slots, 1))
	a.demandMeters[model] = a.demandMeters[model].Add(now.Sub(a.epoch), engineSeconds)
}

// demandForecasts returns the forecast demand by model and drops the meters of models
// without any.
func (a *Agent) demandForecasts(now time.Time) []plan.Demand {
	a.mu.Lock()
	defer a.mu.Unlock()
	sinceEpoch := now.Sub(a.epoch)
	for m, meter := range a.demandMeters {
		if meter.Forecast(sinceEpoch) == 0 {
			delete(a.demandMeters, m)
		}
	}
	return plan.DemandForecasts(a.demandMeters, sinceEpoch)
}

// updateDemand renews the reported demand at intervals. It does so sooner when demand
// rises sharply, when requests wait for a model that the report doesn't name, or when a
// model that the plan retires has demand.
func (c *Reconciler) updateDemand(now time.Time) {
	since := now.Sub(c.demandReportedAt)
	awaited, demand := c.agent.awaitedModels(now), c.agent.demandForecasts(now)
	urgent := c.retireDeclined && since >= plan.AwaitReportInterval || plan.AwaitReportDue(c.row.AwaitedModels, awaited, since)
	if !urgent && !plan.DemandReportDue(c.row.Demand, demand, since) {
		return
	}
	c.row.Demand, c.row.AwaitedModels, c.row.Idle = demand, awaited, plan.IdleModels(c.agent.idleTimes(now))
	c.demandReportedAt, c.retireDeclined = now, false
}

// maxAwaitedModels bounds the models that entries can report as awaited.
const maxAwaitedModels = 64

// noteAwaited records that requests wait for a model without a replica. The model need
// not be in the agent's table yet.
func (a *Agent) noteAwaited(model string, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.lastAwaited) < maxAwaitedModels || !a.lastAwaited[model].IsZero() {
		a.lastAwaited[model] = now
	}
}

// AwaitedModels returns the models for which requests waited within the last
// plan.MinResidency, in name order.
func (a *Agent) AwaitedModels() []string { return a.awaitedModels(time.Now()) }

func (a *Agent) awaitedModels(now time.Time) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	maps.DeleteFunc(a.lastAwaited, func(_ string, at time.Time) bool { return now.Sub(at) >= plan.MinResidency })
	out := slices.Collect(maps.Keys(a.lastAwaited))
	// Attempts also arrive for a replica that is planned here and not loaded yet.
	for m, at := range a.lastArrival {
		if _, ok := a.lastAwaited[m]; !ok && !a.ready[m] && now.Sub(at) < plan.MinResidency {
			out = append(out, m)
		}
	}
	slices.Sort(out)
	return out
}

// updateReadySince records since when each model has been ready and drops the times of
// models that are gone; mu is held. While the engine does not answer, all times stay.
func (a *Agent) updateReadySince(now time.Time) {
	if a.engine == nil {
		return
	}
	for m := range a.ready {
		if _, ok := a.readySince[m]; !ok {
			a.readySince[m] = now
		}
	}
	notReady := func(m string, _ time.Time) bool { return !a.ready[m] }
	maps.DeleteFunc(a.readySince, notReady)
	maps.DeleteFunc(a.lastArrival, func(m string, at time.Time) bool { return !a.ready[m] && now.Sub(at) >= plan.MinResidency })
}

// idleTimes returns the time since each ready model was last requested or loaded. Models
// with queued or running attempts are left out.
func (a *Agent) idleTimes(now time.Time) map[string]time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.idleTimesLocked(now)
}

// stopAdmitting stops admitting attempts for a model if it has no demand, and reports
// whether it did. Without this, an attempt that arrives after the order to unload would
// fail on the engine. Attempts are admitted again if the next state read from the engine
// still shows the model.
func (a *Agent) stopAdmitting(model string, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if d, ok := a.idleTimesLocked(now)[model]; !ok || d < plan.MinResidency || now.Sub(a.lastAwaited[model]) < plan.MinResidency {
		return false
	}
	delete(a.ready, model)
	return true
}

func (a *Agent) idleTimesLocked(now time.Time) map[string]time.Duration {
	out := make(map[string]time.Duration, len(a.ready))
	for m := range a.ready {
		out[m] = min(now.Sub(a.lastArrival[m]), now.Sub(a.readySince[m]))
	}
	for _, at := range a.attempts {
		if p := at.currentPhase(); p == phaseQueued || p == phaseRunning {
			m, _ := a.table.Model(at.start.Model)
			delete(out, m.Name)
			delete(out, m.Base)
		}
	}
	return out
}
