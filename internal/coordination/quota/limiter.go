package quota

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"chervilhead/internal/coordination/store"
	"chervilhead/internal/state/bucket"
	"chervilhead/internal/state/fault"
	"chervilhead/internal/state/jitter"
	"chervilhead/internal/state/table"
)

// Settings configures a Limiter.
type Settings struct {
	// Holder is the entry's incarnation. Each has rows of its own, so that a restarted
	// entry does not use a part that its paused predecessor still holds.
	Holder string
	// Term is how long a part is leased without renewal.
	Term time.Duration
	// Margin is subtracted from the term on the entry's side: the longest time from admission to start.
	Margin time.Duration
	// Now is the clock; nil means the system clock.
	Now func() time.Time
	// Random is the source of the jitter between renewals.
	Random jitter.Random
}

// Limiter admits the requests of one entry within its parts of the limits.
type Limiter struct {
	cfg Settings
	st  store.TableService
	log *logrus.Entry

	mu sync.Mutex
	// limits are the limits in force, by group.
	limits map[string]Part
	// parts are this entry's parts of dividedLimits, by group.
	parts map[string]Part
	// dividedLimits are the limits in force when parts were granted.
	dividedLimits map[string]Part
	usages        map[string]*groupUsage
	// until is when the term of the parts ends.
	until time.Time
	// heldVersion is the version of this entry's held row; 0 means that there is none.
	heldVersion uint64
	// renewRequested is set while a renewal is due for new limits or because the parts
	// were too small for a request.
	renewRequested bool
	wake           chan struct{}
}

// groupUsage is what an entry uses of one group's limits, and the demand for them.
type groupUsage struct {
	inFlight int
	requests bucket.Bucket
	tokens   bucket.Bucket
	// windowStart is the start of the current demand window.
	windowStart time.Time
	// peakInFlight, admitted, rejected, demandRequests and demandTokens cover the current window.
	// rejected counts only requests over the concurrency limit.
	peakInFlight       int
	admitted, rejected int
	demandRequests     float64
	demandTokens       float64
	// demand is the smoothed demand of past windows.
	demand Part
}

const (
	// renewInterval is the longest time between renewals; jitter shortens it by up to half.
	renewInterval = 10 * time.Second
	// minRenewInterval is the shortest time between renewals, used while demand is unmet.
	minRenewInterval = time.Second
	// headroom is the ratio of the demand that an entry reports to the demand that it measures.
	// While a limit is scarce, other entries can't use the difference: at 1.25, 89% of the limit
	// was usable.
	headroom = 1.1
)

// New returns a limiter that has no parts yet.
func New(st store.TableService, cfg Settings, log *logrus.Entry) *Limiter {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Limiter{
		cfg: cfg, st: st, log: log, limits: map[string]Part{}, parts: map[string]Part{}, dividedLimits: map[string]Part{},
		usages: map[string]*groupUsage{}, wake: make(chan struct{}, 1),
	}
}

// SetTable applies the limits of a new table; a lowered limit takes effect at once. It does
// nothing on a nil limiter.
func (l *Limiter) SetTable(t table.Table) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limits = map[string]Part{}
	for _, g := range t.Groups {
		if limit := Limits(g); limit != (Part{}) {
			l.limits[g.Name] = limit
		}
	}
	l.renewRequested = true
	l.wakeRenewal()
}

func (l *Limiter) wakeRenewal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Admission is a request's admission within the limits.
type Admission struct {
	limiter *Limiter
	group   string
	tokens  float64
	// startBy is the end of the term in which the request was admitted; it is zero without limits.
	startBy time.Time
	once    sync.Once
}

// StartBy returns the earlier of a time and the end of the term in which the request was
// admitted. A process that was paused after the admission must not start the request later.
func (a *Admission) StartBy(at time.Time) time.Time {
	if a.startBy.IsZero() || at.Before(a.startBy) {
		return at
	}
	return a.startBy
}

// Done ends the admission and refunds unused tokens; used is the number of tokens generated.
// Only the first call has an effect.
func (a *Admission) Done(used float64) {
	if a.limiter == nil {
		return
	}
	a.once.Do(func() { a.limiter.done(a.group, max(a.tokens-used, 0)) })
}

func (l *Limiter) done(group string, refund float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.usage(group)
	u.inFlight--
	u.tokens = u.tokens.Refund(refund)
}

func (l *Limiter) usage(group string) *groupUsage {
	u, ok := l.usages[group]
	if !ok {
		u = &groupUsage{windowStart: l.cfg.Now()}
		l.usages[group] = u
	}
	return u
}

