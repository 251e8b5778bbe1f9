package route

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"chervilhead/internal/state/sets"
)

// TestDecisions compares the scores of a few candidates and the choice with recorded ones.
func TestDecisions(t *testing.T) {
	datadriven.RunTest(t, "testdata/decisions", func(_ *testing.T, d *datadriven.TestData) string {
		var cs []Candidate
		for _, line := range strings.Split(d.Input, "\n") {
			w := strings.Fields(line)
			c := Candidate{Endpoint: w[0], LoadKnown: true, Resident: true, Slots: 16}
			for _, f := range w[1:] {
				k, v, _ := strings.Cut(f, "=")
				switch k {
				case "wait":
					c.Wait, _ = time.ParseDuration(v)
				case "running":
					_, _ = fmt.Sscan(v, &c.Running)
				case "in_flight":
					_, _ = fmt.Sscan(v, &c.InFlight)
				case "prompt":
					_, _ = fmt.Sscan(v, &c.PromptTokens)
					c.PrefillPerToken = 100 * time.Microsecond
				case "cached":
					_, _ = fmt.Sscan(v, &c.CachedTokens)
				case "permit":
					c.NeedsPermit = true
				case "unknown":
					c.LoadKnown = false
				case "absent":
					c.Resident = false
				case "leaving":
					c.Leaving = true
				case "tried":
					c.Tried = true
				case "domain_tried":
					c.DomainTried = true
				case "local":
					c.Local = true
				}
			}
			cs = append(cs, c)
		}
		var out strings.Builder
		for _, c := range cs {
			fmt.Fprintf(&out, "%s %.4f\n", c.Endpoint, Score(c))
		}
		i := Choose(cs)
		if i >= 0 && (Reason(cs, i) == ReasonAffinity || Reason(cs, i) == ReasonHomesBusy) {
			return out.String() + "choice " + cs[i].Endpoint + ", " + Reason(cs, i) + "\n"
		}
		if i >= 0 {
			return out.String() + "choice " + cs[i].Endpoint + "\n"
		}
		return out.String() + "no choice\n"
	})
}

// benchIndex returns an index of n endpoints in 12 failure domains.
func benchIndex(n int) *Index {
	cs, ids := make([]Candidate, n), make([]string, n)
	for i := range cs {
		ids[i] = fmt.Sprint("e", i)
		cs[i] = Candidate{Endpoint: ids[i], FailureDomain: fmt.Sprint("d", i%12), LoadKnown: true, Resident: true, Slots: 16, Running: i % 16}
	}
	return NewIndex(cs, ids)
}

// BenchmarkChoose measures a sample and a choice among the endpoints that hold a model.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{4, 32, 256} {
		b.Run(fmt.Sprintf("candidates=%d", n), func(b *testing.B) {
			r := rand.New(rand.NewPCG(1, 1))
			x := benchIndex(n)
			b.ReportAllocs()
			for b.Loop() {
				Choose(x.Sample(r, 2, Query{}))
			}
		})
	}
}

// TestSample guards against samples that repeat an endpoint, miss one that may run the
// request, or prefer an ejected endpoint, a tried one or a tried failure domain.
func TestSample(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	for _, n := range []int{1, 2, 5, maxDraws, 40} {
		x := benchIndex(n)
		for i := range 500 {
			q := Query{Tried: sets.Of[string](), TriedDomains: sets.Of[string](), Available: nil}
			for range r.IntN(3) {
				c := x.candidates[r.IntN(n)]
				q.Tried.Add(c.Endpoint)
				q.TriedDomains.Add(c.FailureDomain)
			}
			ejected := sets.Of[string]()
			for range r.IntN(n + 1) {
				ejected.Add(x.candidates[r.IntN(n)].Endpoint)
			}
			q.Available = func(id string) bool { return !ejected.Has(id) }
			if i%3 == 0 {
				q.HomeKey = fmt.Sprint(i)
			}
			checkSample(t, x, q, x.Sample(r, 2, q))
		}
	}
}

// preferenceTier returns the rank of an endpoint in a sample, the lowest first: homes in a
// first attempt, then untried failure domains, untried endpoints and tried ones; ejected
// endpoints come after all available ones.
func preferenceTier(x *Index, q Query, c Candidate) int {
	tier := 1
	switch {
	case q.Tried.Has(c.Endpoint):
		tier = 3
	case q.TriedDomains.Has(c.FailureDomain):
		tier = 2
	case q.HomeKey != "" && len(q.Tried) == 0 && slices.Contains(x.ring.Homes(q.HomeKey), c.Endpoint):
		tier = 0
	}
	if !q.Available(c.Endpoint) {
		tier += 10
	}
	return tier
}

func checkSample(t *testing.T, x *Index, q Query, got []Candidate) {
	t.Helper()
	byTier := map[int]int{}
	for _, c := range x.candidates {
		byTier[preferenceTier(x, q, c)]++
	}
	if len(x.candidates) > maxDraws && byTier[1]+byTier[0] < len(x.candidates)/2 {
		return // maxDraws draws may miss the best ones
	}
	if len(got) == 0 {
		t.Fatalf("none of %d endpoints was sampled", len(x.candidates))
	}
	if len(got) == 2 && got[0].Endpoint == got[1].Endpoint {
		t.Fatalf("%s sampled twice", got[0].Endpoint)
	}
	best := slices.Min(slices.Collect(maps.Keys(byTier)))
	if best == 0 {
		for _, c := range got {
			if preferenceTier(x, q, c) != 0 {
				t.Fatalf("%s is not a home", c.Endpoint)
			}
		}
		return
	}
	for i, c := range got {
		tier := preferenceTier(x, q, c)
		for byTier[best] == 0 {
			best++
		}
		if tier != best {
			t.Fatalf("candidate %d (%s) is in tier %d, want %d", i, c.Endpoint, tier, best)
		}
		byTier[best]--
	}
	available := 0
	for tier, k := range byTier {
		if tier < 10 {
			available += k
		}
	}
	if len(got) < 2 && best < 10 && available > 0 {
		t.Fatal("only one candidate was sampled although another is available")
	}
}
