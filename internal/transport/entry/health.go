package entry

import (
	"context"
	"time"

	"chervilhead/internal/state/fault"
	"chervilhead/internal/state/plan"
	"chervilhead/internal/state/retry"
	"chervilhead/internal/state/sets"
)

// recordHealth updates the outlier detection of an endpoint with an attempt's result.
func (e *Entry) recordHealth(ctx context.Context, endpoint string, res result) {
	total := len(e.view.Load().plan.Endpoints)
	e.mu.Lock()
	defer e.mu.Unlock()
	before := e.outliers.EjectedCount()
	switch {
	case res.outcome == fault.OutcomeComplete:
		e.outliers = e.outliers.WithSuccess(endpoint)
	case ctx.Err() == nil && retry.EndpointFailed(res.err):
		e.outliers = e.outliers.WithFailure(endpoint, total, time.Now())
	default:
		e.outliers = e.outliers.WithoutProbe(endpoint)
	}
	if after := e.outliers.EjectedCount(); after != before {
		e.log.WithField("endpoint", endpoint).WithField("ejected", after).WithField("endpoints", total).Info("routing: number of ejected endpoints changed")
	}
}

// retainOutliers drops the failure records of endpoints that are not in the plan.
func (e *Entry) retainOutliers(p plan.Plan) {
	known := sets.Of[string]()
	for _, ep := range p.Endpoints {
		known.Add(ep.ID)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.outliers = e.outliers.WithOnlyKnown(known.Has)
}

// creditRetryBudget credits a new request to its group's retry budget.
func (e *Entry) creditRetryBudget(group string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.retryBudgets[group] = e.retryBudgets[group].WithRequest()
}

// decideRetry applies the retry policy and the group's retry budget. A crash whose
// retry was already charged for an equal request is not charged again.
func (e *Entry) decideRetry(req *request, f retry.RequestState) retry.Decision {
	now, crashed, fp := time.Now(), retry.EngineCrashed(f.Err), ""
	if crashed {
		fp = req.fingerprint()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	f.Charged = crashed && e.crashCharges.Covers(fp, now)
	d, b := retry.DefaultPolicy().Decide(f, e.retryBudgets[req.group], now, e.rng.Float64())
	if crashed && b != e.retryBudgets[req.group] {
		e.crashCharges.Add(fp, now)
	}
	e.retryBudgets[req.group] = b
	return d
}
