package load

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"chervilhead/internal/protocol/engine"
	"chervilhead/internal/protocol/openai"
	"chervilhead/internal/state/fault"
)

// Run sends the requests that the settings describe and returns once each has ended.
// Cancelling ctx ends the run early. Run calls progress every second with the results
// so far, unless it is nil.
func Run(ctx context.Context, cfg Settings, progress func(Summary)) (*Result, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	r := &runner{
		cfg: cfg, res: newResult(cfg), slots: make(chan struct{}, cfg.MaxInFlight),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: cfg.MaxInFlight, DisableCompression: true}},
	}
	defer r.client.CloseIdleConnections()
	progressCtx, stop := context.WithCancel(ctx)
	var reporting sync.WaitGroup
	if progress != nil {
		reporting.Go(func() { r.reportProgress(progressCtx, progress) })
	}
	r.sendAll(ctx)
	r.inFlight.Wait()
	stop()
	reporting.Wait()
	r.res.end(time.Now())
	return r.res, nil
}

type runner struct {
	cfg      Settings
	res      *Result
	client   *http.Client
	slots    chan struct{}
	inFlight sync.WaitGroup
}

// sendAll starts every request at its intended time, without waiting for answers.
func (r *runner) sendAll(ctx context.Context) {
	gen := newGenerator(r.cfg)
	start := time.Now()
	r.res.begin(start)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		pr, ok := gen.next()
		if !ok {
			return
		}
		intended := start.Add(pr.offset)
		timer.Reset(time.Until(intended))
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		select {
		case r.slots <- struct{}{}:
		default:
			r.res.count(outcomeDropped, pr)
			continue
		}
		r.inFlight.Go(func() {
			defer func() { <-r.slots }()
			r.sendOne(ctx, pr, intended)
		})
	}
}

// sendOne sends a request and records its outcome and latencies.
func (r *runner) sendOne(ctx context.Context, pr plannedRequest, intended time.Time) {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.Timeout)
	defer cancel()
	onFirstToken := func() {}
	if pr.cancel && pr.stream {
		onFirstToken = cancel
	} else if pr.cancel {
		defer time.AfterFunc(r.cfg.CancelAfter, cancel).Stop()
	}
	a := &answer{}
	err := r.exchange(ctx, pr, a, onFirstToken)
	if pr.cancel && errors.Is(ctx.Err(), context.Canceled) {
		a.outcome = outcomeCancelled
	} else if err != nil || a.outcome == "" {
		a.outcome = r.inferOutcome(a, err)
	}
	r.res.record(pr, a, intended, time.Now())
}

// inferOutcome returns the outcome of a request that failed or whose response carried none.
// Engines never send an outcome, so that a direct request with a whole answer is complete.
func (r *runner) inferOutcome(a *answer, err error) string {
	switch {
	case r.cfg.Direct && err == nil && a.ended:
		return string(fault.OutcomeComplete)
	case a.outcome != "" && a.outcome != string(fault.OutcomeComplete):
		return a.outcome
	default:
		return outcomeBroken
	}
}

func (r *runner) exchange(ctx context.Context, pr plannedRequest, a *answer, onFirstToken func()) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, pr.target+pr.path, bytes.NewReader(pr.body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	if pr.bearerKey != "" {
		req.Header.Set("Authorization", "Bearer "+pr.bearerKey)
	}
	if r.cfg.Direct {
		// The engine's request ID must be unique among the requests that it runs.
		req.Header.Set(engine.HeaderRequestID, pr.idempotencyKey)
	} else {
		req.Header.Set(openai.HeaderIdempotencyKey, pr.idempotencyKey)
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return a.readResponse(resp, pr, onFirstToken)
}

func (r *runner) reportProgress(ctx context.Context, progress func(Summary)) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C:
			progress(r.res.Summary(now))
		case <-ctx.Done():
			return
		}
	}
}
