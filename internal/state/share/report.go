package share

import (
	"maps"
	"slices"
	"time"
)

// UsageReport is an agent's report of the groups' use of its endpoint. Used is cumulative over
// the agent's incarnation, so a lost or repeated report causes no lasting error.
type UsageReport struct {
	Incarnation string `json:"incarnation"`
	// Used is the accelerator time that each group has used, in token units.
	Used map[string]float64 `json:"used,omitempty"`
	// Waiting lists the groups with queued attempts.
	Waiting []string `json:"waiting,omitempty"`
}

const (
	// minReportInterval is the time between two reports of an agent in a small fleet.
	minReportInterval = 15 * time.Second
	// reportSpacing is the report interval per endpoint in a large fleet, so that the planner,
	// which reads all reports, gets at most 10 a second.
	reportSpacing = 100 * time.Millisecond
	// staleReportIntervals is the age, in report intervals, after which a report is dropped
	// because its agent is gone.
	staleReportIntervals = 4
)

// ReportInterval returns the time between two reports of an agent. It is also the time between
// two corrections, since one made without new reports would repeat the previous one.
func ReportInterval(endpoints int) time.Duration {
	return max(minReportInterval, time.Duration(endpoints)*reportSpacing)
}

// UsageMeter turns usage reports into rates over the fleet. It is not safe for concurrent use.
type UsageMeter struct {
	agents map[string]agentUsage
}

type agentUsage struct {
	report     UsageReport
	version    uint64
	receivedAt time.Time
	rate       map[string]float64
}

// NewUsageMeter returns a meter that has seen no report.
func NewUsageMeter() *UsageMeter { return &UsageMeter{agents: map[string]agentUsage{}} }

// Observe records an agent's report. One with the same version as the agent's last report is
// that report read again, and is ignored.
func (m *UsageMeter) Observe(agent string, version uint64, r UsageReport, now time.Time) {
	old, ok := m.agents[agent]
	if ok && old.version == version {
		return
	}
	next := agentUsage{report: r, version: version, receivedAt: now, rate: map[string]float64{}}
	if ok && old.report.Incarnation == r.Incarnation && now.After(old.receivedAt) {
		for g, used := range r.Used {
			next.rate[g] = max(used-old.report.Used[g], 0) / now.Sub(old.receivedAt).Seconds()
		}
	}
	m.agents[agent] = next
}

// Usages returns the use of the fleet by each group that has a weight and uses accelerator time
// or has requests queued. It drops stale reports.
func (m *UsageMeter) Usages(weights map[string]float64, now time.Time) []Usage {
	stale := staleReportIntervals * ReportInterval(len(m.agents))
	maps.DeleteFunc(m.agents, func(_ string, r agentUsage) bool { return now.Sub(r.receivedAt) > stale })
	rates, waiting := map[string]float64{}, map[string]bool{}
	for _, r := range m.agents {
		for g, rate := range r.rate {
			rates[g] += rate
		}
		for _, g := range r.report.Waiting {
			waiting[g] = true
		}
	}
	var out []Usage
	for _, g := range slices.Sorted(maps.Keys(weights)) {
		if rates[g] > 0 || waiting[g] {
			out = append(out, Usage{Group: g, Weight: weights[g], Rate: rates[g], Backlogged: waiting[g]})
		}
	}
	return out
}
