package agent

import (
	"context"
	"slices"
	"time"

	"chervilhead/internal/coordination/gossip"
	"chervilhead/internal/state/plan"
)

const (
	// plannerTimeout bounds the wait for a plan that shows the endpoint as draining. A new
	// planner may need a whole lease term, but the endpoint's own lease would end meanwhile.
	plannerTimeout = 5 * time.Second
	// handoverTimeout bounds the wait for loads on other endpoints, whose rate the weight
	// store limits.
	handoverTimeout = 2 * time.Minute
)

// WaitForHandover waits until the plan allows the draining endpoint to unload all its
// models, which means that they are resident elsewhere. It gives up after 5 s if the plan
// does not show the endpoint as draining, and after 2 min in any case.
func (c *Reconciler) WaitForHandover(ctx context.Context) {
	began := time.Now()
	tick := time.NewTicker(reconcileInterval)
	defer tick.Stop()
	for time.Since(began) < handoverTimeout {
		known, done := c.handedOver()
		if done {
			return
		}
		if !known && time.Since(began) >= plannerTimeout {
			c.log.Warn("no plan shows the endpoint as leaving; leaving without a handover of its models")
			return
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
	c.log.Warn("models did not become resident elsewhere in time; leaving without a handover")
}

// handedOver reports whether the latest plan shows the endpoint as draining, and whether
// each model here has a replica elsewhere or is one that the plan leaves unplaced.
func (c *Reconciler) handedOver() (known, done bool) {
	p, err := plan.Decode(c.docs.Get(gossip.KindPlan).Data)
	if err != nil {
		return false, false
	}
	e, ok := p.Endpoint(c.cfg.Endpoint.ID)
	if !ok || !e.Leaving {
		return false, false
	}
	for _, m := range c.agent.readyModels() {
		if !slices.Contains(e.Evict, m) && !slices.Contains(p.Unplaced, m) {
			return true, false
		}
	}
	return true, true
}

// readyModels returns the models that were usable when the engine was last read.
func (a *Agent) readyModels() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []string
	for m := range a.ready {
		out = append(out, m)
	}
	return out
}
