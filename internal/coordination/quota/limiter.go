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

// Settings shape one entry's share of the limits.
type Settings struct {
	// Holder is the entry's incarnation. Each has rows of its own, so that a restarted
	// entry does not use a part that its paused predecessor still holds.
	Holder string
	// Term is the time that a part lasts without renewal.
	Term time.Duration
	// Margin is subtracted from the term on the holder's side: the longest time from admission to start.
	Margin time.Duration
	// Now is the clock; nil is the system's.
	Now func() time.Time
	// Random is the source of the times between renewals.
	Random jitter.Random
}

// Limiter admits requests of one entry within its parts of the limits.
type Limiter struct {
	cfg Settings
	st  store.TableService
	log *logrus.Entry

	mu      sync.Mutex
	limits  map[string]Part
	parts   map[string]Part
	divided map[string]Part
	groups  map[string]*usage
	until   time.Time
	version uint64
	// unmet is set when a request was refused for want of a larger part.
	unmet bool
	wake  chan struct{}
}

// usage is what an entry uses of one group's limits.
type usage struct {
	inFlight int
	requests bucket.Bucket
	tokens   bucket.Bucket
	// The demand of the current window and its smoothed value.
	since time.Time
	peak  int
	// admitted counts requests that got a place, full those refused for want of one.
	admitted, full int
	asked          float64
	tokAsk         float64
	demand         Part
}

const (
	renewInterval = 10 * time.Second
	// earlyInterval bounds how often unmet demand brings a renewal forward.
	earlyInterval = time.Second
	// headroom is how much more than its present use an entry asks for. What it does not
	// use of that is lost to others while the limit is scarce; at 1.25, 89% was usable.
	headroom = 1.1
)

// New returns a holder that has no part yet.
func New(st store.TableService, cfg Settings, log *logrus.Entry) *Limiter {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Limiter{
		cfg: cfg, st: st, log: log, limits: map[string]Part{}, parts: map[string]Part{}, divided: map[string]Part{},
		groups: map[string]*usage{}, wake: make(chan struct{}, 1),
	}
}

// SetTable takes the limits of a new table; a lowered limit acts at once.
func (h *Limiter) SetTable(t table.Table) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.limits = map[string]Part{}
	for _, g := range t.Groups {
		if l := Limits(g); l != (Part{}) {
			h.limits[g.Name] = l
		}
	}
	h.unmet = true
	h.signal()
}

func (h *Limiter) signal() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// Admission is an admitted request's place within the limits.
type Admission struct {
	h      *Limiter
	group  string
	tokens float64
	// startBy is the end of the term in which the request was admitted.
	startBy time.Time
	once    sync.Once
}

// StartBy returns the earlier of a time and the end of the term that the request was
// admitted in. An entry that was paused after admission must not start it later.
func (t *Admission) StartBy(at time.Time) time.Time {
	if t.startBy.IsZero() || at.Before(t.startBy) {
		return at
	}
	return t.startBy
}

// Done gives the place back; used is the number of tokens generated.
func (t *Admission) Done(used float64) {
	if t.h == nil {
		return
	}
	t.once.Do(func() { t.h.done(t.group, max(t.tokens-used, 0)) })
}

func (h *Limiter) done(group string, refund float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	u := h.usage(group)
	u.inFlight--
	u.tokens = u.tokens.Refund(refund)
}

func (h *Limiter) usage(group string) *usage {
	u, ok := h.groups[group]
	if !ok {
		u = &usage{since: h.cfg.Now()}
		h.groups[group] = u
	}
	return u
}

// Admit takes a place for a request that may generate tokens, or says which limit
// refuses it. A nil holder knows no limits.
func (h *Limiter) Admit(group string, tokens float64) (*Admission, *fault.Error) {
	if h == nil {
		return &Admission{}, nil
	}
	now := h.cfg.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	u := h.usage(group)
	limit, limited := h.limits[group]
	if !limited {
		u.inFlight++
		return &Admission{h: h, group: group}, nil
	}
	u.asked++
	u.tokAsk += tokens
	u.peak = max(u.peak, u.inFlight+1)
	if !now.Before(h.until) {
		h.need()
		return nil, fault.New(fault.Unavailable, "limit_not_leased", fmt.Sprintf("this entry holds no part of group %q's limits now", group),
			"retry, at another entry if possible").WithRetryAfter(time.Second).WithOutcome(fault.OutcomeNotRun)
	}
	part := h.effective(group)
	if err := u.take(now, limit, part, tokens); err != nil {
		h.need()
		return nil, err
	}
	u.inFlight++
	u.admitted++
	return &Admission{h: h, group: group, tokens: tokens, startBy: h.until}, nil
}

