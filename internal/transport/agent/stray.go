package agent

import (
	"context"
	"time"

	"chervilhead/internal/protocol/engine"
)

// cancelStrays ends what the engine runs although no attempt of this incarnation
// needs it: attempts of an earlier incarnation, and those whose connection to the
// engine broke. It needs the lease, because a predecessor that still holds it is
// finishing its work.
func (c *Reconciler) cancelStrays(ctx context.Context, s engine.State) {
	if _, ok := c.lease.Valid(time.Now()); !ok {
		return
	}
	for _, id := range c.agent.strays(s.Running) {
		c.log.WithField("attempt", id).Info("cancelling an attempt that nobody waits for")
		if err := c.engine.Cancel(ctx, id); err != nil {
			c.log.WithField("attempt", id).WithError(err).Debug("attempt not cancelled; it is tried again")
		}
	}
}

// strays returns the ids among running that no attempt in progress has.
func (a *Agent) strays(running []string) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []string
	for _, id := range running {
		if _, ok := a.running[id]; !ok {
			out = append(out, id)
		}
	}
	return out
}
