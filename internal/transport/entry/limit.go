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
	// limitTerm is how long an entry uses its parts of the limits without renewal. It
	// bridges short outages of the table service; a longer one refuses limited groups.
	limitTerm = 30 * time.Second
	// limitMargin is the longest time between admission and the last check before a start.
	limitMargin = 2 * time.Second
)

// EnableQuotas lets the entry keep the groups' hard limits, whose parts it leases in the table service.
func (e *Entry) EnableQuotas(st store.TableService) {
	e.limits = quota.New(st, quota.Settings{Holder: e.incarnation, Term: limitTerm, Margin: limitMargin, Random: e.random}, e.log)
	e.limits.SetTable(e.view.Load().table)
}

// RenewQuotaLeases renews the parts until the context ends.
func (e *Entry) RenewQuotaLeases(ctx context.Context) { e.limits.Run(ctx) }

// ReleaseQuotaLeases gives the parts back.
func (e *Entry) ReleaseQuotaLeases(ctx context.Context) error { return e.limits.Release(ctx) }

// admit takes a place for a request within its group's limits. A request that starts
// later than its place is leased for could exceed a limit, so its start-by time is lowered.
func (e *Entry) admit(req *request) (*quota.Admission, *fault.Error) {
	tokens := float64(req.maxTokens)
	if req.kind == wire.KindService {
		tokens = 0
	}
	ticket, ferr := e.limits.Admit(req.group, tokens)
	if ferr != nil {
		e.log.WithField("request", req.id).WithField("group", req.group).WithField("reason", ferr.Message).Info("admission: request refused")
		return nil, ferr
	}
	req.startBy = ticket.StartBy(req.startBy)
	return ticket, nil
}

// tokensOf returns the tokens that a result is known to have generated, else what was asked for.
func tokensOf(req *request, res result) float64 {
	switch {
	case res.usage != nil:
		return float64(res.usage.CompletionTokens)
	case res.outcome == fault.OutcomeNotRun:
		return 0
	default:
		return float64(req.maxTokens)
	}
}
