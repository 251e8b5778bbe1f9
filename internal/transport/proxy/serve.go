package proxy

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"time"

	"chervilhead/internal/protocol/http1"
	"chervilhead/internal/state/fleet"
	"chervilhead/internal/state/pick"
	"chervilhead/internal/state/replica"
)

// verdict is what becomes of a request after an attempt.
type verdict interface{ verdict() }

type (
	// finished means that the client has its answer.
	finished struct{}
	// another means that the request may go to another endpoint.
	another struct {
		// ran is set when the endpoint may have run the request.
		ran bool
		// broken is set when the connection broke while the endpoint had the request.
		broken bool
		reason string
		// answer is the endpoint's failure, for the client if nothing else comes.
		answer *answer
	}
)

func (finished) verdict() {}
func (another) verdict()  {}

const (
	// maxTries bounds the endpoints that are asked one after another while none runs the request.
	maxTries = 4
	// minLeft is the time below which a request isn't sent any more.
	minLeft = 20 * time.Millisecond
)

// next is what to do with a request that has no answer yet.
type next interface{ next() }

type (
	// send means that the request goes to an endpoint.
	send struct{ st fleet.State }
	// look means that something changed and the choice is made anew.
	look struct{}
	// ended means that the client has its answer.
	ended struct{}
	// spent means that no further endpoint is asked.
	spent struct{ why string }
)

func (send) next()  {}
func (look) next()  {}
func (ended) next() {}
func (spent) next() {}

// serve sends the request to endpoints until it has an answer.
func (h *Handler) serve(c *call, service fleet.Service) {
	if service.Engine != nil {
		if _, known := service.Engine.Models[c.req.ModelName.Model]; !known {
			// The configuration doesn't name the model, so that nothing can load it.
			h.refuse(c, "unknown_model", time.Second)
			return
		}
	}
	if h.suspects.condemned(c, time.Now()) {
		h.refuse(c, "crashes_endpoints", time.Until(c.limit)/comeBackPart)
		return
	}
	var last another
	for c.tries < maxTries && time.Until(c.limit) >= minLeft && c.ctx.Err() == nil {
		var e fleet.Endpoint
		switch n := h.choose(c, service).(type) {
		case look:
			continue
		case ended:
			return
		case spent:
			last.reason += n.why
			h.giveUp(c, last)
			return
		case send:
			e = n.st.Endpoint
		}
		if c.choice.LoadAdapter {
			if err := h.fetch(c, e); err != nil {
				h.noPlace(c, e)
				last.reason = "adapter_not_loaded"
				h.noteAttempt(c, another{reason: err.Error()})
				continue
			}
		}
		c.tries++
		switch v := h.attempt(c, e).(type) {
		case finished:
			h.cleared(c, time.Now())
			return
		case another:
			last = v
			if !h.goOn(c, e, v) {
				h.giveUp(c, last)
				return
			}
		}
	}
	h.giveUp(c, last)
}

// choose chooses the endpoint for the next attempt, or says why there is none.
func (h *Handler) choose(c *call, service fleet.Service) next {
	slots, adapterSlots := 0, 0
	if service.Engine != nil {
		slots, adapterSlots = service.Engine.Slots, service.Engine.AdapterSlots
	}
	now := time.Now()
	list := h.track.candidates(h.fleet.States(), slots, c.req, func(e fleet.Endpoint) bool { return h.pool.HasIdle(poolKey(e), now) })
	ch, ok := pick.Best(c.req, list, h.track.estimates(service.Name, c.req.ModelName.Model), now, adapterSlots, h.draw)
	switch {
	case ok:
	case len(c.full) > 0 && h.waitForPlace(c):
		return look{}
	case len(c.req.Tried) > 0:
		return spent{}
	case service.Engine == nil:
		h.refuse(c, "no_endpoint", noEndpointWait)
		return ended{}
	case !h.await(c, service):
		return ended{}
	default:
		return look{}
	}
	c.choice = ch
	if c.tries == 0 && len(c.req.Tried) == 0 && c.req.ModelName.Model != "" {
		h.fleet.RecordDemand(service.Name, c.req.ModelName.Model, ch.PrefillTokens, c.req.OutputTokens)
	}
	if left := time.Until(c.limit); c.tries == 0 && (ch.TimeToLastToken(c.req.OutputTokens) > left || h.tooLong(c, ch)) {
		h.refuse(c, "too_late", left/comeBackPart)
		return ended{}
	}
	if c.tries > 0 && !h.track.repeat(service.Name, h.fleet.GatewayCount()) {
		return spent{",no_budget"}
	}
	st := stateOf(list, ch.ID)
	if st.Reported {
		c.reportAge = now.Sub(st.Status.ReceivedAt)
	}
	return send{st}
}

