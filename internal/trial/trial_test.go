package trial

import (
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestSummary guards against unnoticed regressions of placement and routing: a change of
// their rules shows in the requests that meet the objective, in the moves or in the time
// until every model is reachable after the loss of a failure domain.
func TestSummary(t *testing.T) {
	datadriven.RunTest(t, "testdata/summary", func(t *testing.T, d *datadriven.TestData) string {
		if d.Cmd == "recovery" {
			var out strings.Builder
			loss := DomainLoss{FleetSpec: FleetSpec{Name: "small", FailureDomains: 4, LoadsAtOnce: 3, Horizon: domainLossEnd}}
			d.ScanArgs(t, "engines", &loss.Engines)
			d.ScanArgs(t, "models", &loss.Models)
			d.ScanArgs(t, "domains", &loss.LostDomains)
			if err := PrintRecovery(&out, loss); err != nil {
				t.Fatal(err)
			}
			return out.String()
		}
		var load string
		var minutes int
		d.ScanArgs(t, "load", &load)
		d.ScanArgs(t, "minutes", &minutes)
		fleet := FirstUserFleet()
		fleet.Horizon = time.Duration(minutes) * time.Minute
		var out strings.Builder
		for _, l := range Workloads() {
			if strings.ReplaceAll(l.Name, " ", "-") != load {
				continue
			}
			if err := PrintResults(&out, l.Name, ComparePolicies(fleet, l)); err != nil {
				t.Fatal(err)
			}
		}
		return out.String()
	})
}

// TestLimits guards against exceeded limits, and against parts that are not leased to the
// entries with traffic: with a skewed load balancer or one more entry, at least 90% of a
// limit must be used.
func TestLimits(t *testing.T) {
	for _, concurrent := range []bool{false, true} {
		maxUtilization := 2.0 // a rate limit lets one second's burst through
		if concurrent {
			maxUtilization = 1
		}
		for _, r := range RunLimit(LimitLeased, concurrent) {
			if r.PeakUtilization > maxUtilization {
				t.Errorf("concurrent %v, %s: the count reaches %.2f of the limit", concurrent, r.Phase, r.PeakUtilization)
			}
			if settled := r.Phase == LimitPhases()[1].Name || r.Phase == LimitPhases()[3].Name; settled && r.Utilization < 0.9 {
				t.Errorf("concurrent %v, %s: %.3f of the limit is used", concurrent, r.Phase, r.Utilization)
			}
		}
	}
}

// TestChats guards against unnoticed regressions of the routing rules by the figures of a
// short run of the routing experiment.
func TestChats(t *testing.T) {
	datadriven.RunTest(t, "testdata/chats", func(t *testing.T, d *datadriven.TestData) string {
		var load string
		var seconds int
		d.ScanArgs(t, "load", &load)
		d.ScanArgs(t, "seconds", &seconds)
		var scenarios []ChatScenario
		for _, s := range ChatScenarios() {
			if strings.ReplaceAll(s.Name, " ", "-") == load {
				s.Horizon = time.Duration(seconds) * time.Second
				scenarios = append(scenarios, s)
			}
		}
		var out strings.Builder
		if err := PrintChats(&out, scenarios); err != nil {
			t.Fatal(err)
		}
		return strings.TrimSpace(out.String()) + "\n"
	})
}
