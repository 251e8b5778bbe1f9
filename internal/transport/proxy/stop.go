package proxy

import (
	"context"
	"errors"
	"time"
)

// Stop says how a gateway that stops treats requests.
type Stop struct {
	// UnreadyUntil is when the load balancer has noticed that the gateway isn't ready. Up to then
	// requests are taken as long as they can be expected to end before Cutoff, after it only if
	// their time limit does.
	UnreadyUntil time.Time
	// Cutoff is when all requests are ended with a response.
	Cutoff time.Time
}

// stoppingRetryAfter is the Retry-After of a gateway that stops: another one takes the request at
// once.
const stoppingRetryAfter = 20 * time.Millisecond

// errStopping ends the requests that still run at Stop.Cutoff.
var errStopping = errors.New("the gateway stops")

// Drain makes the handler close each client connection after its response, and take no request that
// can't end in time.
func (h *Handler) Drain(s Stop) {
	h.stop.Store(&s)
	time.AfterFunc(time.Until(s.Cutoff), func() { h.cut(errStopping) })
}

// takesUntil reports whether a request with a time limit is taken, and until when it may last.
func (h *Handler) takesUntil(deadline time.Time) (time.Time, bool) {
	s := h.stop.Load()
	if s == nil || !deadline.After(s.Cutoff) {
		return deadline, true
	}
	return s.Cutoff, time.Now().Before(s.UnreadyUntil)
}

// callContext returns the context of a call's work, which ends at its deadline and when the gateway
// stops.
func (h *Handler) callContext(c *call) (context.Context, context.CancelFunc) {
	ctx, end := context.WithDeadlineCause(c.in.Context(), c.deadline, errTimeout)
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(h.cutCtx, func() { cancel(errStopping) })
	return ctx, func() {
		stop()
		cancel(nil)
		end()
	}
}
