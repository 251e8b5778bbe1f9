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
	"chervilhead/internal/state/ramp"
	"chervilhead/internal/state/replica"
	"chervilhead/internal/transport/guard"
)

// attemptResult is the result of one attempt.
type attemptResult interface{ attemptResult() }

type (
	// attemptDone means that the client has its response.
	attemptDone struct{}
	// attemptFailed means that the client has no complete response; the request may be retried.
	attemptFailed struct {
		// mayHaveRun is set when the endpoint may have run the request.
		mayHaveRun bool
		// connectionBroken is set when the connection broke while the endpoint had the request.
		connectionBroken bool
		reason           string
		// response is the endpoint's error response, which the client gets if no retry succeeds.
		response *bufferedResponse
	}
)

func (attemptDone) attemptResult()   {}
func (attemptFailed) attemptResult() {}

const (
	// maxAttempts bounds the attempts of a request, also while no endpoint runs it.
	maxAttempts = 4
	// minTimeLeft is the remaining time below which a request is no longer dispatched.
	minTimeLeft = 20 * time.Millisecond
)

// nextStep is what to do with a request that has no response yet.
type nextStep interface{ nextStep() }

type (
	// dispatch means that the request goes to an endpoint.
	dispatch struct {
		state fleet.State
		// allowedAt is when the endpoint's rate limit, or the end of its pause, allows the request.
		allowedAt time.Time
	}
	// chooseAgain means that endpoint states may have changed and the choice is repeated.
	chooseAgain struct{}
	// responded means that the client has its response.
	responded struct{}
	// exhausted means that no further attempt is made.
	exhausted struct{ reason string }
)

func (dispatch) nextStep()    {}
func (chooseAgain) nextStep() {}
func (responded) nextStep()   {}
func (exhausted) nextStep()   {}

// serve dispatches the request to endpoints until it has a response.
func (h *Handler) serve(c *call, service fleet.Service) {
	if service.Engine != nil {
		if _, known := service.Engine.Models[c.req.ModelName.Model]; !known {
			// No endpoint can load a model that the configuration doesn't name.
			h.reject(c, "unknown_model", time.Second)
			return
		}
	}
	h.awaitCrashReports(c)
	if h.blocked(c, false) {
		h.rejectPoison(c)
		return
	}
	defer c.releaseWindow()
	var last attemptFailed
	for c.attempts < maxAttempts && time.Until(c.deadline) >= minTimeLeft && c.ctx.Err() == nil {
		var e fleet.Endpoint
		var allowedAt time.Time
		switch step := h.choose(c, service).(type) {
		case chooseAgain:
			continue
		case responded:
			return
		case exhausted:
			last.reason += step.reason
			h.giveUp(c, last)
			return
		case dispatch:
			e, allowedAt = step.state.Endpoint, step.allowedAt
		}
		if c.choice.LoadAdapter {
			if err := h.loadAdapter(c, e); err != nil {
				h.recordNoAdapterSlot(c, e)
				last.reason = "adapter_not_loaded"
				h.logFailedAttempt(c, attemptFailed{reason: err.Error()})
				continue
			}
		}
		waits := c.choice.LoadAdapter || time.Now().Before(allowedAt)
		if !h.awaitStart(c, allowedAt) || waits && !h.takesRequests(e) {
			continue
		}
		if h.blocked(c, true) {
			// It became known while the request waited, or by its own attempts.
			if c.possibleRuns == 0 {
				h.rejectPoison(c)
			} else {
				h.giveUp(c, last)
			}
			return
		}
		if !h.reauthorize(c) {
			return
		}
		c.attempts++
		h.recordAhead(c, e)
		switch res := h.attempt(c, e).(type) {
		case attemptDone:
			h.recordCompletion(c, time.Now())
			return
		case attemptFailed:
			last = res
			if !h.mayContinue(c, e, res) {
				h.giveUp(c, last)
				return
			}
		}
	}
	h.giveUp(c, last)
}

