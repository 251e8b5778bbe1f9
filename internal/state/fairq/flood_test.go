package fairq_test

import (
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"chervilhead/internal/trial"
)

// maxDelayRatio is the objective for the victim's 95th percentile time to first token, as a
// multiple of that without a flood.
const maxDelayRatio = 1.2

// TestFlood guards against a group within its share that waits because another group floods
// the endpoint.
func TestFlood(t *testing.T) {
	datadriven.RunTest(t, "testdata/flood.txt", func(t *testing.T, d *datadriven.TestData) string {
		var l trial.Flood
		d.ScanArgs(t, "victim", &l.VictimLoad)
		d.ScanArgs(t, "flood", &l.FloodLoad)
		l.VictimBursty, l.FloodBursty, l.NoSlowdown = d.HasArg("bursty"), d.HasArg("waves"), d.HasArg("flat")
		var b strings.Builder
		for _, p := range trial.FloodPolicies() {
			r := trial.RunFlood(l, p)
			b.WriteString(r.Line() + "\n")
			if p.Name == trial.RecommendedFloodPolicy && r.Slowdown > maxDelayRatio {
				t.Errorf("%s: ratio %.2f exceeds %.2f", d.Pos, r.Slowdown, maxDelayRatio)
			}
		}
		return b.String()
	})
}
