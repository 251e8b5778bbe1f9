package soak

import (
	"slices"
	"time"

	"chervilhead/internal/standin/testbed"
)

const (
	// leaveStretch makes endpoints that leave serve longer than other faults last, because late
	// requests count only after the drain period.
	leaveStretch = 2
	// pauseStretch makes pauses longer than other faults, because requests count only from half
	// a second after they were asked for.
	pauseStretch = 2
)

func (s *soak) endpoints() []*testbed.Endpoint {
	return slices.Concat(s.env.PlainEndpoints, s.env.EngineEndpoints)
}

// pauseEndpoints makes one, several or all endpoints ask for a pause.
func (s *soak) pauseEndpoints(e faultEvent) {
	all := s.endpoints()
	n := 1 + e.variant%4
	if n == 4 {
		n = len(all)
	}
	for i := range n {
		all[(e.target+i)%len(all)].Pause(pauseStretch * e.duration)
	}
}

// checkNotices checks that gateways heeded what endpoints said of themselves. A gateway that was
// restarted or paused since then may have forgotten it, and requests on a disturbed link may
// have been held up.
func (s *soak) checkNotices() {
	disturbed := func(gateway string, from, to time.Time) bool {
		i := slices.IndexFunc(s.gateways, func(g *proc) bool { return g.callers == gateway })
		return i < 0 || !s.gateways[i].faultFree(from, to)
	}
	s.env.Checker.CheckLeaving(drainPeriod, disturbed)
	s.env.Checker.CheckPauses(func(gateway string, from, to time.Time) bool {
		return disturbed(gateway, from, to) || s.faultDuring(&s.linkFaults, from, to)
	})
}