// Admit admits a request that may generate a number of tokens, or returns an error that names
// the limit that rejects it. A nil limiter admits every request.
func (l *Limiter) Admit(group string, tokens float64) (*Admission, *fault.Error) {
	if l == nil {
		return &Admission{}, nil
	}
	now := l.cfg.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.usage(group)
	limit, limited := l.limits[group]
	if !limited {
		u.inFlight++
		return &Admission{limiter: l, group: group}, nil
	}
	u.demandRequests++
	u.demandTokens += tokens
	u.peakInFlight = max(u.peakInFlight, u.inFlight+1)
	if !now.Before(l.until) {
		l.requestRenewal()
		return nil, fault.New(fault.Unavailable, "limit_not_leased", fmt.Sprintf("this entry has no part of group %q's limits leased", group),
			"retry, at another entry if possible").WithRetryAfter(time.Second).WithOutcome(fault.OutcomeNotRun)
	}
	part := l.effectivePart(group)
	if err := u.tryTake(now, limit, part, tokens); err != nil {
		l.requestRenewal()
		return nil, err
	}
	u.inFlight++
	u.admitted++
	return &Admission{limiter: l, group: group, tokens: tokens, startBy: l.until}, nil
}

// requestRenewal wakes Run for an early renewal; mu is held.
func (l *Limiter) requestRenewal() {
	if !l.renewRequested {
		l.renewRequested = true
		l.wakeRenewal()
	}
}

// effectivePart returns the entry's part scaled to the limits in force, which may be lower than
// those that were divided; mu is held.
func (l *Limiter) effectivePart(group string) Part {
	limit, divided, part := l.limits[group], l.dividedLimits[group], l.parts[group]
	return Part{
		Concurrent: scaleToLimit(part.Concurrent, limit.Concurrent, divided.Concurrent),
		Requests:   scaleToLimit(part.Requests, limit.Requests, divided.Requests),
		Tokens:     scaleToLimit(part.Tokens, limit.Tokens, divided.Tokens),
	}
}

// scaleToLimit scales a part of the divided limit down if the limit in force is lower.
func scaleToLimit(part, limit, divided float64) float64 {
	if divided > 0 && limit < divided {
		return part * limit / divided
	}
	return part
}

// tryTake checks all limits and, if they allow a request, takes it from the buckets.
func (u *groupUsage) tryTake(now time.Time, limit, part Part, tokens float64) *fault.Error {
	if limit.Concurrent > 0 && float64(u.inFlight+1) > part.Concurrent {
		u.rejected++
		return limitError("max_concurrent", limit.Concurrent, time.Second)
	}
	// Rejected requests also advance the buckets, which otherwise never fill after a rate of 0.
	u.requests, u.tokens = u.requests.WithRate(now, part.Requests), u.tokens.WithRate(now, part.Tokens)
	requests, tokenBucket := u.requests, u.tokens
	if limit.Requests > 0 {
		next, wait, ok := requests.Take(now, 1)
		if !ok {
			return limitError("max_requests_per_second", limit.Requests, wait)
		}
		requests = next
	}
	if limit.Tokens > 0 {
		next, wait, ok := tokenBucket.Take(now, tokens)
		if !ok {
			return limitError("max_tokens_per_second", limit.Tokens, wait)
		}
		tokenBucket = next
	}
	u.requests, u.tokens = requests, tokenBucket
	return nil
}

func limitError(name string, value float64, wait time.Duration) *fault.Error {
	return fault.New(fault.RateLimit, "group_limit", fmt.Sprintf("the group's limit %s of %g is reached", name, value),
		"retry later or ask an operator for a higher limit").WithRetryAfter(max(wait, time.Second)).WithOutcome(fault.OutcomeNotRun)
}

// Run renews the parts periodically, and early on unmet demand or after a failure, until the context ends.
func (l *Limiter) Run(ctx context.Context) {
	for {
		if err := l.Refresh(ctx); err != nil && ctx.Err() == nil {
			l.log.WithError(err).Debug("cannot renew the parts of the limits")
			l.wakeRenewal()
		}
		early := time.NewTimer(minRenewInterval)
		late := time.NewTimer(renewInterval/2 + time.Duration(l.cfg.Random.N(int64(renewInterval/2))))
		select {
		case <-early.C:
		case <-ctx.Done():
			return
		}
		select {
		case <-late.C:
		case <-l.wake:
		case <-ctx.Done():
			return
		}
		late.Stop()
	}
}

