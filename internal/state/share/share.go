package share

import (
	"cmp"
	"math"
	"slices"
)

// Usage is one group's use of the fleet over a window.
type Usage struct {
	Group  string
	Weight float64
	// Rate is the accelerator time used per second, in any unit common to all groups.
	Rate float64
	// Backlogged is set when the group had requests queued.
	Backlogged bool
}

// Factors are the share factors, by which every agent multiplies the groups' weights; a
// missing group has factor 1.
type Factors map[string]float64

// Of returns the factor of a group.
func (f Factors) Of(group string) float64 {
	if v, ok := f[group]; ok {
		return v
	}
	return 1
}

const (
	// maxFactor bounds a factor and its inverse, so that a group corrected down still gets
	// 1/65 of an endpoint that it shares with a group of the same weight corrected up.
	maxFactor = 8
	// maxStep bounds one correction, because reports show its effect with a delay.
	maxStep = 2
	// gain is the part of the error that one correction removes, on a logarithmic scale.
	gain = 0.5
	// decayExponent is the power to which each window raises the factor of a group without
	// backlog, so that it returns to 1.
	decayExponent = 0.5
)

// MaxMinShares returns each group's weighted max-min share of the accelerator time used.
// The demand of a group without backlog is what it uses.
func MaxMinShares(usages []Usage) map[string]float64 {
	total, weights := 0.0, 0.0
	for _, u := range usages {
		total += u.Rate
		weights += u.Weight
	}
	byDemand := slices.Clone(usages)
	slices.SortFunc(byDemand, func(a, b Usage) int { return cmp.Compare(demand(a)/a.Weight, demand(b)/b.Weight) })
	out := make(map[string]float64, len(usages))
	for _, u := range byDemand {
		alloc := min(demand(u), total*u.Weight/weights)
		out[u.Group] = alloc
		total -= alloc
		weights -= u.Weight
	}
	return out
}

func demand(u Usage) float64 {
	if u.Backlogged {
		return math.Inf(1)
	}
	return u.Rate
}

// NextFactors returns the factors for the next window.
func NextFactors(prev Factors, usages []Usage) Factors {
	entitled := MaxMinShares(usages)
	next := make(Factors, len(usages))
	for _, u := range usages {
		f := prev.Of(u.Group)
		if !u.Backlogged {
			next[u.Group] = math.Pow(f, decayExponent)
			continue
		}
		step := float64(maxStep)
		if u.Rate > 0 {
			step = clampRatio(math.Pow(entitled[u.Group]/u.Rate, gain), maxStep)
		}
		next[u.Group] = clampRatio(f*step, maxFactor)
	}
	return normalize(next)
}

// normalize scales the factors to a geometric mean of 1, since only their ratios matter.
func normalize(f Factors) Factors {
	sum := 0.0
	for _, v := range f {
		sum += math.Log(v)
	}
	mean := math.Exp(sum / float64(max(len(f), 1)))
	for g, v := range f {
		f[g] = clampRatio(v/mean, maxFactor)
	}
	return f
}

func clampRatio(v, limit float64) float64 { return min(max(v, 1/limit), limit) }
