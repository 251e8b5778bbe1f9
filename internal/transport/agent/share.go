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

// promptTokenCost is the accelerator time of a prompt token relative to that of a generated
// token: a prefill computes many tokens at once.
const promptTokenCost = 0.1

// estimatedCost returns the expected accelerator time of an attempt in token units.
func estimatedCost(s wire.Start) float64 {
	return float64(s.PromptTokens)*promptTokenCost + float64(max(s.MaxTokens, 1))
}

// actualCost returns the accelerator time of an ended attempt in token units.
func actualCost(u wire.Usage) float64 {
	return float64(u.PromptTokens-u.CachedTokens)*promptTokenCost + float64(u.CompletionTokens)
}

// usage returns the groups' use of the endpoint.
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

// usageReports holds the last usage report and decides when to replace it.
type usageReports struct {
	last       share.UsageReport
	reportedAt time.Time
	waiting    sets.Set[string]
}

// report returns the report to store. It stays the last one until the interval has passed
// and the usage has changed. A group counts as waiting if it waited at any call since the
// last report.
func (u *usageReports) report(newest share.UsageReport, endpoints int, at time.Time) share.UsageReport {
	if u.waiting == nil {
		u.waiting = sets.Of[string]()
	}
	for _, g := range newest.Waiting {
		u.waiting.Add(g)
	}
	if at.Sub(u.reportedAt) < share.ReportInterval(endpoints) || maps.Equal(newest.Used, u.last.Used) {
		return u.last
	}
	newest.Waiting = sets.Sorted(u.waiting)
	u.last, u.reportedAt = newest, at
	clear(u.waiting)
	return newest
}

// endpointCount returns the number of endpoints in the plan.
func (a *Agent) endpointCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.poison.addresses)
}

// setShares applies the share factors of a share document.
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