// tooLong reports whether the client would leave before the first event.
func (h *Handler) tooLong(c *call, ch pick.Choice) bool {
	patience := c.route.ClientIdleTimeout()
	return patience > 0 && time.Since(c.began)+ch.Estimate > patience
}

// noPlace notes that an endpoint had no place for the request's adapter.
func (h *Handler) noPlace(c *call, e fleet.Endpoint) {
	c.req.Tried = append(c.req.Tried, e.ID)
	c.full = append(c.full, e.ID)
	h.crowd(c)
}

// crowd tells the planner that a request for a model found no place.
func (h *Handler) crowd(c *call) {
	if c.crowded || c.req.ModelName.Model == "" {
		// Once a request, however often it asks.
		return
	}
	c.crowded = true
	h.fleet.RecordNoCapacity(c.req.Service, c.req.ModelName.Model)
}

// goOn notes an attempt that failed and reports whether the request may go to another endpoint.
func (h *Handler) goOn(c *call, e fleet.Endpoint, v another) bool {
	c.req.Tried = append(c.req.Tried, e.ID)
	h.noteAttempt(c, v)
	if v.broken {
		h.broke(c, time.Now())
	}
	if !v.ran {
		return true
	}
	c.runs++
	return c.route.Repeatable() && c.runs < c.route.MaxAttempts && (!c.begun || c.lastID != "")
}

// placeAgain is the pause before endpoints whose places for adapters were all in use are
// asked again; placeShare is the part of a request's time that it may wait so.
const (
	placeAgain = 150 * time.Millisecond
	placeShare = 0.15
)

// waitForPlace waits until endpoints that had no place for the adapter may have one.
func (h *Handler) waitForPlace(c *call) bool {
	if float64(time.Since(c.began)) > placeShare*float64(c.limit.Sub(c.began)) {
		return false
	}
	t := time.NewTimer(placeAgain)
	defer t.Stop()
	select {
	case <-t.C:
	case <-c.ctx.Done():
		return false
	}
	c.req.Tried = slices.DeleteFunc(c.req.Tried, func(id string) bool { return slices.Contains(c.full, id) })
	c.full = nil
	return true
}

// noEndpointWait is how long a caller waits for an endpoint; the store's view is renewed more often.
const noEndpointWait = 700 * time.Millisecond

func stateOf(list []pick.Candidate, id string) fleet.State {
	for _, c := range list {
		if c.State.ID == id {
			return c.State
		}
	}
	return fleet.State{}
}

// fetchTimeout bounds the wait for an adapter, which takes some milliseconds.
const fetchTimeout = 300 * time.Millisecond

func (h *Handler) fetch(c *call, e fleet.Endpoint) error {
	ctx, cancel := context.WithTimeout(c.ctx, fetchTimeout)
	defer cancel()
	return h.fleet.LoadAdapter(ctx, e, c.req.ModelName)
}

// await waits for a model that no usable endpoint holds. If its load can't end in time it
// refuses the request, which may come back when the load has ended.
func (h *Handler) await(c *call, service fleet.Service) bool {
	ready := replica.TimeToReady(service.Engine.Models[c.req.ModelName.Model], service.Name, h.fleet.States())
	most := mostWait(c.limit.Sub(c.began), c.route.ClientIdleTimeout())
	if ready > most || time.Since(c.began) > most {
		h.fleet.RecordDemand(service.Name, c.req.ModelName.Model, c.req.PromptTokens(), c.req.OutputTokens)
		h.refuse(c, "no_endpoint", ready)
		return false
	}
	if h.fleet.AwaitStateChange(c.ctx, service.Name, c.req.ModelName.Model) != nil {
		h.refuse(c, "no_endpoint", noEndpointWait)
		return false
	}
	return true
}

