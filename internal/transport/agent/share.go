package agent

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"chervilhead/internal/coordination/place"
	"chervilhead/internal/protocol/wire"
	"chervilhead/internal/state/sets"
	"chervilhead/internal/state/share"
)

// promptCost is the accelerator time of a prompt token relative to a generated one:
// prefill runs many tokens at once.
const promptCost = 0.1

// cost estimates the accelerator time of an attempt in token units.
func cost(s wire.Start) float64 {
	return float64(s.PromptTokens)*promptCost + float64(max(s.MaxTokens, 1))
}

// realCost is the accelerator time of a finished attempt in token units.
func realCost(u wire.Usage) float64 {
	return float64(u.PromptTokens-u.CachedTokens)*promptCost + float64(u.CompletionTokens)
}

// usage reports the groups' use of the endpoint.
func (a *Agent) usage() share.UsageReport {
	a.mu.Lock()
	defer a.mu.Unlock()
	waiting := sets.Of[string]()
	for g := range a.used {
		if a.queue.GroupLen(g) > 0 {
			waiting.Add(g)
		}
	}
	for _, g := range a.table.GroupNames() {
		if a.queue.GroupLen(g) > 0 {
			waiting.Add(g)
		}
	}
	return share.UsageReport{Incarnation: a.incarnation, Used: maps.Clone(a.used), Waiting: slices.Clip(sets.Sorted(waiting))}
}

// usageReports decides when an agent's usage is reported anew.
type usageReports struct {
	last    share.UsageReport
	at      time.Time
	waiting sets.Set[string]
}

// report returns the report to store: the last one until the interval has passed and
// something was used since. Groups that waited at any look meanwhile count as waiting.
func (u *usageReports) report(now share.UsageReport, endpoints int, at time.Time) share.UsageReport {
	if u.waiting == nil {
		u.waiting = sets.Of[string]()
	}
	for _, g := range now.Waiting {
		u.waiting.Add(g)
	}
	if at.Sub(u.at) < share.ReportInterval(endpoints) || maps.Equal(now.Used, u.last.Used) {
		return u.last
	}
	now.Waiting = sets.Sorted(u.waiting)
	u.last, u.at = now, at
	clear(u.waiting)
	return now
}

// endpoints returns the number of endpoints in the plan.
func (a *Agent) endpoints() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.watch.addresses)
}

// setShares takes new correction factors.
func (a *Agent) setShares(data []byte) {
	var s place.ShareDocument
	if err := json.Unmarshal(data, &s); err != nil {
		a.log.WithError(err).Error("share document does not decode; the previous one stays in force")
		return
	}
	a.mu.Lock()
	a.factors = s.Factors
	a.mu.Unlock()
}