// Refresh takes the newest grant, reports the demand and renews the term. It does nothing
// while no group has limits and nothing is leased.
func (l *Limiter) Refresh(ctx context.Context) error {
	if l.nothingLeased() {
		return nil
	}
	requestedAt := l.cfg.Now()
	snap, err := l.st.Read(ctx, entryPrefix+l.cfg.Holder+"/")
	if err != nil {
		return err
	}
	heldRow, grantRow := findRow(snap, entryPrefix+l.cfg.Holder+heldSuffix), findRow(snap, entryPrefix+l.cfg.Holder+grantSuffix)
	var g grant
	var cur held
	if err := errors.Join(decode(grantRow, &g), decode(heldRow, &cur)); err != nil {
		return err
	}
	next, parts := l.nextHeld(requestedAt, cur, g)
	version, err := l.st.Commit(ctx, store.Txn{
		Conds:  []store.Cond{{Key: heldRow.Key, Version: heldRow.Version}, {Key: grantRow.Key, Version: grantRow.Version}},
		Writes: []store.Write{putRow(heldRow.Key, next)},
	})
	if err != nil {
		return fmt.Errorf("renew limit parts: %w", err)
	}
	l.applyGrant(requestedAt, parts, g, version)
	return nil
}

// nothingLeased reports whether no group has limits and no parts were leased before.
func (l *Limiter) nothingLeased() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.limits) == 0 && l.heldVersion == 0
}

// nextHeld returns the held row to write and the parts to use once it is written. Parts that
// shrink do so at once: requests admitted during the write would otherwise exceed the row's
// parts. Requests in flight above the part continue until they end, also those admitted in
// a term that has ended. The row reports them in Over, so that a division reserves capacity
// for them, but no new request may use it.
func (l *Limiter) nextHeld(now time.Time, cur held, g grant) (held, map[string]Part) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := held{
		Seq: cur.Seq + 1, TermMillis: l.cfg.Term.Milliseconds(),
		Parts: map[string]Part{}, Demand: map[string]Part{}, Limits: map[string]Part{}, Over: map[string]float64{},
	}
	parts := make(map[string]Part, len(l.limits))
	for name, limit := range l.limits {
		part := g.Parts[name]
		parts[name] = part
		u, old := l.usage(name), l.parts[name]
		l.parts[name] = Part{
			Concurrent: min(old.Concurrent, part.Concurrent), Requests: min(old.Requests, part.Requests), Tokens: min(old.Tokens, part.Tokens),
		}
		if over := float64(u.inFlight) - part.Concurrent; limit.Concurrent > 0 && over > 0 {
			next.Over[name] = over
		}
		next.Parts[name], next.Limits[name] = part, g.Limits[name]
		next.Demand[name] = u.measureDemand(now)
	}
	l.renewRequested = false
	return next, parts
}

// measureDemand ends the demand window and returns the smoothed demand with headroom.
func (u *groupUsage) measureDemand(now time.Time) Part {
	window := max(now.Sub(u.windowStart).Seconds(), minRenewInterval.Seconds())
	seen := Part{Concurrent: u.unlimitedConcurrency(), Requests: u.demandRequests / window, Tokens: u.demandTokens / window}
	u.demand = Part{
		Concurrent: max(seen.Concurrent, u.demand.Concurrent/2),
		Requests:   max(seen.Requests, u.demand.Requests/2),
		Tokens:     max(seen.Tokens, u.demand.Tokens/2),
	}
	u.windowStart, u.peakInFlight, u.demandRequests, u.demandTokens = now, u.inFlight, 0, 0
	u.admitted, u.rejected = 0, 0
	return Part{Concurrent: u.demand.Concurrent * headroom, Requests: u.demand.Requests * headroom, Tokens: u.demand.Tokens * headroom}
}

// unlimitedConcurrency estimates how many requests would be in flight without the limit. After
// rejections only a part of the demand is in flight: without the correction, an entry with a
// small part raised its demand by only one request at a time. A few rejections are ignored,
// because a caller may send a request before its last one is counted as ended.
func (u *groupUsage) unlimitedConcurrency() float64 {
	const rejectedRatioThreshold = 0.25 // rejected to admitted requests
	if float64(u.rejected) <= rejectedRatioThreshold*float64(u.admitted) {
		return float64(u.peakInFlight)
	}
	return float64(u.peakInFlight) * float64(u.admitted+u.rejected) / float64(max(u.admitted, 1))
}

func (l *Limiter) applyGrant(requestedAt time.Time, parts map[string]Part, g grant, version uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.parts, l.dividedLimits, l.heldVersion = parts, g.Limits, version
	if l.dividedLimits == nil {
		l.dividedLimits = map[string]Part{}
	}
	l.until = requestedAt.Add(l.cfg.Term - l.cfg.Margin)
}

// Release returns all parts, so that other entries get them before the end of the term.
func (l *Limiter) Release(ctx context.Context) error {
	l.mu.Lock()
	l.until = time.Time{}
	version := l.heldVersion
	l.mu.Unlock()
	if version == 0 {
		return nil
	}
	key := entryPrefix + l.cfg.Holder + heldSuffix
	_, err := l.st.Commit(ctx, store.Txn{
		Conds:  []store.Cond{{Key: key, Version: version}},
		Writes: []store.Write{{Key: key, Delete: true}, {Key: entryPrefix + l.cfg.Holder + grantSuffix, Delete: true}},
	})
	return err
}