// patienceShare is the part of a client's patience that may pass before its request is sent;
// the rest is left for the queue and the first event.
const patienceShare = 0.75

// mostWait returns how long a request may wait for a model when it has some time in all
// and its client leaves after a time without an event. Half of the time is left for the
// queue and the answer. A client that left gets nothing; one that is refused comes back.
func mostWait(whole, patience time.Duration) time.Duration {
	most := whole / 2
	if patience > 0 {
		most = min(most, time.Duration(patienceShare*float64(patience)))
	}
	return most
}

// attempt sends the request to one endpoint.
func (h *Handler) attempt(c *call, e fleet.Endpoint) verdict {
	first, end := h.track.begin(e, c.req, c.choice.PrefillTokens)
	defer end()
	if c.req.ModelName.Model != "" {
		defer h.fleet.TrackRunning(c.req.Service, c.req.ModelName.Model)()
	}
	hd := h.cfg.Headers.request(c.in.Header)
	left := time.Until(c.limit)
	hd.Set(h.cfg.Headers.Deadline, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	hd.Set(h.cfg.Headers.ExpectInstance, e.ID)
	if c.req.ModelName.Model != "" {
		hd.Set(h.cfg.Headers.Priority, strconv.Itoa(priority(c.route)))
	}
	if c.lastID != "" {
		hd.Set(h.cfg.Headers.LastEventID, c.lastID)
	}
	sent := time.Now()
	resp, err := h.pool.Do(c.ctx, poolKey(e), e.Address, &http1.Request{
		Method: c.in.Method, Target: c.in.RequestURI, Host: c.in.Host, Header: hd, Body: c.body, Trailer: h.cfg.Headers.request(c.in.Trailer),
		IDHeader: h.cfg.Headers.RequestID, ID: c.id,
	})
	if err != nil {
		return h.failed(c, e, err)
	}
	defer resp.Close()
	if resp.Header.Get(h.cfg.Headers.NotRun) != "" || resp.Status == http.StatusMisdirectedRequest {
		if self := resp.Header.Get(h.cfg.Headers.InstanceID); self != "" && self != e.ID {
			// The address has a new owner; the registration is of the one before.
			h.track.unreached(e)
		} else {
			h.track.result(e, true)
		}
		if resp.Status == http.StatusServiceUnavailable {
			// The endpoint is full: the estimate of its work doesn't know its places.
			h.crowd(c)
		}
		return another{reason: "turned_away_" + strconv.Itoa(resp.Status)}
	}
	if resp.Status >= http.StatusOK && resp.Status < http.StatusMultipleChoices && resp.Header.Get(h.cfg.Headers.Signature) == "" {
		h.track.result(e, false)
		return another{ran: true, reason: "unsigned"}
	}
	begin := func() {
		first()
		if c.first == 0 {
			c.first = time.Since(c.began)
			h.track.latency(e, c.req, c.choice, time.Since(sent))
			h.track.kept(e, c.req.Parts, c.req.SharedParts)
		}
	}
	if c.begun && resp.Status != http.StatusOK {
		h.track.result(e, false)
		return another{ran: true, reason: "resume_failed_" + strconv.Itoa(resp.Status)}
	}
	if c.route.Kind == fleet.Stream && resp.Status == http.StatusOK {
		return h.stream(c, e, resp, begin)
	}
	return h.plain(c, e, resp, begin)
}

// priority maps a route's rank to the engines' range, whose middle is for requests without one.
func priority(r fleet.Route) int { return min(9, 3+r.Priority) }

// failed judges an attempt that has no answer.
func (h *Handler) failed(c *call, e fleet.Endpoint, err error) verdict {
	var he *http1.Error
	if !errors.As(err, &he) {
		he = &http1.Error{Stage: http1.Sent, Cause: err}
	}
	if c.ctx.Err() == nil {
		if he.Stage == http1.Unsent {
			h.track.unreached(e)
		} else if !he.Reused {
			h.track.result(e, false)
		}
	}
	return another{ran: he.Stage != http1.Unsent, broken: he.Stage != http1.Unsent && c.ctx.Err() == nil, reason: he.Error()}
}
