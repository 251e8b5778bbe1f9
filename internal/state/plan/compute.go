package plan

import (
	"cmp"
	"math"
	"slices"

	"chervilhead/internal/state/memory"
	"chervilhead/internal/state/table"
)

// wantedCopies is the number of copies, in different failure domains where that is
// possible, that every model gets when memory allows.
const wantedCopies = 2

// Compute returns the plan after prev. Copies stay where they are until their space is
// needed, also those beyond demand: to drop them early costs moves and gains nothing, and a copy is let go only while another is
// confirmed: first from Models, which shifts its traffic, and, once the agent reports
// it as extra, by Evict. The endpoints carry their agents' reports.
func Compute(t table.Table, endpoints []Endpoint, prev Plan) Plan {
	return DefaultSettings().Compute(t, endpoints, prev)
}

// Compute returns the plan after prev under these settings.
func (s Settings) Compute(t table.Table, endpoints []Endpoint, prev Plan) Plan {
	b := newBuilder(t, endpoints, prev)
	b.set = s
	b.measure(endpoints)
	b.keepAll()
	models, adapters := b.byNeed()
	b.relieveOverload(models)
	for _, m := range models {
		if len(b.holders[m.Name]) > 0 || b.add(m) || b.makeRoom(m) && b.add(m) {
			continue
		}
		b.unplaced = append(b.unplaced, m.Name)
	}
	for _, m := range adapters {
		b.spread(m)
		if len(b.holders[m.Name]) == 0 && b.asked[m.Name] && b.makeRoom(m) {
			b.spread(m)
		}
		if len(b.holders[m.Name]) == 0 {
			b.unplaced = append(b.unplaced, m.Name)
		}
	}
	for copies := 2; copies <= maxCopies(models); copies++ {
		for _, m := range models {
			if n := len(b.holders[m.Name]); n > 0 && n < copies && copies <= wanted(m) {
				b.add(m)
			}
		}
	}
	b.follow(models)
	for _, m := range adapters {
		b.spread(m)
	}
	return b.plan(prev)
}

func wanted(m table.Model) int { return max(m.LeastCopies, wantedCopies) }

func maxCopies(models []table.Model) int {
	n := wantedCopies
	for _, m := range models {
		n = max(n, m.LeastCopies)
	}
	return n
}

type space struct {
	Endpoint
	free int64
	// staging is the largest staging space of a load: whichever model loads last
	// must find it beside all others.
	staging   int64
	models    map[string]bool
	confirmed map[string]bool
	before    []string
	since     uint64
	// turns are those of the plan before.
	turns map[string]int
	// retired holds the resident models that the plan gives up for lack of demand.
	retired map[string]bool
}

type builder struct {
	t        table.Table
	spaces   []*space
	holders  map[string][]*space
	adapters map[string][]table.Model
	group    map[string]int64
	unplaced []string
	set      Settings
	// demand is the demand for each model with its adapters, own without, in engines.
	demand, own map[string]float64
	// asked holds the models that requests wait for, idle those without demand at any
	// of their copies, with the least doublings that a copy's agent reports.
	asked map[string]bool
	idle  map[string]int
}

func newBuilder(t table.Table, endpoints []Endpoint, prev Plan) *builder {
	b := &builder{t: t, holders: map[string][]*space{}, adapters: map[string][]table.Model{}, group: map[string]int64{}}
	for _, m := range t.Models {
		if m.Base != "" {
			b.adapters[m.Base] = append(b.adapters[m.Base], m)
		}
	}
	for _, e := range endpoints {
		s := &space{Endpoint: e, free: e.CapacityBytes, models: map[string]bool{}, confirmed: map[string]bool{}, retired: map[string]bool{}}
		if old, ok := prev.Endpoint(e.ID); ok {
			s.before, s.since, s.Role, s.turns = old.Models, old.ModelsVersion, old.Role, old.LoadOrder
			for _, m := range old.Retire {
				// A report on an older list doesn't tell yet what is left of the copy.
				s.retired[m] = e.ModelsVersion != s.since || slices.Contains(e.Extra, m)
			}
		}
		for _, m := range s.before {
			// A report on an older list says nothing about the newer one.
			s.confirmed[m] = e.ModelsVersion == s.since && !slices.Contains(e.Missing, m)
		}
		for _, m := range e.Extra {
			s.confirmed[m] = true
		}
		b.spaces = append(b.spaces, s)
	}
	slices.SortFunc(b.spaces, func(x, y *space) int { return cmp.Compare(x.ID, y.ID) })
	return b
}

// keepAll retains the copies that exist before those that are only planned: two
// planned copies, each in the space of the other's only resident copy, would never load.
func (b *builder) keepAll() {
	for _, s := range b.spaces {
		b.keep(s, s.before, true)
	}
	for _, s := range b.spaces {
		b.keep(s, slices.DeleteFunc(slices.Clone(s.Extra), func(m string) bool { return b.evictable(s, m) }), true)
	}
	for _, s := range b.spaces {
		b.keep(s, s.before, false)
	}
}