// takesRequests reports whether an endpoint incarnation is still known, doesn't leave and has no
// pause; all may change while a request for it waits.
func (h *Handler) takesRequests(e fleet.Endpoint) bool {
	if h.tracker.pauses.Left(e.IncarnationID(), time.Now()) > 0 {
		return false
	}
	for _, s := range h.control.States() {
		if s.ID == e.ID {
			return !s.Leaving && s.IncarnationID() == e.IncarnationID()
		}
	}
	return false
}

// rejectPoison rejects a request that would crash the endpoint that runs it.
func (h *Handler) rejectPoison(c *call) {
	h.reject(c, "crashes_endpoints", time.Until(c.deadline)/retryAfterDivisor)
}

// choose selects the endpoint for the next attempt; without one it waits, rejects the request
// or returns why no further attempt is made.
func (h *Handler) choose(c *call, service fleet.Service) nextStep {
	states := h.states(c)
	if versionGone(c, states) {
		return h.rejectVersionGone(c)
	}
	c.releaseWindow()
	now := time.Now()
	gateways := h.control.GatewayBound()
	opts := h.optionsFor(c, service, states, gateways, now)
	candidates := opts.candidates
	h.tracker.ramps.considered(candidates, gateways, now)
	ch, ok := h.bestOf(c, opts, now)
	switch {
	case ok:
	case len(c.noAdapterSlot) > 0 && h.awaitAdapterSlot(c):
		return chooseAgain{}
	case c.possibleRuns == 0 && pick.PauseLeft(c.req, candidates, now) > 0:
		h.recordNoCapacity(c)
		h.reject(c, "paused", h.returnAfter(pick.PauseLeft(c.req, candidates, now)))
		return responded{}
	case len(c.req.Tried) > 0:
		return exhausted{}
	case service.Engine == nil:
		h.reject(c, "no_endpoint", noEndpointRetryAfter)
		return responded{}
	case h.control.KeepersAbsent(service.Name):
		// Nobody can load what no endpoint holds.
		h.reject(c, "no_keeper", time.Until(c.deadline)/retryAfterDivisor)
		return responded{}
	case !h.awaitModel(c, service):
		return responded{}
	default:
		return chooseAgain{}
	}
	c.choice = ch
	h.recordRedirect(c, service, now)
	if !c.demandRecorded && len(c.req.Tried) == 0 && c.req.ModelName.Model != "" {
		c.demandRecorded = true
		h.control.RecordDemand(service.Name, c.req.ModelName.Model, ch.PrefillTokens, c.req.OutputTokens)
	}
	left := time.Until(c.deadline)
	if waitsTooLong(c, ch) {
		// Other gateways have shares of their own, and the planner may add a replica.
		h.recordNoCapacity(c)
		h.reject(c, "rate_limited", min(ch.StartWait, left/retryAfterDivisor))
		return responded{}
	}
	if c.attempts == 0 && h.tooLate(c, ch) {
		h.reject(c, "too_late", left/retryAfterDivisor)
		return responded{}
	}
	chosen := candidateOf(candidates, ch.ID)
	if !h.takeWindow(c, chosen, now) {
		return chooseAgain{}
	}
	wait, ok := h.tracker.reserveRequest(chosen.State.Endpoint, gateways, ch.StartWait)
	if !ok {
		return chooseAgain{}
	}
	if c.attempts > 0 && !h.takeRetry(c, service.Name, gateways) {
		return exhausted{",no_budget"}
	}
	if st := chosen.State; st.StatusSupersedes {
		c.reportAge = now.Sub(st.Status.ReceivedAt)
	}
	return dispatch{chosen.State, now.Add(max(wait, chosen.PauseLeft))}
}

// tooLate reports whether a choice can't serve the request before its deadline, or before its
// client gives up.
func (h *Handler) tooLate(c *call, ch pick.Choice) bool {
	return ch.TimeToLastToken(c.req.OutputTokens) > time.Until(c.deadline) || h.exceedsIdleTimeout(c, ch)
}

