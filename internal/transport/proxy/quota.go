package proxy

import (
	"context"
	"math"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"chervilhead/internal/state/credit"
	"chervilhead/internal/state/fleet"
	"chervilhead/internal/state/pick"
)

// Quotas says which requests are within the quotas of their groups over all gateways.
type Quotas interface {
	// Take takes units of a group's quota, or returns false and the time until it covers them.
	// It waits up to patience for the quota to cover them, and a bounded time for the planner;
	// without a reply in it, the time is zero.
	Take(ctx context.Context, group fleet.Group, units float64, patience time.Duration) (wait time.Duration, ok bool)
	// Return gives back what was taken for a request that has not run.
	Return(group fleet.Group, units float64)
	// Confirmed reports whether the planner has lately said what is left of the quotas.
	Confirmed() bool
	// Ended records whether a request within its group's quota was served.
	Ended(group string, served bool)
	// AboveShare reports whether a group's requests are to yield to those of other groups.
	AboveShare(group string) bool
}

// quotaObjectiveShare is the part of its objective for which a request waits until its group's
// quota covers it. A refused caller comes back later than that, and the rest is left for its answer
// to be on time.
const (
	quotaObjectiveShare = 0.5
	// noReplyRetryAfter is the Retry-After while the planner doesn't reply: a lost datagram has been
	// sent again by then, and the gateway uses its share 1.5 s after the last reply.
	noReplyRetryAfter = 300 * time.Millisecond
)

// takeQuota takes the cost of a request from its group's quota. If the quota doesn't cover it,
// takeQuota responds and returns false.
func (h *Handler) takeQuota(c *call) bool {
	if h.cfg.Quotas == nil || !c.group.Quota.Limited() {
		return true
	}
	units := quotaCost(c.group.Quota, c.in.Header.Get(h.cfg.Headers.TokenCounts))
	began := time.Now()
	patience := time.Duration(quotaObjectiveShare * float64(c.route.Objective))
	if h.cfg.Quotas.AboveShare(c.group.Name) {
		// Most of the group's requests can't be covered, and a queue of them would make all late.
		patience /= 2
	}
	wait, ok := h.cfg.Quotas.Take(c.ctx, c.group, units, patience)
	if ok {
		c.quotaUnits, c.quotaTakenAt = units, time.Now()
		return true
	}
	reason := "over_quota"
	switch {
	case c.in.Context().Err() != nil:
		reason = "left"
		c.outcome = "client_left"
	case wait > 0 && h.cfg.Quotas.Confirmed():
		h.rejectWith(c, http.StatusTooManyRequests, reason, wait)
	default:
		// Nobody knows whether the quota is used up.
		reason = "quota_unknown"
		if wait <= 0 {
			wait = noReplyRetryAfter
		}
		h.reject(c, reason, wait)
	}
	h.metrics.quotaRefusals.WithLabelValues(reason).Inc()
	h.quotaLog.refused(h.log, c.group, reason, units, wait, time.Since(began))
	return false
}

// quotaCost returns the units of a quota that a request costs, by the field of its token counts.
func quotaCost(q fleet.Quota, counts string) float64 {
	if q.Unit == fleet.QuotaRequests {
		return 1
	}
	prompt, output := pick.ParseTokenCounts(counts)
	if tokens := float64(prompt) + float64(output); tokens > 0 {
		return tokens
	}
	return math.Max(q.PlainTokens, 0)
}

// endQuota records how a request within its group's quota ended, and returns what it took if it
// has not run.
func (h *Handler) endQuota(c *call) {
	if c.quotaTakenAt.IsZero() {
		return
	}
	if ran := c.possibleRuns > 0 || c.responseBegun; !ran && time.Since(c.quotaTakenAt) <= credit.ReturnWithin {
		h.cfg.Quotas.Return(c.group, c.quotaUnits)
	}
	if c.outcome != "client_left" {
		h.cfg.Quotas.Ended(c.group.Name, c.outcome == outcomeAnswered)
	}
}

// lastPriority is the engines' priority for requests that yield to all others.
const lastPriority = 9

// keptPart is the part of a yielding group's requests that keep their usual priority. An engine
// with too much other work runs nothing of the last priority, and no group may be served less than
// a quarter as often as all. It is less than the part of its quota that a group usually uses, so
// that it holds up nobody.
const keptPart = 0.3

// enginePriority returns the priority of a request at an engine: its usual one, or for most
// requests the last one while their group uses more than its share and the engine has requests
// waiting.
func (h *Handler) enginePriority(c *call, e fleet.Endpoint, usual int) int {
	if h.cfg.Quotas == nil || !c.group.Quota.Limited() || !h.cfg.Quotas.AboveShare(c.group.Name) {
		return usual
	}
	for _, s := range h.control.States() {
		if s.ID == e.ID && s.StatusSupersedes && s.Status.Waiting > 0 && h.draw() >= keptPart {
			h.metrics.yields.Inc()
			return lastPriority
		}
	}
	return usual
}

// rejectWith answers with a status and a Retry-After: the request has not run.
func (h *Handler) rejectWith(c *call, status int, reason string, after time.Duration) {
	c.w.Header().Set("Retry-After", strconv.FormatFloat(math.Ceil(max(after, 10*time.Millisecond).Seconds()*100)/100, 'f', 2, 64))
	h.respond(c, status, reason)
}

// quotaLog bounds the log lines on refused requests to one a second for each group and reason.
type quotaLog struct {
	mu     sync.Mutex
	groups map[quotaLogKey]quotaLogEntry
}

type quotaLogKey struct{ group, reason string }

type quotaLogEntry struct {
	loggedAt time.Time
	// refused counts the requests since the last line.
	refused int
}

// quotaLogInterval is the time between two lines on one group, as for blocked prompt parts.
const quotaLogInterval = time.Second

// refused logs a refused request, unless a line on its group was logged lately.
func (l *quotaLog) refused(log *logrus.Entry, g fleet.Group, reason string, units float64, wait, took time.Duration) {
	now := time.Now()
	l.mu.Lock()
	if l.groups == nil {
		l.groups = map[quotaLogKey]quotaLogEntry{}
	}
	key := quotaLogKey{g.Name, reason}
	e := l.groups[key]
	e.refused++
	due := now.Sub(e.loggedAt) >= quotaLogInterval
	n := e.refused
	if due {
		e = quotaLogEntry{loggedAt: now}
	}
	l.groups[key] = e
	l.mu.Unlock()
	if due {
		log.WithFields(logrus.Fields{
			"group": g.Name, "why": reason, "refused": n, "units": units, "quota": g.Quota.PerSecond, "burst": g.Quota.Burst,
			"wait_ms": wait.Milliseconds(), "took_ms": took.Milliseconds(),
		}).Info("requests of a group are refused by its quota")
	}
}
