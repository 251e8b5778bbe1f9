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

// Run sends the planned requests and returns once each has ended. Cancelling ctx
// ends the run early. watch is called every second with the results so far; it may be nil.
func Run(ctx context.Context, cfg Settings, watch func(Summary)) (*Result, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	r := &runner{
		cfg: cfg, res: newResult(cfg), slots: make(chan struct{}, cfg.MaxInFlight),
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: cfg.MaxInFlight, DisableCompression: true}},
	}
	defer r.http.CloseIdleConnections()
	wctx, stop := context.WithCancel(ctx)
	var watching sync.WaitGroup
	if watch != nil {
		watching.Go(func() { r.report(wctx, watch) })
	}
	r.send(ctx)
	r.work.Wait()
	stop()
	watching.Wait()
	r.res.end(time.Now())
	return r.res, nil
}

type runner struct {
	cfg   Settings
	res   *Result
	http  *http.Client
	slots chan struct{}
	work  sync.WaitGroup
}

// send starts every request at its intended time, without waiting for answers.
func (r *runner) send(ctx context.Context) {
	p := newPlanner(r.cfg)
	start := time.Now()
	r.res.begin(start)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		s, ok := p.next()
		if !ok {
			return
		}
		intended := start.Add(s.at)
		timer.Reset(time.Until(intended))
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		select {
		case r.slots <- struct{}{}:
		default:
			r.res.count(outcomeDropped, s)
			continue
		}
		r.work.Go(func() {
			defer func() { <-r.slots }()
			r.one(ctx, s, intended)
		})
	}
}

// one sends a request and records how it ended.
func (r *runner) one(ctx context.Context, s shot, intended time.Time) {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.Timeout)
	defer cancel()
	atFirst := func() {}
	if s.cancel && s.stream {
		atFirst = cancel
	} else if s.cancel {
		defer time.AfterFunc(r.cfg.CancelAfter, cancel).Stop()
	}
	a := &answer{}
	err := r.exchange(ctx, s, a, atFirst)
	if s.cancel && errors.Is(ctx.Err(), context.Canceled) {
		a.outcome = outcomeCancelled
	} else if err != nil || a.outcome == "" {
		a.outcome = r.missing(a, err)
	}
	r.res.record(s, a, intended, time.Now())
}

// missing names the outcome of a request that carried none. An engine sends none at all.
func (r *runner) missing(a *answer, err error) string {
	switch {
	case r.cfg.Direct && err == nil && a.done:
		return string(fault.OutcomeComplete)
	case a.outcome != "" && a.outcome != string(fault.OutcomeComplete):
		return a.outcome
	default:
		return outcomeBroken
	}
}

func (r *runner) exchange(ctx context.Context, s shot, a *answer, atFirst func()) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.target+s.path, bytes.NewReader(s.body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	if s.key != "" {
		req.Header.Set("Authorization", "Bearer "+s.key)
	}
	if r.cfg.Direct {
		// The engine's own name for the request must be unique among those running.
		req.Header.Set(engine.HeaderRequestID, s.idempotency)
	} else {
		req.Header.Set(openai.HeaderIdempotencyKey, s.idempotency)
	}
	resp, err := r.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return a.read(resp, s, atFirst)
}

func (r *runner) report(ctx context.Context, watch func(Summary)) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C:
			watch(r.res.Summary(now))
		case <-ctx.Done():
			return
		}
	}
}
