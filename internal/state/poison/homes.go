package poison

import (
	"cmp"
	"slices"
	"sort"
)

const (
	// homes is the number of endpoints that may run a request of which no crash is known.
	homes = 2
	// window bounds the endpoints compared for one fingerprint, so that the cost of a
	// decision doesn't grow with the fleet.
	window = 16
	// points is the number of an endpoint's places on the ring. With one place the busiest
	// of 600 endpoints was home 1.9 times as often as the mean.
	points = 16
)

// Ring orders the endpoints that hold a model for the choice of homes. It is
// immutable, and equal sets of endpoints give equal rings in every process.
type Ring struct {
	places []ringPlace
}

type ringPlace struct {
	at uint64
	id string
}

// NewRing returns the ring of endpoints. A few endpoints need no order.
func NewRing(endpoints []string) Ring {
	each := points
	if len(endpoints) <= window {
		each = 1
	}
	r := Ring{places: make([]ringPlace, 0, each*len(endpoints))}
	for _, ep := range endpoints {
		for i := range each {
			r.places = append(r.places, ringPlace{at: RendezvousWeight(string(rune(i)), ep), id: ep})
		}
	}
	slices.SortFunc(r.places, func(a, b ringPlace) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.id, b.id)) })
	return r
}

// Homes returns the endpoints that run requests of a fingerprint, in order of
// preference. It picks them by rendezvous hashing within the window that follows the
// fingerprint's place on the ring, so that every process picks the same, the fleet's
// load stays even and a change of endpoints moves few homes.
func (r Ring) Homes(fingerprint string) []string {
	n := len(r.places)
	from := 0
	if n > window { // more than a window of endpoints have points places each
		at := RendezvousWeight(fingerprint, "")
		from = sort.Search(n, func(i int) bool { return r.places[i].at >= at })
	}
	type ranked struct {
		weight uint64
		id     string
	}
	before := func(a, b ranked) bool { return a.weight > b.weight || a.weight == b.weight && a.id < b.id }
	var best [homes]ranked
	var compared [window]string
	found, seen := 0, 0
	for k := 0; k < n && seen < window; k++ {
		id := r.places[(from+k)%n].id
		if slices.Contains(compared[:seen], id) {
			continue
		}
		compared[seen] = id
		seen++
		c := ranked{weight: RendezvousWeight(fingerprint, id), id: id}
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
	out := make([]string, 0, homes)
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