// need brings the next renewal forward; mu is held.
func (h *Limiter) need() {
	if !h.unmet {
		h.unmet = true
		h.signal()
	}
}

// effective returns the entry's part under the limits in force, which may be lower
// than those that were divided; mu is held.
func (h *Limiter) effective(group string) Part {
	limit, then, part := h.limits[group], h.divided[group], h.parts[group]
	return Part{
		Concurrent: scale(part.Concurrent, limit.Concurrent, then.Concurrent),
		Requests:   scale(part.Requests, limit.Requests, then.Requests),
		Tokens:     scale(part.Tokens, limit.Tokens, then.Tokens),
	}
}

// scale returns what a part of the limit then is worth under the limit in force.
func scale(part, limit, then float64) float64 {
	if then > 0 && limit < then {
		return part * limit / then
	}
	return part
}

// take checks every limit and takes from the buckets when all allow it.
func (u *usage) take(now time.Time, limit, part Part, tokens float64) *fault.Error {
	if limit.Concurrent > 0 && float64(u.inFlight+1) > part.Concurrent {
		u.full++
		return refusal("max_concurrent", limit.Concurrent, time.Second)
	}
	// Refused requests also advance the buckets, which otherwise never fill after a rate of 0.
	u.requests, u.tokens = u.requests.WithRate(now, part.Requests), u.tokens.WithRate(now, part.Tokens)
	requests, tokenBucket := u.requests, u.tokens
	if limit.Requests > 0 {
		next, wait, ok := requests.Take(now, 1)
		if !ok {
			return refusal("max_requests_per_second", limit.Requests, wait)
		}
		requests = next
	}
	if limit.Tokens > 0 {
		next, wait, ok := tokenBucket.Take(now, tokens)
		if !ok {
			return refusal("max_tokens_per_second", limit.Tokens, wait)
		}
		tokenBucket = next
	}
	u.requests, u.tokens = requests, tokenBucket
	return nil
}

func refusal(name string, value float64, wait time.Duration) *fault.Error {
	return fault.New(fault.RateLimit, "group_limit", fmt.Sprintf("the group's limit %s of %g is reached", name, value),
		"retry later or ask an operator for a higher limit").WithRetryAfter(max(wait, time.Second)).WithOutcome(fault.OutcomeNotRun)
}

// Run renews the parts until the context ends.
func (h *Limiter) Run(ctx context.Context) {
	for {
		if err := h.Refresh(ctx); err != nil && ctx.Err() == nil {
			h.log.WithError(err).Debug("limit parts not renewed")
		}
		early := time.NewTimer(earlyInterval)
		late := time.NewTimer(renewInterval/2 + time.Duration(h.cfg.Random.N(int64(renewInterval/2))))
		select {
		case <-early.C:
		case <-ctx.Done():
			return
		}
		select {
		case <-late.C:
		case <-h.wake:
		case <-ctx.Done():
			return
		}
		late.Stop()
	}
}

// Refresh takes the newest grant and renews the term.
func (h *Limiter) Refresh(ctx context.Context) error {
	if h.idle() {
		return nil
	}
	asked := h.cfg.Now()
	snap, err := h.st.Read(ctx, entryPrefix+h.cfg.Holder+"/")
	if err != nil {
		return err
	}
	mine, given := find(snap, entryPrefix+h.cfg.Holder+heldSuffix), find(snap, entryPrefix+h.cfg.Holder+grantSuffix)
	var g grant
	var cur held
	if err := errors.Join(decode(given, &g), decode(mine, &cur)); err != nil {
		return err
	}
	next, parts := h.next(asked, cur, g)
	version, err := h.st.Commit(ctx, store.Txn{
		Conds:  []store.Cond{{Key: mine.Key, Version: mine.Version}, {Key: given.Key, Version: given.Version}},
		Writes: []store.Write{put(mine.Key, next)},
	})
	if err != nil {
		return fmt.Errorf("renew limit parts: %w", err)
	}
	h.adopt(asked, parts, g, version)
	return nil
}

