package agent

import (
	"context"
	"time"

	"chervilhead/internal/protocol/engine"
)

// cancelOrphans cancels the engine's running requests that belong to no running attempt of
// this incarnation: those of an earlier incarnation and those whose connection to the
// engine broke. It needs the lease: a predecessor that still holds it is finishing its
// attempts.
func (c *Reconciler) cancelOrphans(ctx context.Context, s engine.State) {
	if _, ok := c.lease.Valid(time.Now()); !ok {
		return
	}
	for _, id := range c.agent.orphans(s.Running) {
		c.log.WithField("attempt", id).Info("cancelling a request on the engine that belongs to no running attempt")
		if err := c.engine.Cancel(ctx, id); err != nil {
			c.log.WithField("attempt", id).WithError(err).Debug("cancellation of an orphaned request failed; it is retried")
		}
	}
}

// orphans returns the request ids in running that belong to no running attempt.
func (a *Agent) orphans(running []string) []string {
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
