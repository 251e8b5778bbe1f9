package agent

import (
	"slices"

	"chervilhead/internal/coordination/gossip"
	"chervilhead/internal/protocol/wire"
)

// Status returns the state of the agent and its endpoint for operators.
func (a *Agent) Status() wire.Status {
	v := a.docs.Versions()
	a.mu.Lock()
	defer a.mu.Unlock()
	ep := &wire.EndpointStatus{
		ID: a.cfg.ID, FailureDomain: a.cfg.FailureDomain, State: a.endpointState(), Service: a.backend.service(),
		Running: len(a.running), Queued: a.queue.Len(), Models: []string{},
	}
	if a.engine != nil {
		ep.Restarts = a.engine.Restarts
		ep.MemoryUsedBytes, ep.MemoryTotalBytes = a.engine.MemoryUsedBytes, a.engine.MemoryTotalBytes
		for m := range a.ready {
			ep.Models = append(ep.Models, m)
		}
		slices.Sort(ep.Models)
	}
	return wire.Status{
		ID: a.cfg.ID, Role: "agent", FailureDomain: a.cfg.FailureDomain,
		Revision: v[gossip.KindTable], PlanVersion: v[gossip.KindPlan], Leaving: a.leaving, Endpoint: ep,
		RevisionAgeMillis: a.docs.Age(gossip.KindTable).Milliseconds(),
	}
}

// endpointState returns the endpoint's state as the status names it; mu is held.
func (a *Agent) endpointState() string {
	switch {
	case a.leaving:
		return "leaving"
	case a.engine == nil && !a.backend.alwaysReady():
		return "away"
	default:
		return "live"
	}
}
