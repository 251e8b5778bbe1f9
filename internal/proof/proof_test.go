package proof

import (
	"flag"
	"runtime"
	"strings"
	"testing"
	"testing/cryptotest"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	_ "chervilhead/internal/seeds"
)

// shortRunCases is the number of cases unless -rapid.checks is given.
const shortRunCases = "6"

func init() {
	if err := flag.Set("rapid.checks", shortRunCases); err != nil {
		panic(err)
	}
}

const (
	// bootTime is the time for a new fleet to load its models.
	bootTime = 14 * time.Second
	// recoveryDelay is the time for a fleet to recover after the last fault.
	recoveryDelay = 45 * time.Second
)

// execute runs a case in virtual time and returns its violations and its trace.
func execute(t *testing.T, tc testCase) (violations, trace string) {
	cryptotest.SetGlobalRandom(t, 1)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	synctest.Test(t, func(*testing.T) {
		f := newFleet(tc.Kind)
		time.Sleep(bootTime)
		for i, s := range tc.Steps {
			f.apply(i, s)
			time.Sleep(s.Wait)
		}
		violations, trace = f.finish(), f.trace()
	})
	return violations, trace
}

// finish lets a fleet recover, checks all rules, closes it and returns the violations.
func (f *fleet) finish() string {
	f.wg.Wait()
	f.replacements.Wait()
	f.table.LoseReplies(0)
	f.objects.LoseReplies(0)
	time.Sleep(recoveryDelay)
	f.checkServing()
	f.checkNoneInFlight()
	f.checkCalls(f.kind)
	f.checkMemory()
	f.checkEdits()
	f.checkTableVersions()
	f.close()
	return strings.Join(f.violations, "\n")
}

// TestSystem checks all rules of the package under random mixes of requests and faults.
func TestSystem(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tc := drawCase(rt)
		if violations, _ := execute(t, tc); violations != "" {
			rt.Fatalf("%s\n%#v", violations, tc)
		}
	})
}

// TestSilentConnection guards against losing a non-idempotent request on an idle connection
// that became silent long before.
func TestSilentConnection(t *testing.T) {
	checkCase(t, testCase{Steps: []step{
		{Action: "service", A: 0, C: 1, Wait: 400 * time.Millisecond},
		{Action: "service", A: 1, C: 1, Wait: 400 * time.Millisecond},
		{Action: "silent", A: 0, B: serviceAgent, C: 99},
		{Action: "silent", A: 1, B: serviceAgent, C: 99},
	}})
}

// checkCase runs a regression case and reports its violations.
func checkCase(t *testing.T, tc testCase) {
	t.Helper()
	if violations, _ := execute(t, tc); violations != "" {
		t.Error(violations)
	}
}

// TestStaleResidency guards against failing an idempotent request because its agent
// considered a model resident that the engine was about to replace.
func TestStaleResidency(t *testing.T) {
	var steps []step
	for i := range models {
		steps = append(steps, step{Action: "version", B: i})
	}
	// Requests for each model until every process has polled the table.
	for i := range 250 {
		steps = append(steps, step{Action: "send", A: i, B: i, Wait: tablePoll * 3 / 2 / 250})
	}
	checkCase(t, testCase{Kind: calm, Steps: steps})
}

// TestServiceAgentLeaves guards against an idle agent that exits as soon as it is told to
// drain, while entries that do not know this yet send it non-idempotent calls.
func TestServiceAgentLeaves(t *testing.T) {
	steps := []step{{Action: "service", C: 1, Wait: 3 * time.Second}, {Action: "leave_agent", A: serviceAgent, B: 1}}
	for i := range 20 {
		steps = append(steps, step{Action: "service", A: i, C: 1, Wait: time.Millisecond / 2})
	}
	checkCase(t, testCase{Kind: calm, Steps: steps})
}
