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

// TestDecisions records which of a few candidates is chosen and at what score.
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

// benchIndex returns the endpoints that hold a model, in 12 failure domains.
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

// TestSample guards against samples that repeat an endpoint, miss one that may take
// the request, or prefer an ejected endpoint, a tried one or a tried failure domain.
func TestSample(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	for _, n := range []int{1, 2, 5, maxLooks, 40} {
		x := benchIndex(n)
		for i := range 500 {
			q := Query{Tried: sets.Of[string](), TriedDomains: sets.Of[string](), Available: nil}
			for range r.IntN(3) {
				c := x.all[r.IntN(n)]
				q.Tried.Add(c.Endpoint)
				q.TriedDomains.Add(c.FailureDomain)
			}
			shut := sets.Of[string]()
			for range r.IntN(n + 1) {
				shut.Add(x.all[r.IntN(n)].Endpoint)
			}
			q.Available = func(id string) bool { return !shut.Has(id) }
			if i%3 == 0 {
				q.HomeKey = fmt.Sprint(i)
			}
			checkSample(t, x, q, x.Sample(r, 2, q))
		}
	}
}

// tierOf orders endpoints as a retry prefers them; homes come first in a first attempt.
func tierOf(x *Index, q Query, c Candidate) int {
	rank := 1
	switch {
	case q.Tried.Has(c.Endpoint):
		rank = 3
	case q.TriedDomains.Has(c.FailureDomain):
		rank = 2
	case q.HomeKey != "" && len(q.Tried) == 0 && slices.Contains(x.ring.Homes(q.HomeKey), c.Endpoint):
		rank = 0
	}
	if !q.Available(c.Endpoint) {
		rank += 10
	}
	return rank
}

func checkSample(t *testing.T, x *Index, q Query, got []Candidate) {
	t.Helper()
	byTier := map[int]int{}
	for _, c := range x.all {
		byTier[tierOf(x, q, c)]++
	}
	if len(x.all) > maxLooks && byTier[1]+byTier[0] < len(x.all)/2 {
		return // the bounded looks may miss the best ones
	}
	if len(got) == 0 {
		t.Fatalf("nothing sampled of %d endpoints", len(x.all))
	}
	if len(got) == 2 && got[0].Endpoint == got[1].Endpoint {
		t.Fatalf("%s sampled twice", got[0].Endpoint)
	}
	best := slices.Min(slices.Collect(maps.Keys(byTier)))
	if best == 0 {
		for _, c := range got {
			if tierOf(x, q, c) != 0 {
				t.Fatalf("%s is no home", c.Endpoint)
			}
		}
		return
	}
	for i, c := range got {
		tier := tierOf(x, q, c)
		for byTier[best] == 0 {
			best++
		}
		if tier != best {
			t.Fatalf("candidate %d (%s) is of tier %d, not %d", i, c.Endpoint, tier, best)
		}
		byTier[best]--
	}
	open := 0
	for tier, k := range byTier {
		if tier < 10 {
			open += k
		}
	}
	if len(got) < 2 && best < 10 && open > 0 {
		t.Fatal("only one candidate sampled, although another is open")
	}
}
