package credit

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"chervilhead/internal/state/fleet"
)

// TestBoundInEveryWindow guards against requests beyond the quota while gateways are cut off,
// freeze, restart or lose power together, and planners end and take over.
func TestBoundInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.SampledFrom([]float64{29_000, 110_000, 610_000}).Draw(t, "rate")
		q := fleet.Quota{Unit: fleet.QuotaTokens, PerSecond: perSecond, Burst: perSecond * rapid.SampledFrom([]float64{0, 0.5, 3}).Draw(t, "burst")}
		gateways := rapid.SampledFrom([]int{4, 12, 31}).Draw(t, "gateways")
		s := newSim(rapid.Uint64().Draw(t, "seed"), gateways, q)
		s.loss = rapid.SampledFrom([]float64{0, 0.05, 0.5}).Draw(t, "loss")
		s.notRun = rapid.SampledFrom([]float64{0, 0.1, 1}).Draw(t, "not run")
		events := map[string]func(){
			"none":         func() {},
			"cut":          func() { g := s.any(); g.cut = !g.cut },
			"cut half":     func() { s.cut(s.gws[:gateways/2], true) },
			"cut all":      func() { s.cut(s.gws, true) },
			"join":         func() { s.cut(s.gws, false) },
			"freeze":       func() { g := s.any(); g.frozen = !g.frozen },
			"freeze all":   func() { s.freeze(true) },
			"thaw all":     func() { s.freeze(false) },
			"restart":      func() { s.restart(s.rng.IntN(gateways)) },
			"restart all":  s.restartAll,
			"planner ends": func() { s.pool, s.endedAt = nil, s.now },
			"planner":      s.succeed,
			"all run":      func() { s.notRun = 0 },
		}
		names := []string{"none", "cut", "cut half", "cut all", "join", "freeze", "freeze all", "thaw all", "restart", "restart all", "planner ends", "planner", "all run"}
		for range rapid.IntRange(3, 10).Draw(t, "events") {
			events[rapid.SampledFrom(names).Draw(t, "event")]()
			// The usual use is 0.55 of the quota; one group sends up to 7.5 times that.
			part := rapid.SampledFrom([]float64{0, 0.55, 7.5 * 0.55}).Draw(t, "load")
			only := rapid.SampledFrom([]int{-1, 0}).Draw(t, "only")
			s.flood(time.Duration(rapid.IntRange(100, 6000).Draw(t, "ms"))*time.Millisecond, part, only)
		}
		s.checkWindows(t)
	})
}

func (s *sim) any() *simGateway { return s.gws[s.rng.IntN(len(s.gws))] }

func (s *sim) cut(gws []*simGateway, cut bool) {
	for _, g := range gws {
		g.cut = cut
	}
}

func (s *sim) freeze(frozen bool) {
	for _, g := range s.gws {
		g.frozen = frozen
	}
}

func (s *sim) restartAll() {
	for i := range s.gws {
		s.restart(i)
	}
	s.pool, s.endedAt, s.mails = nil, s.now, nil
}

// succeed lets the planner's successor take over after the least time.
func (s *sim) succeed() {
	if s.pool != nil {
		s.pool, s.endedAt = nil, s.now
	}
	s.flood(max(0, leaseGap-s.now.Sub(s.endedAt)), 7.5*0.55, -1)
	s.takeOver()
}

// flood sends a part of the quota for a time, to one gateway or, if it is negative, to all.
func (s *sim) flood(d time.Duration, part float64, only int) {
	due := 0.0
	for end := s.now.Add(d); s.now.Before(end); {
		s.step()
		for due += part * s.group.Quota.PerSecond * simStep.Seconds(); due > 0; {
			n := s.size()
			due -= n
			if only >= 0 {
				s.offer(only, n)
			} else {
				s.offer(s.rng.IntN(len(s.gws)), n)
			}
		}
	}
}

// TestBoundInScenarios guards against requests beyond the quota in the failures that bring the
// use in a window nearest to the bound: a full bucket is followed by a flood and a failure.
func TestBoundInScenarios(t *testing.T) {
	t.Parallel()
	const flood = 7.5 * 0.55
	for name, fail := range map[string]func(s *sim){
		"planner lost":   func(s *sim) { s.pool, s.endedAt = nil, s.now },
		"planner":        (*sim).succeed,
		"planners":       func(s *sim) { s.succeed(); s.flood(time.Second, flood, -1); s.succeed() },
		"cut":            func(s *sim) { s.cut(s.gws[1:], true) },
		"cut half":       func(s *sim) { s.cut(s.gws[:15], true) },
		"cut, idle":      func(s *sim) { s.cut(s.gws[1:], true); s.flood(5*time.Second, 0, 0) },
		"frozen":         func(s *sim) { s.freeze(true); s.flood(5*time.Second, 0, 0); s.freeze(false) },
		"planner frozen": func(s *sim) { old := s.pool; s.succeed(); s.flood(time.Second, flood, -1); s.pool = old },
		"restarted":      (*sim).restartAll,
		"quota lowered": func(s *sim) {
			// A lower quota is binding one window after it takes effect.
			s.group.Quota = tokens(s.group.Quota.PerSecond / 4)
			s.flood(window, flood, -1)
			s.runs = nil
		},
		"restarted, a planner later": func(s *sim) {
			s.restartAll()
			s.flood(3*time.Second, flood, -1)
			s.succeed()
		},
	} {
		for _, perSecond := range []float64{29_000, 610_000} {
			for _, burst := range []float64{0, 4} {
				s := newSim(2, 31, fleet.Quota{Unit: fleet.QuotaTokens, PerSecond: perSecond, Burst: burst * perSecond})
				s.flood(3*time.Second, flood, -1)
				s.flood(6*time.Second, 0, -1)
				s.flood(time.Second, flood, -1)
				fail(s)
				s.flood(10*time.Second, flood, -1)
				t.Run(name, func(t *testing.T) { s.checkWindows(t) })
			}
		}
	}
}
