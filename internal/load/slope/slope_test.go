package slope

import (
	"math"
	"strings"
	"testing"
)

// TestReadBenchmarksAndFit guards against a fit that misses superlinear growth.
func TestReadBenchmarksAndFit(t *testing.T) {
	in := `goos: linux
BenchmarkPlan/models=10-12   100   200 ns/op   10 B/op
BenchmarkPlan/models=20-12   100   800 ns/op   20 B/op
BenchmarkPlan/models=40-12   100   3200 ns/op  40 B/op
BenchmarkPlan/models=80-12   100   12800 ns/op 80 B/op
`
	all, err := ReadBenchmarks(strings.NewReader(in))
	if err != nil {
		t.Fatal(err)
	}
	if e, f := Fit(all["BenchmarkPlan/models ns/op"]); math.Abs(e-2) > 1e-9 || math.Abs(f-2) > 1e-9 {
		t.Fatalf("got exponent %v, factor %v; want 2 and 2", e, f)
	}
	var b strings.Builder
	if err := WriteFits(&b, all); err != nil || strings.Count(b.String(), "exponent") != 2 {
		t.Fatalf("got fits %q, error %v", b.String(), err)
	}
}