// keep retains those of an endpoint's copies that are confirmed or not, bases first.
func (b *builder) keep(s *space, names []string, confirmed bool) {
	for _, adapter := range []bool{false, true} {
		for _, name := range names {
			m, ok := b.t.Model(name)
			if !ok || s.Leaving || s.models[name] || s.confirmed[name] != confirmed || (m.Base != "") != adapter || m.Base != "" && !s.models[m.Base] {
				continue
			}
			if fits(s, m) || confirmed && s.free >= m.MemoryBytes {
				b.put(s, m)
			}
		}
	}
}

// byNeed returns the models and the adapters: those without a copy first, of them those
// that requests wait for, then by the weight of their groups, then the largest.
func (b *builder) byNeed() (models, adapters []table.Model) {
	weight := map[string]float64{}
	for _, m := range b.t.Models {
		for _, g := range m.Groups {
			row, _ := b.t.Group(g)
			weight[m.Name] += row.Weight
		}
		if m.Base == "" {
			models = append(models, m)
		} else {
			adapters = append(adapters, m)
		}
	}
	order := func(x, y table.Model) int {
		return cmp.Or(
			cmp.Compare(min(len(b.holders[x.Name]), 1), min(len(b.holders[y.Name]), 1)),
			-cmp.Compare(b.urgency(x), b.urgency(y)),
			cmp.Compare(weight[y.Name], weight[x.Name]),
			cmp.Compare(y.MemoryBytes, x.MemoryBytes), cmp.Compare(x.Name, y.Name))
	}
	slices.SortFunc(models, order)
	slices.SortFunc(adapters, order)
	return models, adapters
}

func fits(s *space, m table.Model) bool {
	return s.Service == "" && !s.Leaving && !s.models[m.Name] && s.free >= m.MemoryBytes+max(s.staging, memory.StagingBytes(m.MemoryBytes))
}

// allowed reports whether one more copy keeps the memory limits of the model's groups.
func (b *builder) allowed(m table.Model) bool {
	for _, name := range m.Groups {
		if g, ok := b.t.Group(name); ok && g.MaxMemoryBytes > 0 && b.group[name]+m.MemoryBytes > g.MaxMemoryBytes {
			return false
		}
	}
	return true
}

// add puts one more copy of a model on the best endpoint that has room.
func (b *builder) add(m table.Model) bool {
	if !b.allowed(m) {
		return false
	}
	var best *space
	var bestScore float64
	for _, s := range b.spaces {
		if !fits(s, m) {
			continue
		}
		score := float64(s.free) / float64(max(s.CapacityBytes, 1))
		if !slices.ContainsFunc(b.holders[m.Name], func(h *space) bool { return h.FailureDomain == s.FailureDomain }) {
			score += 2
		}
		if best == nil || score > bestScore {
			best, bestScore = s, score
		}
	}
	if best == nil {
		return false
	}
	b.put(best, m)
	return true
}

// spread puts an adapter on endpoints that hold its base and have room, on as many as its
// own demand calls for. Copies beyond that are loads that a base's every move repeats.
func (b *builder) spread(m table.Model) {
	want := max(wanted(m)+adapterSpare, int(math.Ceil(b.own[m.Name]/copyLoad)))
	for _, s := range b.holders[m.Base] {
		if len(b.holders[m.Name]) < want && fits(s, m) && b.allowed(m) {
			b.put(s, m)
		}
	}
}

func (b *builder) put(s *space, m table.Model) {
	s.models[m.Name] = true
	s.free -= m.MemoryBytes
	s.staging = max(s.staging, memory.StagingBytes(m.MemoryBytes))
	b.holders[m.Name] = append(b.holders[m.Name], s)
	for _, g := range m.Groups {
		b.group[g] += m.MemoryBytes
	}
}

// plan returns the result; Since moves on only where Models changed.
func (b *builder) plan(prev Plan) Plan {
	slices.Sort(b.unplaced)
	turns := b.turns()
	p := Plan{Version: prev.Version + 1, Unplaced: b.unplaced, UnplacedReasons: b.reasons(), LoadsPerSecond: b.set.LoadsPerSecond}
	for _, s := range b.spaces {
		e := Endpoint{
			ID: s.ID, Address: s.Address, FailureDomain: s.FailureDomain, Service: s.Service,
			CapacityBytes: s.CapacityBytes, Role: s.Role, ModelsVersion: s.since, Leaving: s.Leaving, LoadOrder: turns[s],
		}
		for name := range s.models {
			e.Models = append(e.Models, name)
		}
		slices.Sort(e.Models)
		if !slices.Equal(e.Models, s.before) {
			e.ModelsVersion = p.Version
		}
		for _, name := range s.Extra {
			if !s.models[name] && b.evictable(s, name) && !s.retired[name] {
				e.Evict = append(e.Evict, name)
			}
		}
		slices.Sort(e.Evict)
		for name, retired := range s.retired {
			if retired && !s.models[name] {
				e.Retire = append(e.Retire, name)
			}
		}
		slices.Sort(e.Retire)
		p.Endpoints = append(p.Endpoints, e)
	}
	return p
}
