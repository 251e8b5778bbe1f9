package share

import (
	"maps"
	"slices"
	"time"
)

// UsageReport is what an agent tells of its groups' use of its endpoint. Used grows for as
// long as the agent runs, so a lost or repeated report does no lasting harm.
type UsageReport struct {
	Incarnation string `json:"incarnation"`
	// Used is the accelerator time used by each group, in token units.
	Used map[string]float64 `json:"used,omitempty"`
	// Waiting lists the groups with queued attempts.
	Waiting []string `json:"waiting,omitempty"`
}

const (
	// leastInterval is the time between two reports of an agent in a small fleet, and
	// spacePerEndpoint spaces the reports of a large one: the planner, which reads them
	// all, gets at most 10 a second.
	leastInterval    = 15 * time.Second
	spacePerEndpoint = 100 * time.Millisecond
	// staleIntervals is the age in intervals from which a report counts for nothing: its agent is gone.
	staleIntervals = 4
)

// ReportInterval returns the time between two reports of an agent, which is also the time
// between two corrections: a correction from old reports would repeat the one before.
func ReportInterval(endpoints int) time.Duration {
	return max(leastInterval, time.Duration(endpoints)*spacePerEndpoint)
}

// UsageMeter turns reports into rates over the fleet. It is not safe for concurrent use.
type UsageMeter struct {
	seen map[string]reading
}

type reading struct {
	report  UsageReport
	version uint64
	at      time.Time
	rate    map[string]float64
}

// NewUsageMeter returns a meter that has seen no report.
func NewUsageMeter() *UsageMeter { return &UsageMeter{seen: map[string]reading{}} }

// Observe takes an agent's report; version tells a new report from one read again.
func (m *UsageMeter) Observe(agent string, version uint64, r UsageReport, now time.Time) {
	old, ok := m.seen[agent]
	if ok && old.version == version {
		return
	}
	next := reading{report: r, version: version, at: now, rate: map[string]float64{}}
	if ok && old.report.Incarnation == r.Incarnation && now.After(old.at) {
		for g, used := range r.Used {
			next.rate[g] = max(used-old.report.Used[g], 0) / now.Sub(old.at).Seconds()
		}
	}
	m.seen[agent] = next
}

// Usages returns the use of the fleet by each group with a weight.
func (m *UsageMeter) Usages(weights map[string]float64, now time.Time) []Usage {
	stale := staleIntervals * ReportInterval(len(m.seen))
	maps.DeleteFunc(m.seen, func(_ string, r reading) bool { return now.Sub(r.at) > stale })
	rates, waiting := map[string]float64{}, map[string]bool{}
	for _, r := range m.seen {
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
