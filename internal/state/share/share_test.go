package share_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"chervilhead/internal/trial"
)

// TestFleetShares guards against groups that stay below their fair share because they are
// served at few endpoints.
func TestFleetShares(t *testing.T) {
	datadriven.RunTest(t, "testdata/shares.txt", func(t *testing.T, d *datadriven.TestData) string {
		s, err := trial.ParseShareScenario(d.Input)
		if err != nil {
			t.Fatalf("%s: %v", d.Pos, err)
		}
		var b strings.Builder
		for _, p := range trial.SharePolicies() {
			res := s.Run(p)
			fmt.Fprintf(&b, "%-24s shortfall %5.1f%% jain %.3f", p.Name, res.LargestShortfall*100, res.JainIndex)
			for _, g := range slices.Sorted(maps.Keys(res.WorkPerTick)) {
				fmt.Fprintf(&b, " %s=%.2f", g, res.WorkPerTick[g])
			}
			b.WriteString("\n")
			if p.FleetCorrection && res.LargestShortfall > 0.05 {
				t.Errorf("%s: shortfall %.3f exceeds 0.05", d.Pos, res.LargestShortfall)
			}
		}
		return b.String()
	})
}
