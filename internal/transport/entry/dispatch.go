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

// request is one caller's request as the dispatcher sees it.
type request struct {
	id           string
	group        string
	model        string
	kind         wire.AttemptKind
	body         []byte
	call         *wire.HTTPRequest
	stream       bool
	idempotent   bool
	priority     int
	promptTokens int
	maxTokens    int
	// hash is the fingerprint once it is known.
	hash string
	// marks describes the beginnings of the prompt.
	marks prefix.Digests
	// home is what the request's homes are chosen by.
	home string
	// startBy is the time after which the request may not start.
	startBy time.Time
}

// result is how a request or an attempt ended.
type result struct {
	outcome fault.Outcome
	err     *fault.Error
	usage   *wire.Usage
}

// sink takes the items of an answer in order, each exactly once. An error means
// that the caller has gone away.
type sink func(items []json.RawMessage) error

// dispatch runs a request to its one outcome.
func (e *Entry) dispatch(ctx context.Context, req *request, out sink) result {
	meter := e.cfg.Metrics.begin(req)
	out = meter.sink(out)
	if ferr := e.refusePoison(req); ferr != nil {
		return meter.end(result{outcome: fault.OutcomeNotRun, err: ferr})
	}
	ticket, ferr := e.admit(req)
	if ferr != nil {
		return meter.end(result{outcome: fault.OutcomeNotRun, err: ferr})
	}
	total := result{outcome: fault.OutcomeNotRun}
	defer func() { ticket.Done(tokensOf(req, total)) }()
	where := tried{endpoints: sets.Of[string](), domains: sets.Of[string]()}
	facts := retry.RequestState{Idempotent: req.idempotent, StartBy: req.startBy}
	waits := false
	deliver := func(items []json.RawMessage) error {
		if waits && !facts.Delivered {
			e.loaded(req)
		}
		facts.Delivered = facts.Delivered || len(items) > 0
		return out(items)
	}
	defer e.track(req)()
	e.earn(req.group)
	for {
		waited, ferr := e.await(ctx, req)
		if ferr != nil {
			total.outcome = retry.CombineOutcomes(total.outcome, fault.OutcomeNotRun)
			if total.outcome == fault.OutcomeNotRun {
				total = result{outcome: fault.OutcomeNotRun, err: ferr}
			}
			return meter.end(conclude(total))
		}
		waits = waits || waited
		facts.Attempts++
		res, sent := noEndpoint(), false
		if c, ok := e.choose(ctx, req, where); ok {
			e.remember(req, c.Endpoint)
			where.endpoints.Add(c.Endpoint)
			where.domains.Add(c.FailureDomain)
			res, sent = e.attempt(ctx, req, c, deliver)
			meter.attempt(res.outcome)
			meter.prompt(c, res.usage)
			e.report(ctx, c.Endpoint, res)
		}
		facts.Dispatched = facts.Dispatched || sent
		facts.Outcome, facts.Err = res.outcome, res.err
		// The error of the attempt that decided the outcome is the caller's.
		if retry.CombineOutcomes(total.outcome, res.outcome) == res.outcome {
			total = res
		}
		if !e.again(ctx, req, facts) {
			return meter.end(conclude(total))
		}
	}
}

func noEndpoint() result {
	return result{outcome: fault.OutcomeNotRun, err: fault.New(fault.Unavailable, "no_endpoint", "no endpoint can run the request now", "retry later")}
}

// defaultRetryAfter is sent with a request that was not run where no part of the system knows better.
const defaultRetryAfter = time.Second

// conclude completes the error of a request's result.
func conclude(res result) result {
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

// again reports whether another attempt is safe and useful, after waiting for its backoff.
func (e *Entry) again(ctx context.Context, req *request, facts retry.RequestState) bool {
	if ctx.Err() != nil {
		return false
	}
	var wait time.Duration
	switch d := e.decide(req, facts).(type) {
	case retry.Stop:
		e.log.WithField("request", req.id).WithField("outcome", facts.Outcome).WithField("reason", d.Reason).Debug("request is not tried again")
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

// attempt dispatches a request to one agent and follows it to its end.
// It reports whether anything was sent: without a connection nothing was.
func (e *Entry) attempt(ctx context.Context, req *request, c route.Candidate, out sink) (result, bool) {
	e.addInFlight(c.Endpoint, 1)
	defer e.addInFlight(c.Endpoint, -1)
	link, err := e.pool.Get(ctx, c.Address)
	if err != nil {
		return result{outcome: fault.OutcomeNotRun, err: fault.As(err)}, false
	}
	f := &follower{e: e, req: req, address: c.Address, link: link, out: out, start: wire.Start{
		AttemptID: ident.New("att-"), Incarnation: link.HelloReply.Incarnation, Group: req.group, Model: req.model,
		Kind: req.kind, Stream: req.stream, Body: req.body, HTTPRequest: req.call, Priority: req.priority,
		StartByMillis: link.RemoteClockMillis(req.startBy), Idempotent: req.idempotent,
		Fingerprint: req.fingerprint(), HomeKey: req.home, Prefix: req.marks, PromptTokens: req.promptTokens,
		MaxTokens: req.maxTokens, Versions: e.docs.Versions(),
	}}
	f.in = e.openInbox(f.start.AttemptID, f.start.Incarnation)
	defer e.closeInbox(f.start.AttemptID)
	return f.run(ctx)
}

func (e *Entry) addInFlight(endpoint string, n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inFlight[endpoint] += n
	if e.inFlight[endpoint] == 0 {
		delete(e.inFlight, endpoint)
	}
}
