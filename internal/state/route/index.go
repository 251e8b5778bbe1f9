package route

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"chervilhead/internal/state/poison"
	"chervilhead/internal/state/sets"
)

// Index holds the endpoints that may run one model, grouped by failure domain. It is
// built once per version of the plan and the host list and never changes, so that a
// decision copies only the candidates it samples.
type Index struct {
	all     []Candidate
	at      map[string]int
	domains []span
	// holders are all endpoints of the plan that hold the model, and ring their order.
	holders []string
	ring    poison.Ring
}

// span is the range of a failure domain in an index.
type span struct {
	domain   string
	from, to int
}

// NewIndex returns the index of the endpoints that may be used. The homes are chosen
// among all holders, because agents choose them so, whether they may be used or not.
func NewIndex(usable []Candidate, holders []string) *Index {
	return (*Index)(nil).Rebuild(usable, holders)
}

// Rebuild returns the index of a later version. The ring, which takes most of the time, is
// kept while the holders stay the same; the receiver may be nil.
func (x *Index) Rebuild(usable []Candidate, holders []string) *Index {
	next := &Index{all: slices.Clone(usable), at: make(map[string]int, len(usable)), holders: slices.Clone(holders)}
	if x != nil && slices.Equal(x.holders, holders) {
		next.ring = x.ring
	} else {
		next.ring = poison.NewRing(holders)
	}
	slices.SortStableFunc(next.all, func(a, b Candidate) int { return cmp.Compare(a.FailureDomain, b.FailureDomain) })
	for i, c := range next.all {
		next.at[c.Endpoint] = i
		if n := len(next.domains); n == 0 || next.domains[n-1].domain != c.FailureDomain {
			next.domains = append(next.domains, span{domain: c.FailureDomain, from: i})
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
	return len(x.all)
}

// Get returns an endpoint's candidate.
func (x *Index) Get(endpoint string) (Candidate, bool) {
	if x == nil {
		return Candidate{}, false
	}
	i, ok := x.at[endpoint]
	if !ok {
		return Candidate{}, false
	}
	return x.all[i], true
}

// Query says which endpoints a decision prefers and avoids.
type Query struct {
	// HomeKey is the key whose homes a first attempt prefers; empty prefers none.
	HomeKey string
	// Tried and TriedDomains are where earlier attempts of the request ran.
	Tried, TriedDomains sets.Set[string]
	// Available reports whether an endpoint is not ejected; nil opens all.
	Available func(endpoint string) bool
}

func (q Query) open(endpoint string) bool { return q.Available == nil || q.Available(endpoint) }

// Sample returns at most n candidates. A first attempt gets its homes that are open:
// elsewhere it would wait for a permit. Otherwise the candidates are drawn at random:
// open ones before ejected ones, then those in untried failure domains, then untried ones.
func (x *Index) Sample(r *rand.Rand, n int, q Query) []Candidate {
	if x.Len() == 0 {
		return nil
	}
	out := make([]Candidate, 0, n)
	if q.HomeKey != "" && len(q.Tried) == 0 {
		for _, id := range x.ring.Homes(q.HomeKey) {
			if c, ok := x.Get(id); ok && len(out) < n && q.open(id) {
				out = append(out, c)
			}
		}
		if len(out) > 0 {
			return out
		}
	}
	d := draw{x: x, r: r, n: n, q: q, out: out}
	d.run()
	if len(d.out) == 0 && q.Available != nil {
		// A failing endpoint is better than none.
		d.q.Available = nil
		d.run()
	}
	return d.out
}

// SampleNonHomes draws at most n open endpoints beyond the homes already sampled; each needs a permit.
func (x *Index) SampleNonHomes(r *rand.Rand, n int, homes []Candidate, open func(endpoint string) bool) []Candidate {
	q := Query{Tried: sets.Of[string](), Available: open}
	for _, c := range homes {
		q.Tried.Add(c.Endpoint)
	}
	d := draw{x: x, r: r, n: n, q: q}
	d.tier(false, d.untried)
	for i := range d.out {
		d.out[i].NeedsPermit = true
	}
	return d.out
}

// maxLooks bounds the endpoints that one sample looks at in each tier. A model with no
// more endpoints is searched completely; with more, all looks meet ejected endpoints
// only if nearly all of them are.
const maxLooks = 16

// draw is a sample in progress.
type draw struct {
	x   *Index
	r   *rand.Rand
	n   int
	q   Query
	out []Candidate
}

func (d *draw) run() {
	d.tier(false, d.untried)
	if len(d.q.TriedDomains) > 0 {
		d.tier(true, d.untried)
	}
	if len(d.out) < d.n && len(d.q.Tried) > 0 {
		for _, id := range sets.Sorted(d.q.Tried) {
			if c, ok := d.x.Get(id); ok && len(d.out) < d.n && d.q.open(id) {
				d.out = append(d.out, d.mark(c))
			}
		}
	}
}

func (d *draw) untried(c *Candidate) bool { return !d.q.Tried.Has(c.Endpoint) && d.q.open(c.Endpoint) }

// mark notes what the request has tried.
func (d *draw) mark(c Candidate) Candidate {
	c.Tried, c.DomainTried = d.q.Tried.Has(c.Endpoint), d.q.TriedDomains.Has(c.FailureDomain)
	return c
}

// tier draws without replacement among the endpoints of the tried or untried failure domains.
func (d *draw) tier(tried bool, take func(*Candidate) bool) {
	total := len(d.x.all)
	if len(d.q.TriedDomains) > 0 {
		total = 0
		for _, s := range d.x.domains {
			if d.q.TriedDomains.Has(s.domain) == tried {
				total += s.to - s.from
			}
		}
	}
	var seen [maxLooks]int // in ascending order
	for k := 0; k < min(total, maxLooks) && len(d.out) < d.n; k++ {
		// The draw counts only positions not seen yet.
		v := d.r.IntN(total - k)
		at := 0
		for ; at < k && v >= seen[at]; at++ {
			v++
		}
		copy(seen[at+1:k+1], seen[at:k])
		seen[at] = v
		if c := &d.x.all[d.position(v, tried)]; take(c) {
			d.out = append(d.out, d.mark(*c))
		}
	}
}

// position returns the position of the v-th endpoint of the tried or untried domains.
func (d *draw) position(v int, tried bool) int {
	if len(d.q.TriedDomains) == 0 {
		return v
	}
	for _, s := range d.x.domains {
		if d.q.TriedDomains.Has(s.domain) != tried {
			continue
		}
		if v < s.to-s.from {
			return s.from + v
		}
		v -= s.to - s.from
	}
	return 0
}
