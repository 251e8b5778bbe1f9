package share_test

import (
	"fmt"
	"testing"
	"time"

	"chervilhead/internal/state/share"
)

// TestInterval guards against a report interval that lets the planner drop the reports of a
// large fleet as stale before the next ones are due, or that gives more than 10 a second.
func TestInterval(t *testing.T) {
	for _, endpoints := range []int{2, 150, 600} {
		interval := share.ReportInterval(endpoints)
		if perSecond := float64(endpoints) / interval.Seconds(); perSecond > 10 {
			t.Errorf("%d endpoints: %.1f reports a second", endpoints, perSecond)
		}
		// Reports are sent with lease renewals, which may delay them by some seconds.
		interval += 5 * time.Second
		m, now := share.NewUsageMeter(), time.Unix(0, 0)
		var usages []share.Usage
		for round := range 4 {
			for i := range endpoints {
				now = now.Add(interval / time.Duration(endpoints))
				used := map[string]float64{"g": float64(round) * interval.Seconds()}
				m.Observe(fmt.Sprint(i), uint64(round+1), share.UsageReport{Incarnation: "i", Used: used}, now)
			}
			usages = m.Usages(map[string]float64{"g": 1}, now)
		}
		if len(usages) != 1 || usages[0].Rate < 0.99*float64(endpoints) {
			t.Errorf("%d endpoints that use one unit a second each give usages %+v", endpoints, usages)
		}
	}
}
