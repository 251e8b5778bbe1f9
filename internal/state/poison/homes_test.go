package poison

import (
	"fmt"
	"slices"
	"testing"
)

// TestHomes guards against homes that differ between processes, which would run a request on
// more than two endpoints, and against many homes that move when one endpoint is removed.
func TestHomes(t *testing.T) {
	for _, n := range []int{1, 2, 3, maxCompared, maxCompared + 1, 100, 600} {
		var ids, shuffled []string
		for i := range n {
			ids = append(ids, fmt.Sprintf("agent-%04d", i))
			shuffled = append(shuffled, fmt.Sprintf("agent-%04d", (i*7+3)%n))
		}
		if n%7 == 0 {
			t.Fatalf("the shuffle needs a number of endpoints that 7 does not divide, got %d", n)
		}
		const samples, removals = 200, 10
		moved, ring := 0, NewRing(ids)
		fewer := make([]Ring, removals)
		for k := range fewer {
			fewer[k] = NewRing(slices.Delete(slices.Clone(ids), k*n/removals, k*n/removals+1))
		}
		for i := range samples {
			fp := fmt.Sprint("fingerprint", i)
			got := ring.Homes(fp)
			if len(got) != min(n, homeCount) || !slices.Equal(got, Homes(fp, shuffled)) {
				t.Fatalf("%d endpoints: got homes %v and, in another order, %v", n, got, Homes(fp, shuffled))
			}
			if len(got) == homeCount && got[0] == got[1] {
				t.Fatalf("%d endpoints: got one home twice: %v", n, got)
			}
			for _, r := range fewer {
				if !slices.Equal(got, r.Homes(fp)) {
					moved++
				}
			}
		}
		// One endpoint is a home of 2/n of the fingerprints, and the limit of
		// maxCompared adds at most as many.
		if limit := samples * removals * 2 * homeCount / n; n > homeCount && moved > limit+limit/2 {
			t.Errorf("%d endpoints: %d of %d choices of homes changed with one endpoint removed", n, moved, samples*removals)
		}
	}
}