// waitsTooLong reports whether the wait for the endpoint's rate limit or pause leaves too little
// time for the response.
func waitsTooLong(c *call, ch pick.Choice) bool {
	return ch.StartWait > 0 && time.Since(c.began)+ch.StartWait > maxModelWait(c.deadline.Sub(c.began), c.route.ClientIdleTimeout())
}

// exceedsIdleTimeout reports whether the client would give up before the first event.
func (h *Handler) exceedsIdleTimeout(c *call, ch pick.Choice) bool {
	idleTimeout := c.route.ClientIdleTimeout()
	return idleTimeout > 0 && time.Since(c.began)+ch.StartWait+ch.Estimate > idleTimeout
}

// recordNoAdapterSlot records that an endpoint did not load the request's adapter.
func (h *Handler) recordNoAdapterSlot(c *call, e fleet.Endpoint) {
	c.req.Tried = append(c.req.Tried, e.ID)
	c.noAdapterSlot = append(c.noAdapterSlot, e.ID)
	h.recordNoCapacity(c)
}

// recordNoCapacity tells the planner, once per request, that a request for a model found no
// free slot or adapter slot.
func (h *Handler) recordNoCapacity(c *call) {
	if c.noCapacityRecorded || c.req.ModelName.Model == "" {
		return
	}
	c.noCapacityRecorded = true
	h.control.RecordNoCapacity(c.req.Service, c.req.ModelName.Model)
}

// mayContinue records a failed attempt and reports whether the request may go to another endpoint.
func (h *Handler) mayContinue(c *call, e fleet.Endpoint, res attemptFailed) bool {
	c.req.Tried = append(c.req.Tried, e.ID)
	h.logFailedAttempt(c, res)
	if res.connectionBroken {
		h.tracker.recordBroken(e)
		suspected := h.suspectedOf(c, e)
		h.whenEnded(e, func(ended bool) {
			h.metrics.brokenConns.WithLabelValues(strconv.FormatBool(ended)).Inc()
			if ended {
				h.recordCrash(suspected, time.Now())
			}
		})
	}
	if !res.mayHaveRun {
		return true
	}
	c.possibleRuns++
	if c.trial {
		return false
	}
	return c.route.Repeatable() && c.possibleRuns < c.route.MaxAttempts && (!c.responseBegun || c.lastEventID != "" && c.bound)
}

const (
	// adapterSlotPoll is the pause before endpoints whose adapter slots were all in use are
	// asked again.
	adapterSlotPoll = 150 * time.Millisecond
	// adapterSlotWaitShare is the share of the time from a request's arrival to its deadline
	// after which it no longer waits for an adapter slot.
	adapterSlotWaitShare = 0.15
)

// awaitAdapterSlot waits until the endpoints without a free adapter slot may have one; it
// returns false when the request may wait no longer.
func (h *Handler) awaitAdapterSlot(c *call) bool {
	if float64(time.Since(c.began)) > adapterSlotWaitShare*float64(c.deadline.Sub(c.began)) {
		return false
	}
	t := time.NewTimer(adapterSlotPoll)
	defer t.Stop()
	select {
	case <-t.C:
	case <-c.ctx.Done():
		return false
	}
	c.req.Tried = slices.DeleteFunc(c.req.Tried, func(id string) bool { return slices.Contains(c.noAdapterSlot, id) })
	c.noAdapterSlot = nil
	return true
}

// noEndpointRetryAfter is the Retry-After while no endpoint is usable. It is longer than the
// interval at which the view of the store is refreshed, so that a retry meets a newer view.
const noEndpointRetryAfter = 700 * time.Millisecond

func candidateOf(list []pick.Candidate, id string) pick.Candidate {
	for _, c := range list {
		if c.State.ID == id {
			return c
		}
	}
	return pick.Candidate{}
}

