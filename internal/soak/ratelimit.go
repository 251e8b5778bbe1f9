package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// rateLimitStretch makes limits last longer than other faults, because they count only from
	// three seconds after they were named.
	rateLimitStretch = 5
	// maxRateLimit is the largest limit of requests a second, well below an endpoint's load.
	maxRateLimit = 4
)

// limitRate makes one or several endpoints name a rate limit for a while.
func (s *soak) limitRate(e faultEvent) {
	r := rand.New(rand.NewPCG(s.cfg.Seed, uint64(e.variant)))
	all := s.endpoints()
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
