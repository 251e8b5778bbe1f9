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

// TestLoweredQuotaEndsCredit guards against credit of a higher quota, or of one in another unit,
// that a gateway with little demand keeps and spends more than a window after the change.
func TestLoweredQuotaEndsCredit(t *testing.T) {
	for name, lower := range map[string]fleet.Quota{
		"lower rate":   tokens(29_000),
		"lower burst":  {Unit: fleet.QuotaTokens, PerSecond: 610_000},
		"another unit": {Unit: fleet.QuotaRequests, PerSecond: 10, Burst: 10},
	} {
		t.Run(name, func(t *testing.T) {
			g := fleet.Group{Name: "g", Quota: tokens(610_000)}
			a, now, seq := NewAccount("a", 1, start), start, uint64(0)
			// reply grants what the oldest quota allows: the planner may have the change later.
			reply := func(granted uint32) {
				if r, ok := a.Next(now); ok {
					seq = r.Sequence
					grant := Grant{Term: 1, Sequence: seq, Entries: make([]GrantEntry, len(r.Entries))}
					for i := range grant.Entries {
						grant.Entries[i].Granted = granted
					}
					a.Apply(now, grant)
				}
			}
			a.Arrive(now, g, 1)
			reply(300_000)
			for ; now.Sub(start) < 2*window; now = now.Add(100 * time.Millisecond) {
				if now.Sub(start) >= time.Second {
					g.Quota = lower
				}
				if now.Sub(start) == time.Second+100*time.Millisecond {
					reply(100_000)
				} else {
					reply(1)
				}
				a.Arrive(now, g, 1)
				a.Take(now, g, 1, 1)
			}
			if c := a.Credit(now, "g"); c > 100 {
				t.Errorf("%.0f units of the former quota are left", c)
			}
		})
	}
}

// TestRequestsAfterFreeze guards against permitted requests that are refused when a gateway thaws
// while the planner is reachable: the gateway repeats a request whose reply is too old to be
// accepted, or takes its own silence for the planner's.
func TestRequestsAfterFreeze(t *testing.T) {
	for _, frozen := range []time.Duration{200 * time.Millisecond, maxReplyAge + 4*simStep, 2 * time.Second, 5 * time.Second} {
		s := newSim(1, 4, tokens(200_000))
		s.play(4*time.Second, 0.5, func(time.Duration) int { return 0 })
		for s.gws[0].account.open == nil {
			s.step()
		}
		s.freeze(true)
		s.play(frozen, 0, nil)
		s.freeze(false)
		s.refused = 0
		for range 3 {
			s.offer(0, 5000)
			s.step()
		}
		s.play(creditWait+2*simStep, 0, nil)
		if s.refused > 0 {
			t.Errorf("%d of 3 permitted requests refused after a freeze of %v", s.refused, frozen)
		}
	}
}

// TestIdleCreditReturned guards against credit for a burst that a gateway with a single request
// now and then keeps for itself, so that the group's burst is refused at another gateway.
func TestIdleCreditReturned(t *testing.T) {
	s := newSim(1, 4, fleet.Quota{Unit: fleet.QuotaTokens, PerSecond: 200_000, Burst: 400_000})
	s.play(6*time.Second, 0, nil)
	// A gateway with much demand is left with a request every half second.
	s.play(3*time.Second, 0.9, func(time.Duration) int { return 0 })
	for range 20 {
		s.play(500*time.Millisecond, 0, nil)
		s.offer(0, 1000)
	}
	held := s.gws[0].account.Credit(s.now, "g")
	if most := 2 * float64(10_000); held > most {
		t.Errorf("%.0f units lie at a gateway that uses 2,000 a second", held)
	}
	s.refused = 0
	for range 40 {
		s.offer(1, 10_000)
	}
	s.play(creditWait+2*simStep, 0, nil)
	if s.refused > 0 {
		t.Errorf("%d of 40 requests within the group's burst refused", s.refused)
	}
}