const (
	// pauseObjectiveShare is the part of its objective in which a request waits for the end of an
	// endpoint's pause; the rest is left for its answer to be on time.
	pauseObjectiveShare = 0.5
	// adapterLoadObjectiveShare is the part of its objective that a request waits for an adapter
	// at one endpoint. It is at least minAdapterLoadTimeout, in which a lost datagram to the
	// keeper is sent again, and at most maxAdapterLoadTimeout: a load takes some milliseconds.
	adapterLoadObjectiveShare = 0.5
	minAdapterLoadTimeout     = 120 * time.Millisecond
	maxAdapterLoadTimeout     = 300 * time.Millisecond
	// dialObjectiveShare is the part of its objective in which a connection must open for a
	// request. It is at least minDialTimeout, several round trips, and at most the pool's own
	// timeout.
	dialObjectiveShare = 0.5
	minDialTimeout     = 80 * time.Millisecond
)

// adapterLoadTimeout bounds a request's wait for an adapter at one endpoint.
func adapterLoadTimeout(r fleet.Route) time.Duration {
	if r.Objective <= 0 {
		return maxAdapterLoadTimeout
	}
	return min(maxAdapterLoadTimeout, max(minAdapterLoadTimeout, time.Duration(adapterLoadObjectiveShare*float64(r.Objective))))
}

// dialTimeout bounds the opening of a connection for a request; 0 leaves it to the pool.
func dialTimeout(r fleet.Route) time.Duration {
	if r.Objective <= 0 {
		return 0
	}
	return max(minDialTimeout, time.Duration(dialObjectiveShare*float64(r.Objective)))
}

func (h *Handler) loadAdapter(c *call, e fleet.Endpoint) error {
	ctx, cancel := context.WithTimeout(c.ctx, adapterLoadTimeout(c.route))
	defer cancel()
	return h.control.LoadAdapter(ctx, e, c.req.ModelName)
}

// awaitModel waits for a model that is resident on no usable endpoint. If its load can't end
// in time it rejects the request, with a Retry-After at which the load may have ended.
func (h *Handler) awaitModel(c *call, service fleet.Service) bool {
	ready := replica.TimeToReady(service.Engine.Models[c.req.ModelName.Model], service.Name, h.states(c))
	maxWait := maxModelWait(c.deadline.Sub(c.began), c.route.ClientIdleTimeout())
	if ready > maxWait || time.Since(c.began) > maxWait {
		h.control.RecordDemand(service.Name, c.req.ModelName.Model, c.req.PromptTokens(), c.req.OutputTokens)
		h.reject(c, "no_endpoint", ready)
		return false
	}
	if h.control.AwaitStateChange(c.ctx, service.Name, c.req.ModelName.Model) != nil {
		h.reject(c, "no_endpoint", noEndpointRetryAfter)
		return false
	}
	return true
}

// idleTimeoutShare is the share of a client's idle timeout that its request may wait for a
// model; the rest is left for the queue and the first event.
const idleTimeoutShare = 0.75

// maxModelWait returns how long a request may wait for a model, given its total time and the
// time without an event after which its client leaves (0 if none). Half of the total time is
// left for the queue and the response. A client that left gets nothing, but one whose request
// is rejected retries it.
func maxModelWait(total, idleTimeout time.Duration) time.Duration {
	wait := total / 2
	if idleTimeout > 0 {
		wait = min(wait, time.Duration(idleTimeoutShare*float64(idleTimeout)))
	}
	return wait
}

