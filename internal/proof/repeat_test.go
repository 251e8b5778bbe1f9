package proof

import (
	"cmp"
	"flag"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

var repeats = flag.Int("proof.repeat", 0, "number of runs of each of 20 cases whose traces TestRepeat compares")

// trace returns the time and result of every call and the executions of each engine. Calls
// that end at the same instant are sorted, because their order is arbitrary.
func (f *fleet) trace() string {
	f.mu.Lock()
	lines := slices.Clone(f.resultLog)
	f.mu.Unlock()
	slices.Sort(lines)
	for i, e := range f.engines {
		runs := e.Executions()
		for _, r := range runs {
			lines = append(lines, cmp.Or(r.Model, "-")+" "+r.Prompt+" "+strings.Repeat("+", i+1))
		}
	}
	return strings.Join(lines, "\n")
}

// TestRepeat measures the share of cases whose runs are identical. It runs only with
// -proof.repeat, because the package does not guarantee identical runs.
func TestRepeat(t *testing.T) {
	if *repeats == 0 {
		t.Skip("runs with -proof.repeat")
	}
	const cases = 20
	gen := rapid.Custom(drawCase)
	identical, distinctTraces, sameVerdict := 0, 0, 0
	for seed := range cases {
		tc := gen.Example(seed)
		traceSet, verdictSet := map[string]bool{}, map[string]bool{}
		for range *repeats {
			b, tr := execute(t, tc)
			traceSet[tr], verdictSet[b] = true, true
		}
		if len(traceSet) == 1 {
			identical++
		}
		if len(verdictSet) == 1 {
			sameVerdict++
		}
		distinctTraces += len(traceSet)
	}
	t.Logf("%d of %d cases had identical traces, %d the same violations; %d distinct traces in %d runs", identical, cases, sameVerdict, distinctTraces, cases**repeats)
}
