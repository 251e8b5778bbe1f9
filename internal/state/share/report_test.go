package share_test

import (
	"fmt"
	"testing"
	"time"

	"chervilhead/internal/state/share"
)

// TestInterval guards against reports of a large fleet that the planner drops as stale
// before the next ones are due, or that come more often than 10 a second.
func TestInterval(t *testing.T) {
	for _, endpoints := range []int{2, 150, 600} {
		every := share.ReportInterval(endpoints)
		if perSecond := float64(endpoints) / every.Seconds(); perSecond > 10 {
			t.Errorf("%d endpoints: %.1f reports a second", endpoints, perSecond)
		}
		// A report rides on a lease renewal, which may bring it some seconds late.
		every += 5 * time.Second
		m, now := share.NewUsageMeter(), time.Unix(0, 0)
		var us []share.Usage
		for round := range 4 {
			for i := range endpoints {
				now = now.Add(every / time.Duration(endpoints))
				used := map[string]float64{"g": float64(round) * every.Seconds()}
				m.Observe(fmt.Sprint(i), uint64(round+1), share.UsageReport{Incarnation: "i", Used: used}, now)
			}
			us = m.Usages(map[string]float64{"g": 1}, now)
		}
		if len(us) != 1 || us[0].Rate < 0.99*float64(endpoints) {
			t.Errorf("%d endpoints that use one unit a second each are seen as %+v", endpoints, us)
		}
	}
}
