package proxy

import (
	"time"

	"chervilhead/internal/state/fleet"
	"chervilhead/internal/state/pick"
)

// options are what the choice of an endpoint for a request is based on.
type options struct {
	candidates   []pick.Candidate
	latency      pick.LatencyModel
	adapterSlots int
}

// optionsFor returns the candidates for a request as the gateway knows them now; gateways is the
// number among which limits are divided.
func (h *Handler) optionsFor(c *call, service fleet.Service, states []fleet.State, gateways int, now time.Time) options {
	var opts options
	slots := 0
	if service.Engine != nil {
		slots, opts.adapterSlots = service.Engine.Slots, service.Engine.AdapterSlots
	}
	c.req.Gateways, c.req.Repeatable = h.control.GatewayCount(), c.route.Repeatable()
	c.req.HeldOnly = c.req.ModelName.Adapter != "" && h.control.KeepersAbsent(service.Name)
	c.req.MaxPause = max(0, time.Duration(pauseObjectiveShare*float64(c.route.Objective))-now.Sub(c.began))
	opts.candidates = h.tracker.candidates(states, slots, c.req, gateways, func(e fleet.Endpoint) bool { return h.pool.HasIdle(poolKey(e), now) })
	opts.latency = h.tracker.latencyModel(service.Name, c.req.ModelName.Model)
	if service.Engine != nil {
		opts.latency.ModelLoadTime = service.Engine.Models[c.req.ModelName.Model].StoreLoadTime
	}
	return opts
}

// bestOf returns the best of the options, or false if none can take the request.
func (h *Handler) bestOf(c *call, opts options, now time.Time) (pick.Choice, bool) {
	return pick.BestInWindow(c.req, opts.candidates, opts.latency, now, opts.adapterSlots, h.draw, func(ch pick.Choice) bool {
		return !h.tooLate(c, ch) && !waitsTooLong(c, ch)
	})
}
