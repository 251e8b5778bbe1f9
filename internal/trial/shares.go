package trial

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"

	"chervilhead/internal/state/fairq"
	"chervilhead/internal/state/share"
)

// ShareScenario is a fleet whose endpoints do one unit of work per tick, with groups that
// always have a backlog at the endpoints that serve them.
type ShareScenario struct {
	endpoints int
	weights   map[string]float64
	served    map[string][]int
	ideal     map[string]float64
	// editTick is the tick at which weights change to those in edited, or 0 for never.
	editTick int
	edited   map[string]float64
}

// SharePolicy is how endpoints schedule the requests of groups.
type SharePolicy struct {
	Name         string
	arrivalOrder bool
	// FleetCorrection multiplies the groups' weights by share factors from fleet-wide usage reports.
	FleetCorrection bool
}

// SharePolicies returns the baselines and the product.
func SharePolicies() []SharePolicy {
	return []SharePolicy{
		{Name: "arrival order", arrivalOrder: true},
		{Name: "fair queue per endpoint"},
		{Name: "fleet correction", FleetCorrection: true},
	}
}

// ShareResult is the work that the groups received in the last quarter of a run.
type ShareResult struct {
	// WorkPerTick is the work per tick of each group.
	WorkPerTick map[string]float64
	// LargestShortfall is the largest shortfall from an ideal share, as a fraction of that share.
	LargestShortfall float64
	// JainIndex is Jain's fairness index of the ratios of work to ideal share.
	JainIndex float64
}

const (
	shareTicks       = 4000
	shareWindowTicks = 100 // ticks between two corrections
	shareDelay       = 50  // ticks until a correction takes effect
	shareTailTicks   = shareTicks / 4
)

// ParseShareScenario reads lines "group weight first-last ideal [edited-weight]", where first
// to last is the range of endpoints that serve the group.
func ParseShareScenario(text string) (ShareScenario, error) {
	s := ShareScenario{weights: map[string]float64{}, served: map[string][]int{}, ideal: map[string]float64{}, edited: map[string]float64{}}
	for line := range strings.Lines(text) {
		var g string
		var w, ideal, edited float64
		var first, last int
		n, err := fmt.Sscanf(line, "%s %f %d-%d %f %f", &g, &w, &first, &last, &ideal, &edited)
		if n < 5 {
			return s, fmt.Errorf("malformed line %q: %w", line, err)
		}
		s.weights[g], s.ideal[g], s.edited[g] = w, ideal, cmp.Or(edited, w)
		if n == 6 {
			s.editTick = shareTicks / 4
		}
		for e := first; e <= last; e++ {
			s.served[g] = append(s.served[g], e)
			s.endpoints = max(s.endpoints, e+1)
		}
	}
	return s, nil
}

// Run runs a scenario under one policy.
func (s ShareScenario) Run(p SharePolicy) ShareResult {
	r := rand.New(rand.NewPCG(1, 2))
	queues := make([]*fairq.Queue[string], s.endpoints)
	used, total := map[string]float64{}, map[string]float64{}
	factors, next := share.Factors{}, share.Factors{}
	weights := s.weights
	arrival := make([][]string, s.endpoints)
	for e := range queues {
		queues[e] = fairq.New[string]()
		for _, g := range slices.Sorted(maps.Keys(s.served)) {
			if slices.Contains(s.served[g], e) {
				queues[e].Push(g, 0, 1, g)
				arrival[e] = append(arrival[e], g)
			}
		}
	}
	for tick := range shareTicks {
		if s.editTick > 0 && tick == s.editTick {
			weights = s.edited
		}
		for e, q := range queues {
			g := ""
			if p.arrivalOrder {
				// A flooding group has most of the requests in an arrival-order queue: here the last by name.
				g = arrival[e][min(r.IntN(4), len(arrival[e])-1)]
			} else if it, ok := q.Pop(func(g string) float64 { return weights[g] * factors.Of(g) }); ok {
				g = it.Value
				q.Push(g, 0, 1, g)
			}
			used[g]++
			if tick >= shareTicks-shareTailTicks {
				total[g]++
			}
		}
		if p.FleetCorrection && tick%shareWindowTicks == shareWindowTicks-1 {
			var us []share.Usage
			for _, g := range slices.Sorted(maps.Keys(weights)) {
				us = append(us, share.Usage{Group: g, Weight: weights[g], Rate: used[g] / shareWindowTicks, Backlogged: true})
			}
			// One report in ten is lost, which leaves the factors unchanged.
			if r.IntN(10) > 0 {
				next = share.NextFactors(next, us)
			}
			used = map[string]float64{}
		}
		if p.FleetCorrection && tick%shareWindowTicks == shareDelay {
			factors = next
		}
	}
	return s.result(total)
}

// result compares the ticks that each group got in the last shareTailTicks with its ideal share.
func (s ShareScenario) result(got map[string]float64) ShareResult {
	res := ShareResult{WorkPerTick: map[string]float64{}}
	sum, squares := 0.0, 0.0
	for _, g := range slices.Sorted(maps.Keys(s.ideal)) {
		res.WorkPerTick[g] = got[g] / shareTailTicks
		ratio := res.WorkPerTick[g] / s.ideal[g]
		res.LargestShortfall = max(res.LargestShortfall, 1-ratio)
		sum += ratio
		squares += ratio * ratio
	}
	res.JainIndex = sum * sum / (float64(len(s.ideal)) * squares)
	return res
}
