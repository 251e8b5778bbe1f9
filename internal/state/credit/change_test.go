package credit

import (
	"testing"
	"time"

	"chervilhead/internal/state/fleet"
)

// TestRaisedQuotaServes guards against requests that are refused until the wait of a lower quota
// is over, although the planner has credit for them since the quota was raised.
func TestRaisedQuotaServes(t *testing.T) {
	low := fleet.Quota{Unit: fleet.QuotaTokens, PerSecond: 300, Burst: 300}
	s := newSim(1, 4, low)
	s.flood(5*time.Second, 50, -1)
	s.group.Quota = tokens(610_000)
	// The planner's bucket fills in two seconds.
	s.play(2*time.Second, 0, nil)
	s.refused, s.refusedLate = 0, 0
	n := s.play(3*time.Second, 0.55, func(time.Duration) int { return s.rng.IntN(4) })
	if s.refusedLate > 0 {
		t.Errorf("%d of %d permitted requests refused after the quota was raised", s.refusedLate, n)
	}
}
