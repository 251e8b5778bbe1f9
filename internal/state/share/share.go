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
	// Backlogged is set when the group had requests waiting.
	Backlogged bool
}

// Factors multiply the groups' weights at every agent; a missing group has factor 1.
type Factors map[string]float64

// Of returns the factor of a group.
func (f Factors) Of(group string) float64 {
	if v, ok := f[group]; ok {
		return v
	}
	return 1
}

const (
	// maxFactor bounds a correction, so that a group corrected down still gets one part
	// in 65 of an endpoint that it shares with a group of the same weight corrected up.
	maxFactor = 8
	// maxStep bounds one correction, because reports lag behind their effect.
	maxStep = 2
	// gain is the part of the error that one correction takes away.
	gain = 0.5
	// decay draws the factor of a group without backlog back to 1.
	decay = 0.5
)

// MaxMinShares returns each group's weighted max-min share of the accelerator time used.
// A group without backlog wants no more than it uses.
func MaxMinShares(us []Usage) map[string]float64 {
	total, weights := 0.0, 0.0
	for _, u := range us {
		total += u.Rate
		weights += u.Weight
	}
	open := slices.Clone(us)
	slices.SortFunc(open, func(a, b Usage) int { return cmp.Compare(want(a)/a.Weight, want(b)/b.Weight) })
	out := make(map[string]float64, len(us))
	for _, u := range open {
		part := min(want(u), total*u.Weight/weights)
		out[u.Group] = part
		total -= part
		weights -= u.Weight
	}
	return out
}

func want(u Usage) float64 {
	if u.Backlogged {
		return math.Inf(1)
	}
	return u.Rate
}

// NextFactors returns the factors for the next window.
func NextFactors(prev Factors, us []Usage) Factors {
	entitled := MaxMinShares(us)
	next := make(Factors, len(us))
	for _, u := range us {
		f := prev.Of(u.Group)
		if !u.Backlogged {
			next[u.Group] = math.Pow(f, decay)
			continue
		}
		step := float64(maxStep)
		if u.Rate > 0 {
			step = clamp(math.Pow(entitled[u.Group]/u.Rate, gain), maxStep)
		}
		next[u.Group] = clamp(f*step, maxFactor)
	}
	return normal(next)
}

// normal scales the factors to a geometric mean of 1, since only their ratios act.
func normal(f Factors) Factors {
	sum := 0.0
	for _, v := range f {
		sum += math.Log(v)
	}
	mean := math.Exp(sum / float64(max(len(f), 1)))
	for g, v := range f {
		f[g] = clamp(v/mean, maxFactor)
	}
	return f
}

func clamp(v, most float64) float64 { return min(max(v, 1/most), most) }
