package entry

import (
	"context"
	"encoding/json"
	"time"

	"chervilhead/internal/protocol/wire"
	"chervilhead/internal/state/fault"
	"chervilhead/internal/state/ident"
	"chervilhead/internal/state/prefix"
	"chervilhead/internal/state/retry"
	"chervilhead/internal/state/route"
	"chervilhead/internal/state/sets"
)

// request is one caller's request with all that its attempts need.
type request struct {
	id           string
	group        string
	model        string
	kind         wire.AttemptKind
	body         []byte
	httpRequest  *wire.HTTPRequest
	stream       bool
	idempotent   bool
	priority     int
	promptTokens int
	maxTokens    int
	// cachedFingerprint is empty until fingerprint computes it.
	cachedFingerprint string
	// prefixDigests are the digests of the prompt's prefixes.
	prefixDigests prefix.Digests
	// conversationKey is the home key of a chat; it is empty for other requests.
	conversationKey string
	// messageKeys identify the messages of a chat, whatever else it holds.
	messageKeys []uint64
	// trial is set if one of the messages is blocked and the request runs to see whether it still is right.
	trial bool
	// startBy is the time after which the request may not start.
	startBy time.Time
}

// result is the result of a request or of one attempt.
type result struct {
	outcome fault.Outcome
	err     *fault.Error
	usage   *wire.Usage
}

// sink receives the items of an answer in order, each exactly once. It returns an error
// if the caller has disconnected.
type sink func(items []json.RawMessage) error

// dispatch admits a request and runs attempts until its outcome is decided.
func (e *Entry) dispatch(ctx context.Context, req *request, out sink) result {
	meter := e.cfg.Metrics.startMeter(req)
	out = meter.sink(out)
	if ferr := e.rejectPoison(req); ferr != nil {
		return meter.recordOutcome(result{outcome: fault.OutcomeNotRun, err: ferr})
	}
	admission, ferr := e.admit(req)
	if ferr != nil {
		return meter.recordOutcome(result{outcome: fault.OutcomeNotRun, err: ferr})
	}
	combined := result{outcome: fault.OutcomeNotRun}
	defer func() { admission.Done(chargedTokens(req, combined)) }()
	tried := triedTargets{endpoints: sets.Of[string](), domains: sets.Of[string]()}
	state := retry.RequestState{Idempotent: req.idempotent, StartBy: req.startBy}
	awaited, answered := false, false
	deliver := func(items []json.RawMessage) error {
		if len(items) > 0 && !answered {
			answered = true
			e.recordParts(req, "", result{}, true)
		}
		if awaited && !state.Delivered {
			e.recordLoadTime(req)
		}
		state.Delivered = state.Delivered || len(items) > 0
		return out(items)
	}
	defer e.trackChat(req)()
	e.creditRetryBudget(req.group)
	for {
		waited, ferr := e.awaitModel(ctx, req)
		if ferr != nil {
			combined.outcome = retry.CombineOutcomes(combined.outcome, fault.OutcomeNotRun)
			if combined.outcome == fault.OutcomeNotRun {
				combined = result{outcome: fault.OutcomeNotRun, err: ferr}
			}
			return meter.recordOutcome(finalizeError(combined))
		}
		awaited = awaited || waited
		state.Attempts++
		res, sent := noEndpointResult(), false
		if c, ok := e.choose(ctx, req, tried); ok {
			e.recordPrefix(req, c.Endpoint)
			tried.endpoints.Add(c.Endpoint)
			tried.domains.Add(c.FailureDomain)
			answered = false
			res, sent = e.attempt(ctx, req, c, deliver)
			if !answered {
				e.recordParts(req, c.Endpoint, res, false)
			}
			meter.recordAttempt(res.outcome)
			meter.recordPromptTokens(c, res.usage)
			e.recordHealth(ctx, c.Endpoint, res)
		}
		state.Dispatched = state.Dispatched || sent
		state.Outcome, state.Err = res.outcome, res.err
		// The caller gets the error of the attempt that decided the outcome.
		if retry.CombineOutcomes(combined.outcome, res.outcome) == res.outcome {
			combined = res
		}
		if !e.shouldRetry(ctx, req, state) || e.rejectParts(req) {
			return meter.recordOutcome(finalizeError(combined))
		}
	}
}

func noEndpointResult() result {
	return result{outcome: fault.OutcomeNotRun, err: fault.New(fault.Unavailable, "no_endpoint", "no endpoint can run the request now", "retry later")}
}

// defaultRetryAfter is sent with a temporary error that carries no retry time of its own.
const defaultRetryAfter = time.Second

// finalizeError sets the outcome and the retry time of a request's error.
func finalizeError(res result) result {
	if res.err == nil {
		return res
	}
	res.err = res.err.WithOutcome(res.outcome)
	temporary := res.err.Kind == fault.Unavailable || res.err.Kind == fault.RateLimit
	switch {
	case res.outcome == fault.OutcomeUnknown:
		res.err = res.err.WithRetryAfter(0)
	case temporary && res.err.RetryAfter == 0:
		res.err = res.err.WithRetryAfter(defaultRetryAfter)
	}
	return res
}

// shouldRetry reports whether to make another attempt, after waiting for its backoff.
func (e *Entry) shouldRetry(ctx context.Context, req *request, state retry.RequestState) bool {
	if ctx.Err() != nil {
		return false
	}
	var wait time.Duration
	switch d := e.decideRetry(req, state).(type) {
	case retry.Stop:
		e.log.WithField("request", req.id).WithField("outcome", state.Outcome).WithField("reason", d.Reason).Debug("request is not retried")
		return false
	case retry.Again:
		wait = d.Wait
	}
	if wait <= 0 {
		return true
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// attempt dispatches a request to one agent and follows it to its end. It also reports
// whether the request may have been sent; without a connection it was not.
func (e *Entry) attempt(ctx context.Context, req *request, c route.Candidate, out sink) (result, bool) {
	e.addInFlight(c.Endpoint, 1)
	defer e.addInFlight(c.Endpoint, -1)
	conn, err := e.pool.Get(ctx, c.Address)
	if err != nil {
		return result{outcome: fault.OutcomeNotRun, err: fault.As(err)}, false
	}
	f := &follower{e: e, req: req, address: c.Address, conn: conn, out: out, start: wire.Start{
		AttemptID: ident.New("att-"), Incarnation: conn.HelloReply.Incarnation, Group: req.group, Model: req.model,
		Kind: req.kind, Stream: req.stream, Body: req.body, HTTPRequest: req.httpRequest, Priority: req.priority,
		StartByMillis: conn.RemoteClockMillis(req.startBy), Idempotent: req.idempotent,
		Fingerprint: req.fingerprint(), HomeKey: req.conversationKey, Prefix: req.prefixDigests, PromptTokens: req.promptTokens,
		MaxTokens: req.maxTokens, Versions: e.docs.Versions(),
	}}
	f.inbox = e.openInbox(f.start.AttemptID, f.start.Incarnation)
	defer e.closeInbox(f.start.AttemptID)
	return f.run(ctx)
}

func (e *Entry) addInFlight(endpoint string, n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.attemptsInFlight[endpoint] += n
	if e.attemptsInFlight[endpoint] == 0 {
		delete(e.attemptsInFlight, endpoint)
	}
}
