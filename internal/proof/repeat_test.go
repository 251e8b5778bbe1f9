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

// trace returns what every call came to and when, and what each engine ran. Events of
// one instant are sorted, because their order says nothing.
func (f *fleet) trace() string {
	f.mu.Lock()
	lines := slices.Clone(f.ends)
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
// -proof.repeat, because identical runs are no promise of the package.
func TestRepeat(t *testing.T) {
	if *repeats == 0 {
		t.Skip("runs with -proof.repeat")
	}
	const cases = 20
	gen := rapid.Custom(drawCase)
	same, traces, verdicts := 0, 0, 0
	for seed := range cases {
		tc := gen.Example(seed)
		seen, broken := map[string]bool{}, map[string]bool{}
		for range *repeats {
			b, tr := execute(t, tc)
			seen[tr], broken[b] = true, true
		}
		if len(seen) == 1 {
			same++
		}
		if len(broken) == 1 {
			verdicts++
		}
		traces += len(seen)
	}
	t.Logf("%d of %d cases had identical traces, %d one verdict; %d distinct traces in %d runs", same, cases, verdicts, traces, cases**repeats)
}
