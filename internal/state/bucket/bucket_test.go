package bucket

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestDivideNeverExceeds guards against a division with which the holders could together use
// more than the limit.
func TestDivideNeverExceeds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := float64(rapid.IntRange(0, 1000).Draw(t, "limit"))
		held := map[string]float64{}
		ids := []string{"a", "b", "c", "d", "e"}
		for range 30 {
			var hs []Holder
			for _, id := range ids {
				hs = append(hs, Holder{ID: id, Held: held[id], Demand: rapid.Float64Range(0, 1500).Draw(t, "demand")})
			}
			grants := Divide(limit, 1, hs)
			sum := 0.0
			for _, id := range ids {
				sum += max(held[id], grants[id])
			}
			if sum > limit+1e-6 {
				t.Fatalf("the parts sum to %v, above the limit %v: held %v, granted %v", sum, limit, held, grants)
			}
			// Some of the holders adopt their grants.
			for _, id := range ids {
				if rapid.Bool().Draw(t, "adopt") {
					held[id] = grants[id]
				}
			}
		}
	})
}

// TestDivideFollowsDemand guards against a limit that stays mostly unused when the load
// balancer sends most requests to one holder.
func TestDivideFollowsDemand(t *testing.T) {
	hs := []Holder{{ID: "a", Held: 50, Demand: 95}, {ID: "b", Held: 50, Demand: 5}}
	for range 3 {
		g := Divide(100, 1, hs)
		for i := range hs {
			hs[i].Held = g[hs[i].ID]
		}
	}
	if hs[0].Held < 90 || hs[0].Held+hs[1].Held > 100 {
		t.Fatalf("got parts %+v, want at least 90 for the first holder and at most 100 together", hs)
	}
}

// TestDivideSmall guards against a limit that goes to no holder because each one's target is
// less than one unit.
func TestDivideSmall(t *testing.T) {
	hs := []Holder{{ID: "a", Demand: 2}, {ID: "b", Demand: 2}, {ID: "c", Demand: 1}}
	for limit := 1.0; limit <= 5; limit++ {
		sum := 0.0
		for _, part := range Divide(limit, 1, hs) {
			sum += part
		}
		if sum != limit {
			t.Errorf("the holders got %v of %v", sum, limit)
		}
	}
}

// TestBucketRate guards against a bucket that allows more than its rate and burst.
func TestBucketRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		begin := now
		var b Bucket
		b = b.WithRate(now, 10)
		taken := 0.0
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			n := float64(rapid.IntRange(1, 5).Draw(t, "n"))
			next, wait, ok := b.Take(now, n)
			b = next
			if ok {
				taken += n
			} else if wait <= 0 {
				t.Fatalf("units were denied without a wait")
			}
			if limit := 10 * (now.Sub(begin).Seconds() + 1); taken > limit+1e-6 {
				t.Fatalf("took %v units, want at most %v", taken, limit)
			}
		}
	})
}
