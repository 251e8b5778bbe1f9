package route

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"chervilhead/internal/state/poison"
	"chervilhead/internal/state/sets"
)

// Index holds the endpoints that may run one model, grouped by failure domain. It is built
// for each version of the plan and the host list and is immutable, so that a decision copies
// only the candidates that it samples.
type Index struct {
	candidates []Candidate
	positions  map[string]int
	domains    []domainRange
	// holders are all endpoints that hold the model by the plan; ring chooses homes among them.
	holders []string
	ring    poison.Ring
}

// domainRange is the range of candidates of one failure domain in an index.
type domainRange struct {
	domain   string
	from, to int
}

// NewIndex returns the index of the usable endpoints. Homes are chosen among all holders,
// usable or not, because agents choose them in this way.
func NewIndex(usable []Candidate, holders []string) *Index {
	return (*Index)(nil).Rebuild(usable, holders)
}

// Rebuild returns the index of a later version; the receiver may be nil. The hash ring, which
// is the costly part, is reused if the holders are the same.
func (x *Index) Rebuild(usable []Candidate, holders []string) *Index {
	next := &Index{candidates: slices.Clone(usable), positions: make(map[string]int, len(usable)), holders: slices.Clone(holders)}
	if x != nil && slices.Equal(x.holders, holders) {
		next.ring = x.ring
	} else {
		next.ring = poison.NewRing(holders)
	}
	slices.SortStableFunc(next.candidates, func(a, b Candidate) int { return cmp.Compare(a.FailureDomain, b.FailureDomain) })
	for i, c := range next.candidates {
		next.positions[c.Endpoint] = i
		if n := len(next.domains); n == 0 || next.domains[n-1].domain != c.FailureDomain {
			next.domains = append(next.domains, domainRange{domain: c.FailureDomain, from: i})
		}
		next.domains[len(next.domains)-1].to = i + 1
	}
	return next
}

// Len returns the number of endpoints; a nil index has none.
func (x *Index) Len() int {
	if x == nil {
		return 0
	}
	return len(x.candidates)
}

// Get returns the candidate of an endpoint, and whether the index has it.
func (x *Index) Get(endpoint string) (Candidate, bool) {
	if x == nil {
		return Candidate{}, false
	}
	i, ok := x.positions[endpoint]
	if !ok {
		return Candidate{}, false
	}
	return x.candidates[i], true
}

// Query says which endpoints a decision prefers and avoids.
type Query struct {
	// HomeKey is the key whose homes a first attempt prefers; empty prefers none.
	HomeKey string
	// Tried and TriedDomains are where earlier attempts of the request ran.
	Tried, TriedDomains sets.Set[string]
	// Available reports whether an endpoint is not ejected; if it is nil, all are available.
	Available func(endpoint string) bool
}

func (q Query) usable(endpoint string) bool { return q.Available == nil || q.Available(endpoint) }

// Sample returns at most n candidates. A first attempt gets its available homes, because
// elsewhere it would wait for a permit. Otherwise untried endpoints are drawn at random, those
// in untried failure domains first, and tried ones fill the rest. Ejected endpoints are used
// only if no available one is found.
func (x *Index) Sample(r *rand.Rand, n int, q Query) []Candidate {
	if x.Len() == 0 {
		return nil
	}
	out := make([]Candidate, 0, n)
	if q.HomeKey != "" && len(q.Tried) == 0 {
		for _, id := range x.ring.Homes(q.HomeKey) {
			if c, ok := x.Get(id); ok && len(out) < n && q.usable(id) {
				out = append(out, c)
			}
		}
		if len(out) > 0 {
			return out
		}
	}
	d := draw{x: x, r: r, n: n, q: q, out: out}
	d.sample()
	if len(d.out) == 0 && q.Available != nil {
		// An ejected endpoint is better than none.
		d.q.Available = nil
		d.sample()
	}
	return d.out
}

// SampleNonHomes draws at most n available endpoints other than the homes already sampled;
// each needs a permit.
func (x *Index) SampleNonHomes(r *rand.Rand, n int, homes []Candidate, available func(endpoint string) bool) []Candidate {
	q := Query{Tried: sets.Of[string](), Available: available}
	for _, c := range homes {
		q.Tried.Add(c.Endpoint)
	}
	d := draw{x: x, r: r, n: n, q: q}
	d.sampleDomains(false, d.fresh)
	for i := range d.out {
		d.out[i].NeedsPermit = true
	}
	return d.out
}

// maxDraws is the number of endpoints that a sample draws at most among the tried and among
// the untried failure domains. A model with no more endpoints is searched completely; with
// more, all draws hit ejected endpoints only if nearly all endpoints are ejected.
const maxDraws = 16

// draw is a random draw of candidates in progress.
type draw struct {
	x   *Index
	r   *rand.Rand
	n   int
	q   Query
	out []Candidate
}

func (d *draw) sample() {
	d.sampleDomains(false, d.fresh)
	if len(d.q.TriedDomains) > 0 {
		d.sampleDomains(true, d.fresh)
	}
	if len(d.out) < d.n && len(d.q.Tried) > 0 {
		for _, id := range sets.Sorted(d.q.Tried) {
			if c, ok := d.x.Get(id); ok && len(d.out) < d.n && d.q.usable(id) {
				d.out = append(d.out, d.withTried(c))
			}
		}
	}
}

// fresh reports whether an endpoint is untried and not ejected.
func (d *draw) fresh(c *Candidate) bool { return !d.q.Tried.Has(c.Endpoint) && d.q.usable(c.Endpoint) }

// withTried returns a candidate with Tried and DomainTried set as the query says.
func (d *draw) withTried(c Candidate) Candidate {
	c.Tried, c.DomainTried = d.q.Tried.Has(c.Endpoint), d.q.TriedDomains.Has(c.FailureDomain)
	return c
}

// sampleDomains draws endpoints without replacement from the tried or the untried failure
// domains until n are accepted.
func (d *draw) sampleDomains(tried bool, accept func(*Candidate) bool) {
	total := len(d.x.candidates)
	if len(d.q.TriedDomains) > 0 {
		total = 0
		for _, dr := range d.x.domains {
			if d.q.TriedDomains.Has(dr.domain) == tried {
				total += dr.to - dr.from
			}
		}
	}
	var drawn [maxDraws]int // in ascending order
	for k := 0; k < min(total, maxDraws) && len(d.out) < d.n; k++ {
		// v is drawn among the positions not drawn yet.
		v := d.r.IntN(total - k)
		i := 0
		for ; i < k && v >= drawn[i]; i++ {
			v++
		}
		copy(drawn[i+1:k+1], drawn[i:k])
		drawn[i] = v
		if c := &d.x.candidates[d.position(v, tried)]; accept(c) {
			d.out = append(d.out, d.withTried(*c))
		}
	}
}

// position returns the index in candidates of the v-th endpoint, from 0, of the tried or the
// untried failure domains.
func (d *draw) position(v int, tried bool) int {
	if len(d.q.TriedDomains) == 0 {
		return v
	}
	for _, dr := range d.x.domains {
		if d.q.TriedDomains.Has(dr.domain) != tried {
			continue
		}
		if v < dr.to-dr.from {
			return dr.from + v
		}
		v -= dr.to - dr.from
	}
	return 0
}
