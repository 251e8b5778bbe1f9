package poison

import (
	"cmp"
	"slices"
	"sort"
)

const (
	// homeCount is the number of homes of a fingerprint. A request without a recorded crash runs
	// elsewhere only with a home's permit.
	homeCount = 2
	// maxCompared bounds the endpoints compared for one fingerprint, so that the cost of a
	// choice does not grow with the number of endpoints.
	maxCompared = 16
	// pointsPerEndpoint is the number of points of an endpoint on the ring. With one point,
	// the busiest of 600 endpoints was a home 1.9 times as often as the mean.
	pointsPerEndpoint = 16
)

// Ring is the hash ring of the endpoints that hold a model, from which homes are chosen. It
// is immutable, and equal sets of endpoints give equal rings in every process.
type Ring struct {
	points []ringPoint
}

type ringPoint struct {
	hash uint64
	id   string
}

// NewRing returns the ring of some endpoints. Up to maxCompared endpoints have one point
// each, because Homes compares all of them.
func NewRing(endpoints []string) Ring {
	perEndpoint := pointsPerEndpoint
	if len(endpoints) <= maxCompared {
		perEndpoint = 1
	}
	r := Ring{points: make([]ringPoint, 0, perEndpoint*len(endpoints))}
	for _, ep := range endpoints {
		for i := range perEndpoint {
			r.points = append(r.points, ringPoint{hash: RendezvousWeight(string(rune(i)), ep), id: ep})
		}
	}
	slices.SortFunc(r.points, func(a, b ringPoint) int { return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.id, b.id)) })
	return r
}

// Homes returns the endpoints that run requests of a fingerprint, in order of preference.
// It chooses them by rendezvous hashing among the maxCompared endpoints that follow the
// fingerprint on the ring, so that every process chooses the same, the load stays even and
// a change of endpoints moves few homes.
func (r Ring) Homes(fingerprint string) []string {
	n := len(r.points)
	from := 0
	if n > maxCompared { // more than maxCompared endpoints, which have pointsPerEndpoint points each
		hash := RendezvousWeight(fingerprint, "")
		from = sort.Search(n, func(i int) bool { return r.points[i].hash >= hash })
	}
	type candidate struct {
		weight uint64
		id     string
	}
	before := func(a, b candidate) bool { return a.weight > b.weight || a.weight == b.weight && a.id < b.id }
	var best [homeCount]candidate
	var compared [maxCompared]string
	found, seen := 0, 0
	for k := 0; k < n && seen < maxCompared; k++ {
		id := r.points[(from+k)%n].id
		if slices.Contains(compared[:seen], id) {
			continue
		}
		compared[seen] = id
		seen++
		c := candidate{weight: RendezvousWeight(fingerprint, id), id: id}
		for i := range best {
			if i == found || before(c, best[i]) {
				c, best[i] = best[i], c
				if i == found {
					found++
					break
				}
			}
		}
	}
	out := make([]string, 0, homeCount)
	for _, c := range best[:found] {
		out = append(out, c.id)
	}
	return out
}

// Homes returns the homes of a fingerprint among the endpoints that hold its model.
func Homes(fingerprint string, endpoints []string) []string {
	return NewRing(endpoints).Homes(fingerprint)
}

const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// RendezvousWeight returns the weight of an endpoint for a key in rendezvous hashing: a 64-bit
// FNV-1a hash of the endpoint, a zero byte and the key, with its bits mixed.
func RendezvousWeight(key, endpoint string) uint64 {
	x := uint64(fnvOffset)
	for i := range len(endpoint) {
		x = (x ^ uint64(endpoint[i])) * fnvPrime
	}
	x *= fnvPrime
	for i := range len(key) {
		x = (x ^ uint64(key[i])) * fnvPrime
	}
	// FNV leaves the last bytes' effect in the low bits; the mixing spreads it.
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
