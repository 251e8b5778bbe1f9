package entry

import (
	"context"
	"time"

	"chervilhead/internal/coordination/quota"
	"chervilhead/internal/coordination/store"
	"chervilhead/internal/protocol/wire"
	"chervilhead/internal/state/fault"
)

const (
	// limitLeaseTerm is how long an entry uses its parts of the limits without renewal. It
	// bridges short outages of the table service; in a longer one, requests of groups with
	// limits are rejected.
	limitLeaseTerm = 30 * time.Second
	// limitLeaseMargin is subtracted from the term on the entry's side: the longest time
	// between admission and the last check before the start.
	limitLeaseMargin = 2 * time.Second
)

// EnableQuotas makes the entry enforce the groups' hard limits, of which it leases parts
// in the table service.
func (e *Entry) EnableQuotas(st store.TableService) {
	e.limits = quota.New(st, quota.Settings{Holder: e.incarnation, Term: limitLeaseTerm, Margin: limitLeaseMargin, Random: e.jitter}, e.log)
	e.limits.SetTable(e.view.Load().table)
}

// RenewQuotaLeases renews the leased parts of the limits until the context ends.
func (e *Entry) RenewQuotaLeases(ctx context.Context) { e.limits.Run(ctx) }

// ReleaseQuotaLeases releases the leased parts, so that other entries may use them before
// the term ends.
func (e *Entry) ReleaseQuotaLeases(ctx context.Context) error { return e.limits.Release(ctx) }

// admit admits a request within its group's limits. It caps the request's start-by time at
// the end of the lease, because a request that starts later could exceed a limit.
func (e *Entry) admit(req *request) (*quota.Admission, *fault.Error) {
	tokens := float64(req.maxTokens)
	if req.kind == wire.KindService {
		tokens = 0
	}
	admission, ferr := e.limits.Admit(req.group, tokens)
	if ferr != nil {
		e.log.WithField("request", req.id).WithField("group", req.group).WithField("reason", ferr.Message).Info("admission: request rejected")
		return nil, ferr
	}
	req.startBy = admission.StartBy(req.startBy)
	return admission, nil
}

// chargedTokens returns the number of tokens to charge for a result: the generated ones if
// known, 0 if the request did not run, otherwise the requested maximum.
func chargedTokens(req *request, res result) float64 {
	switch {
	case res.usage != nil:
		return float64(res.usage.CompletionTokens)
	case res.outcome == fault.OutcomeNotRun:
		return 0
	default:
		return float64(req.maxTokens)
	}
}
