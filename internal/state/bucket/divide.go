package bucket

import (
	"cmp"
	"slices"
)

// Holder is a process that holds a part of a limit.
type Holder struct {
	ID string
	// Held is the part that the holder may be using now.
	Held float64
	// Demand is the part that the holder could use now.
	Demand float64
}

// idleShare is the fraction of a limit that is divided evenly among all holders, so that one
// without demand can serve its first requests before the next division.
const idleShare = 0.05

// Divide splits a limit among holders by max-min fairness on their demands, and returns the
// parts by holder ID. A holder's part grows only out of what no holder may be using, so the
// sum of max(held, granted) never exceeds the limit as long as the sum of held did not.
// Parts are multiples of unit.
func Divide(limit, unit float64, holders []Holder) map[string]float64 {
	hs := slices.Clone(holders)
	slices.SortFunc(hs, func(a, b Holder) int { return cmp.Compare(a.ID, b.ID) })
	target := roundToUnits(targets(limit, hs), hs, limit, unit)
	out := make(map[string]float64, len(hs))
	free := limit
	for _, h := range hs {
		// A part held above the target counts as used until the holder has returned it.
		out[h.ID] = Floor(min(target[h.ID], max(h.Held, 0)), unit)
		free -= max(h.Held, out[h.ID])
	}
	for _, h := range hs {
		more := Floor(min(target[h.ID]-out[h.ID], free), unit)
		if more > 0 && h.Held <= out[h.ID]+more {
			taken := max(out[h.ID]+more-max(h.Held, out[h.ID]), 0)
			out[h.ID] += more
			free -= taken
		}
	}
	return out
}

// targets returns the parts, before rounding, that repeated divisions with the same demands
// lead to.
func targets(limit float64, hs []Holder) map[string]float64 {
	out := make(map[string]float64, len(hs))
	if len(hs) == 0 {
		return out
	}
	base := limit * idleShare / float64(len(hs))
	byDemand := slices.Clone(hs)
	slices.SortStableFunc(byDemand, func(a, b Holder) int { return cmp.Compare(a.Demand, b.Demand) })
	left := limit - base*float64(len(hs))
	for i, h := range byDemand {
		part := min(max(h.Demand-base, 0), left/float64(len(byDemand)-i))
		out[h.ID] = base + part
		left -= part
	}
	// The rest beyond all demands is divided evenly.
	for _, h := range hs {
		out[h.ID] += left / float64(len(hs))
	}
	return out
}

// roundToUnits rounds the targets to whole units. The remainder goes to the holders with the
// most unmet demand, one unit each. Otherwise a limit of one unit that two holders demand
// would go to neither.
func roundToUnits(target map[string]float64, hs []Holder, limit, unit float64) map[string]float64 {
	left := Floor(limit, unit)
	out := make(map[string]float64, len(hs))
	for _, h := range hs {
		out[h.ID] = Floor(target[h.ID], unit)
		left -= out[h.ID]
	}
	byNeed := slices.Clone(hs)
	slices.SortStableFunc(byNeed, func(a, b Holder) int {
		return cmp.Or(cmp.Compare(b.Demand-out[b.ID], a.Demand-out[a.ID]), cmp.Compare(b.Held, a.Held))
	})
	for _, h := range byNeed {
		if unit <= 0 || left+roundingSlack < unit {
			break
		}
		out[h.ID] += unit
		left -= unit
	}
	return out
}

// Floor rounds a part down to whole units; it is 0 for a negative part, or if unit is
// not positive.
func Floor(v, unit float64) float64 {
	if unit <= 0 {
		return 0
	}
	n := float64(int64(v/unit + roundingSlack))
	return max(n*unit, 0)
}
