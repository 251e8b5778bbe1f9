package agent

import (
	"context"
	"slices"
	"time"

	"chervilhead/internal/coordination/gossip"
	"chervilhead/internal/state/plan"
)

const (
	// plannerWait is how long a leaving agent waits for a plan that knows of it. A new
	// planner needs up to a lease's term, but the endpoint's lease would end meanwhile.
	plannerWait = 5 * time.Second
	// handoverWait bounds the wait for loads elsewhere, which the weight store limits.
	handoverWait = 2 * time.Minute
)

// WaitForHandover waits until the plan lets everything resident on a leaving endpoint go,
// which means that it is resident elsewhere, or until no planner answers.
func (c *Reconciler) WaitForHandover(ctx context.Context) {
	began := time.Now()
	tick := time.NewTicker(reconcileInterval)
	defer tick.Stop()
	for time.Since(began) < handoverWait {
		known, done := c.handedOver()
		if done {
			return
		}
		if !known && time.Since(began) >= plannerWait {
			c.log.Warn("no plan lets the endpoint's models go; leaving without a successor")
			return
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
	c.log.Warn("models are not resident elsewhere in time; leaving without a successor")
}

// handedOver reports whether the newest plan knows that the endpoint is leaving, and
// whether nothing resident here lacks a successor; unplaced models can have none.
func (c *Reconciler) handedOver() (known, done bool) {
	p, err := plan.Decode(c.docs.Get(gossip.KindPlan).Data)
	if err != nil {
		return false, false
	}
	e, ok := p.Endpoint(c.cfg.Endpoint.ID)
	if !ok || !e.Leaving {
		return false, false
	}
	for _, m := range c.agent.residents() {
		if !slices.Contains(e.Evict, m) && !slices.Contains(p.Unplaced, m) {
			return true, false
		}
	}
	return true, true
}

// residents returns the models that the engine held when it was last read.
func (a *Agent) residents() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []string
	for m := range a.ready {
		out = append(out, m)
	}
	return out
}
