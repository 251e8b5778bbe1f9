package testbed

import (
	"cmp"
	"slices"
	"time"

	"chervilhead/platform/stub"
)

// The platform's bound for a quota: in a window, the requests of a group that are sent and run
// cost at most what the rate and the burst allow, quotaOvershoot more, and quotaSlack units.
const (
	quotaWindow    = 8 * time.Second
	quotaOvershoot = 0.1
	quotaSlack     = 110_000
)

// quota is the period in which a configuration with a group's quota was the newest.
type quota struct {
	stub.Group
	// from is before the configuration was written, to is when the store had acknowledged the next
	// one, zero until then.
	from, to time.Time
}

// setQuota records that the store acknowledged, by now, a group's quota that was written from on.
func (c *Checker) setQuota(g stub.Group, from, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.quotas[g.Name]
	if n := len(list); n > 0 {
		list[n-1].to = now
	}
	c.quotas[g.Name] = append(list, quota{Group: g, from: from})
}

// cost returns what a request costs in the unit of the group's quota.
func (q quota) cost(a *sentRequest) float64 {
	switch {
	case q.Unit != stub.UnitTokens:
		return 1
	case a.hasTokens:
		return float64(a.tokens)
	default:
		return q.PlainTokens
	}
}

// allowed returns what a quota allows in a window.
func (q quota) allowed() float64 {
	return (q.PerSecond*quotaWindow.Seconds()+q.Burst)*(1+quotaOvershoot) + quotaSlack
}

// CheckQuotas checks that the requests of each group that ran cost no more in any window than the
// quota allows. A lower quota counts for windows that begin later than apply after the store had
// acknowledged it.
func (c *Checker) CheckQuotas(apply time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ran := map[string][]*sentRequest{}
	for _, a := range c.requests {
		if g := c.groupOfLocked(a.key); g != "" && len(a.runs) > 0 && !a.public {
			ran[g] = append(ran[g], a)
		}
	}
	for g, list := range ran {
		slices.SortFunc(list, func(a, b *sentRequest) int { return cmp.Compare(a.sentAt.UnixNano(), b.sentAt.UnixNano()) })
		c.checkQuotaLocked(g, list, apply)
	}
}

func (c *Checker) checkQuotaLocked(group string, list []*sentRequest, apply time.Duration) {
	quotas := c.quotas[group]
	if len(quotas) == 0 {
		return
	}
	sum, oldest := 0.0, 0
	// worst and its allowed are those of the window that exceeds the quota most.
	var worst, worstAllowed float64
	// The unit and the cost of plain requests don't change in a run.
	unit := quotas[0]
	for _, a := range list {
		sum += unit.cost(a)
		for ; a.sentAt.Sub(list[oldest].sentAt) >= quotaWindow; oldest++ {
			sum -= unit.cost(list[oldest])
		}
		allowed, limited := 0.0, true
		for _, q := range quotas {
			if !q.from.After(a.sentAt) && (q.to.IsZero() || !q.to.Add(apply).Before(list[oldest].sentAt)) {
				allowed, limited = max(allowed, q.allowed()), limited && q.PerSecond > 0
			}
		}
		if limited && sum > allowed && sum-allowed > worst-worstAllowed {
			worst, worstAllowed = sum, allowed
		}
	}
	if worst > worstAllowed {
		c.addViolationLocked("QUOTA", "the requests of group %s that were sent in %v and ran cost %.0f, allowed %.0f", group, quotaWindow, worst, worstAllowed)
	}
}

// HasQuota reports whether a group has had a quota.
func (c *Checker) HasQuota(group string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.ContainsFunc(c.quotas[group], func(q quota) bool { return q.PerSecond > 0 })
}