// attempt dispatches the request to one endpoint.
func (h *Handler) attempt(c *call, e fleet.Endpoint) attemptResult {
	c.answerBegun = false
	first, end := h.tracker.beginRequest(e, c.req, c.choice.PrefillTokens)
	defer end()
	if c.req.ModelName.Model != "" {
		defer h.control.TrackRunning(c.req.Service, c.req.ModelName.Model)()
	}
	hd := h.cfg.Headers.requestHeader(c.in.Header)
	left := time.Until(c.deadline)
	hd.Set(h.cfg.Headers.Deadline, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	hd.Set(h.cfg.Headers.ExpectInstance, e.ID)
	if c.req.ModelName.Model != "" {
		hd.Set(h.cfg.Headers.Priority, strconv.Itoa(h.enginePriority(c, e, c.priority())))
	}
	if c.group.Name != "" {
		hd.Set(h.cfg.Headers.Group, c.group.Name)
	}
	if c.lastEventID != "" {
		hd.Set(h.cfg.Headers.LastEventID, c.lastEventID)
	}
	sent := time.Now()
	resp, err := h.pool.Do(c.ctx, poolKey(e), e.Address, &http1.Request{
		Method: c.in.Method, Target: c.in.RequestURI, Host: c.in.Host, Header: hd, Body: c.body.Segments(), Trailer: h.cfg.Headers.requestHeader(c.in.Trailer),
		IDHeader: h.cfg.Headers.RequestID, ID: c.id, DialTimeout: dialTimeout(c.route),
		BeforeSend: func() error {
			if h.tracker.pauses.Left(e.IncarnationID(), time.Now()) > 0 {
				return errPaused
			}
			c.sentAt = time.Now()
			return nil
		},
		Reserve: func(bytes int64) error { return guard.Reserve(c.in, bytes) },
		OnHead:  func(status int, header http.Header) { h.recordNotices(e, status, header) },
	})
	if err != nil {
		return h.requestFailed(c, e, err)
	}
	defer resp.Close()
	c.framing = resp.Framing.String()
	h.recordRateLimit(e, resp)
	if resp.Header.Get(h.cfg.Headers.NotRun) != "" || resp.Status == http.StatusMisdirectedRequest {
		if id := resp.Header.Get(h.cfg.Headers.InstanceID); id != "" && id != e.ID {
			// Another endpoint has taken the address over; the registration is outdated.
			h.tracker.recordConnectFailure(e)
		} else {
			h.tracker.recordResult(e, true)
			if resp.Status != http.StatusMisdirectedRequest {
				h.tracker.ramps.record(e, ramp.TurnedAway{}, time.Now())
			}
		}
		if resp.Status == http.StatusServiceUnavailable {
			// All slots are in use, which the latency estimate doesn't show.
			h.recordNoCapacity(c)
		}
		return attemptFailed{reason: "turned_away_" + strconv.Itoa(resp.Status)}
	}
	if resp.Status >= http.StatusOK && resp.Status < http.StatusMultipleChoices && resp.Header.Get(h.cfg.Headers.Signature) == "" {
		h.tracker.recordResult(e, false)
		return attemptFailed{mayHaveRun: true, reason: "unsigned"}
	}
	onFirst := func() {
		first()
		if c.timeToFirstEvent == 0 {
			c.timeToFirstEvent = time.Since(c.began)
			h.tracker.recordLatency(e, c.req, c.choice, time.Since(sent))
			h.tracker.recordPrefill(e, c.req.Parts, c.req.SharedParts)
		}
	}
	if c.responseBegun && resp.Status != http.StatusOK {
		h.tracker.recordResult(e, false)
		return attemptFailed{mayHaveRun: true, reason: "resume_failed_" + strconv.Itoa(resp.Status)}
	}
	if c.route.Kind == fleet.Stream && resp.Status == http.StatusOK {
		return h.relayStream(c, e, resp, onFirst)
	}
	return h.relayPlain(c, e, resp, onFirst)
}

// errPaused keeps a request from being sent that got its connection in its endpoint's pause.
var errPaused = errors.New("the endpoint has asked for a pause")

// requestFailed classifies an attempt that got no response and updates the health record.
func (h *Handler) requestFailed(c *call, e fleet.Endpoint, err error) attemptResult {
	var he *http1.Error
	if !errors.As(err, &he) {
		he = &http1.Error{Stage: http1.Sent, Cause: err}
	}
	if c.ctx.Err() == nil && !errors.Is(err, errPaused) {
		if he.Stage == http1.Unsent {
			h.tracker.recordConnectFailure(e)
		} else if !he.Reused {
			h.tracker.recordResult(e, false)
		}
	}
	return attemptFailed{mayHaveRun: he.Stage != http1.Unsent, connectionBroken: he.Stage != http1.Unsent && c.ctx.Err() == nil, reason: he.Error()}
}