// idle reports whether no group has limits and none had, so that nothing needs to be leased.
func (h *Limiter) idle() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.limits) == 0 && h.version == 0
}

// next returns the held row to write and the parts to use once it is written. Parts that
// shrink do so at once: requests admitted while the row is under way would otherwise
// exceed what it says. Requests in flight above the part run on until they end, also
// those admitted in a term that has ended; the row tells of them, so that a division
// keeps their places free, but they make room for no new request.
func (h *Limiter) next(now time.Time, cur held, g grant) (held, map[string]Part) {
	h.mu.Lock()
	defer h.mu.Unlock()
	next := held{
		Seq: cur.Seq + 1, TermMillis: h.cfg.Term.Milliseconds(),
		Parts: map[string]Part{}, Demand: map[string]Part{}, Limits: map[string]Part{}, Over: map[string]float64{},
	}
	parts := make(map[string]Part, len(h.limits))
	for name, limit := range h.limits {
		part := g.Parts[name]
		parts[name] = part
		u, old := h.usage(name), h.parts[name]
		h.parts[name] = Part{
			Concurrent: min(old.Concurrent, part.Concurrent), Requests: min(old.Requests, part.Requests), Tokens: min(old.Tokens, part.Tokens),
		}
		if over := float64(u.inFlight) - part.Concurrent; limit.Concurrent > 0 && over > 0 {
			next.Over[name] = over
		}
		next.Parts[name], next.Limits[name] = part, g.Limits[name]
		next.Demand[name] = u.measure(now)
	}
	h.unmet = false
	return next, parts
}

// measure ends the window of demand and returns the smoothed demand with headroom.
func (u *usage) measure(now time.Time) Part {
	window := max(now.Sub(u.since).Seconds(), earlyInterval.Seconds())
	seen := Part{Concurrent: u.places(), Requests: u.asked / window, Tokens: u.tokAsk / window}
	u.demand = Part{
		Concurrent: max(seen.Concurrent, u.demand.Concurrent/2),
		Requests:   max(seen.Requests, u.demand.Requests/2),
		Tokens:     max(seen.Tokens, u.demand.Tokens/2),
	}
	u.since, u.peak, u.asked, u.tokAsk = now, u.inFlight, 0, 0
	u.admitted, u.full = 0, 0
	return Part{Concurrent: u.demand.Concurrent * headroom, Requests: u.demand.Requests * headroom, Tokens: u.demand.Tokens * headroom}
}

// places estimates how many requests would be in flight without the limit. Where
// requests were refused, only a part of the demand is in flight: without the correction
// an entry with a small part asked for one place more at a time. A few refusals say
// little, because a caller may come back before its last request has given its place up.
func (u *usage) places() float64 {
	const few = 0.25 // of the admitted requests
	if float64(u.full) <= few*float64(u.admitted) {
		return float64(u.peak)
	}
	return float64(u.peak) * float64(u.admitted+u.full) / float64(max(u.admitted, 1))
}

func (h *Limiter) adopt(asked time.Time, parts map[string]Part, g grant, version uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.parts, h.divided, h.version = parts, g.Limits, version
	if h.divided == nil {
		h.divided = map[string]Part{}
	}
	h.until = asked.Add(h.cfg.Term - h.cfg.Margin)
}

// Release gives all parts back, so that they need not wait for the end of the term.
func (h *Limiter) Release(ctx context.Context) error {
	h.mu.Lock()
	h.until = time.Time{}
	version := h.version
	h.mu.Unlock()
	if version == 0 {
		return nil
	}
	key := entryPrefix + h.cfg.Holder + heldSuffix
	_, err := h.st.Commit(ctx, store.Txn{
		Conds:  []store.Cond{{Key: key, Version: version}},
		Writes: []store.Write{{Key: key, Delete: true}, {Key: entryPrefix + h.cfg.Holder + grantSuffix, Delete: true}},
	})
	return err
}
