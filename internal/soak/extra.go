package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// meanRestoreInterval is the mean time between restores of the store, which may overlap.
	meanRestoreInterval = 5 * time.Second
	// meanRateLimitInterval is the mean time between endpoints that name a rate limit.
	meanRateLimitInterval = 3 * time.Second
	// rateLimitStretch makes limits last longer than other faults, because they count only from
	// three seconds after they were named.
	rateLimitStretch = 5
	// maxRateLimit is the largest limit of requests a second, well below an endpoint's load.
	maxRateLimit = 4
)

// scheduleKind returns the faults of one kind of a seed, ordered by time. Each kind has draws
// of its own, so that the other faults of a seed don't depend on it.
func scheduleKind(kind faultKind, stream, seed uint64, length, mean time.Duration) []faultEvent {
	r := rand.New(rand.NewPCG(seed, stream))
	var out []faultEvent
	for at := time.Duration(0); ; {
		at += time.Duration(r.ExpFloat64() * float64(mean))
		if at >= length {
			return out
		}
		e := faultEvent{at: at, kind: kind, target: r.IntN(1 << 16), variant: r.IntN(1 << 16)}
		e.duration = minFaultDuration + time.Duration(r.Int64N(int64(maxFaultDuration-minFaultDuration)))
		out = append(out, e)
	}
}

func scheduleRestores(seed uint64, length time.Duration) []faultEvent {
	return scheduleKind(storeRestore, 2, seed, length, meanRestoreInterval)
}

func scheduleRateLimits(seed uint64, length time.Duration) []faultEvent {
	return scheduleKind(rateLimit, 3, seed, length, meanRateLimitInterval)
}

// limitRate makes one or several endpoints name a rate limit for a while.
func (s *soak) limitRate(e faultEvent) {
	r := rand.New(rand.NewPCG(s.cfg.Seed, uint64(e.variant)))
	all := slices.Concat(s.env.PlainEndpoints, s.env.EngineEndpoints)
	for i := range 1 + e.variant%3 {
		endpoint := all[(e.target+i)%len(all)]
		endpoint.LimitRate(r.Float64() * maxRateLimit)
		defer endpoint.LimitRate(0)
	}
	time.Sleep(rateLimitStretch * e.duration)
}

// checkRateLimits checks the limits that endpoints named. A gateway that was disturbed since
// it passed a limit on may have forgotten it.
func (s *soak) checkRateLimits() {
	s.env.Checker.CheckRateLimits(func(gateway string, from, to time.Time) bool {
		i := slices.IndexFunc(s.gateways, func(g *proc) bool { return g.callers == gateway })
		return i < 0 || !s.gateways[i].faultFree(from, to)
	})
}
