package trial

import (
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestSummary guards against decisions that become worse unnoticed: a change of the
// placement or routing rules shows in the kept requests, in the moves or in the time
// until every model is reachable after a loss.
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
		size := FirstUserFleet()
		size.Horizon = time.Duration(minutes) * time.Minute
		var out strings.Builder
		for _, l := range Workloads() {
			if strings.ReplaceAll(l.Name, " ", "-") != load {
				continue
			}
			if err := PrintResults(&out, l.Name, ComparePolicies(size, l)); err != nil {
				t.Fatal(err)
			}
		}
		return out.String()
	})
}

// TestLimits guards against limits that are exceeded, and against parts that don't
// reach an entry with requests: a skewed balancer or one more entry must leave at least
// 90% of a limit usable.
func TestLimits(t *testing.T) {
	for _, concurrent := range []bool{false, true} {
		most := 2.0 // a rate limit lets one second's burst through
		if concurrent {
			most = 1
		}
		for _, r := range RunLimit(LimitLeased, concurrent) {
			if r.PeakUtilization > most {
				t.Errorf("concurrent %v, %s: the count reaches %.2f of the limit", concurrent, r.Phase, r.PeakUtilization)
			}
			if settled := r.Phase == LimitPhases()[1].Name || r.Phase == LimitPhases()[3].Name; settled && r.Utilization < 0.9 {
				t.Errorf("concurrent %v, %s: %.3f of the limit is used", concurrent, r.Phase, r.Utilization)
			}
		}
	}
}

// TestChats guards against rules of routing that become worse unnoticed: the figures
// are those of a short run of the experiment on routing.
func TestChats(t *testing.T) {
	datadriven.RunTest(t, "testdata/chats", func(t *testing.T, d *datadriven.TestData) string {
		var load string
		var seconds int
		d.ScanArgs(t, "load", &load)
		d.ScanArgs(t, "seconds", &seconds)
		var sizes []ChatScenario
		for _, s := range ChatScenarios() {
			if strings.ReplaceAll(s.Name, " ", "-") == load {
				s.Horizon = time.Duration(seconds) * time.Second
				sizes = append(sizes, s)
			}
		}
		var out strings.Builder
		if err := PrintChats(&out, sizes); err != nil {
			t.Fatal(err)
		}
		return strings.TrimSpace(out.String()) + "\n"
	})
}
