package entry

import (
	"context"
	"time"

	"chervilhead/internal/state/fault"
	"chervilhead/internal/state/plan"
	"chervilhead/internal/state/retry"
	"chervilhead/internal/state/sets"
)

// report notes what an attempt's result says of its endpoint.
func (e *Entry) report(ctx context.Context, endpoint string, res result) {
	total := len(e.view.Load().plan.Endpoints)
	e.mu.Lock()
	defer e.mu.Unlock()
	before := e.fleet.EjectedCount()
	switch {
	case res.outcome == fault.OutcomeComplete:
		e.fleet = e.fleet.WithSuccess(endpoint)
	case ctx.Err() == nil && retry.EndpointFailed(res.err):
		e.fleet = e.fleet.WithFailure(endpoint, total, time.Now())
	default:
		e.fleet = e.fleet.WithoutProbe(endpoint)
	}
	if after := e.fleet.EjectedCount(); after != before {
		e.log.WithField("endpoint", endpoint).WithField("ejected", after).WithField("endpoints", total).Info("routing: ejected endpoints changed")
	}
}

// keepKnown forgets failing endpoints that are not in the plan.
func (e *Entry) keepKnown(p plan.Plan) {
	known := sets.Of[string]()
	for _, ep := range p.Endpoints {
		known.Add(ep.ID)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fleet = e.fleet.WithOnlyKnown(known.Has)
}

// earn adds a fresh request to its group's retry budget.
func (e *Entry) earn(group string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.budgets[group] = e.budgets[group].WithRequest()
}

// decide applies the retry policy and the group's budget.
func (e *Entry) decide(req *request, f retry.RequestState) retry.Decision {
	now, crashed, fp := time.Now(), retry.EngineCrashed(f.Err), ""
	if crashed {
		fp = req.fingerprint()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	f.Charged = crashed && e.charges.Covers(fp, now)
	d, b := retry.DefaultPolicy().Decide(f, e.budgets[req.group], now, e.rand.Float64())
	if crashed && b != e.budgets[req.group] {
		e.charges.Add(fp, now)
	}
	e.budgets[req.group] = b
	return d
}
