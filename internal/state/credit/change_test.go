package credit

import (
	"testing"
	"time"

	"chervilhead/internal/state/bucket"
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

// TestSmallQuotas guards against permitted requests of a group with a small limit that are refused
// because its few units lie as credit ahead at many gateways. An ideal bucket of the quota says
// which requests are permitted.
func TestSmallQuotas(t *testing.T) {
	t.Parallel()
	for _, gateways := range []int{31, 103} {
		for _, q := range []fleet.Quota{
			{PerSecond: 2, Burst: 4},
			{PerSecond: 5, Burst: 10},
			{PerSecond: 40, Burst: 0},
			{PerSecond: 40, Burst: 40},
			{PerSecond: 0.2, Burst: 5},
			{Unit: fleet.QuotaTokens, PerSecond: 2000, Burst: 12_000},
			{Unit: fleet.QuotaTokens, PerSecond: 29_000, Burst: 0},
		} {
			s := newSim(1, gateways, q)
			size := func() float64 { return 1 }
			if q.Unit == fleet.QuotaTokens {
				size = s.size
			}
			// The planner's bucket is full after the time in which the quota fills it.
			s.play(2*time.Second+time.Duration(float64(time.Second)*capacity(q)/q.PerSecond), 0, nil)
			s.refused, s.refusedLate = 0, 0
			ideal, offered, due := bucket.Bucket{}.WithCapacity(max(q.Burst, size())).WithRate(s.now, q.PerSecond), 0, 0.0
			for range 60 * time.Second / simStep {
				s.step()
				// Half of the quota on average, in bursts at random times.
				due += 0.55 * q.PerSecond * simStep.Seconds()
				if due < 1 || s.rng.IntN(100) > 0 {
					continue
				}
				for due > 0 {
					n := size()
					due -= n
					var ok bool
					if ideal, _, ok = ideal.Take(s.now, n); ok {
						offered++
						s.offer(s.rng.IntN(gateways), n)
					}
				}
			}
			t.Logf("%d gateways, %+v: %d of %d requests refused", gateways, q, s.refused, offered)
			if s.refused > 0 {
				t.Errorf("%d gateways, %+v: %d of %d permitted requests refused", gateways, q, s.refused, offered)
			}
		}
	}
}

// TestBurstAfterUse guards against a burst within the quota that is refused at one gateway because
// the others hold the group's units as credit ahead.
func TestBurstAfterUse(t *testing.T) {
	for _, gateways := range []int{31, 103} {
		for _, q := range []fleet.Quota{{PerSecond: 40, Burst: 40}, {PerSecond: 10, Burst: 100}, tokens(29_000), tokens(200_000), tokens(610_000)} {
			s := newSim(1, gateways, q)
			size := func() float64 { return 1 }
			if q.Unit == fleet.QuotaTokens {
				size = s.size
			}
			s.play(2*time.Second+time.Duration(float64(time.Second)*capacity(q)/q.PerSecond), 0, nil)
			s.refused = 0
			offered := 0
			for range 10 {
				// The bucket stays full: the use is below the rate.
				for due, i := 0.0, 0; i < int(2*time.Second/simStep); i++ {
					s.step()
					for due += 0.55 * q.PerSecond * simStep.Seconds(); due > 0; offered++ {
						n := size()
						due -= n
						s.offer(s.rng.IntN(gateways), n)
					}
				}
				for left := 0.9 * q.Burst; ; offered++ {
					n := size()
					if left -= n; left < 0 {
						break
					}
					s.offer(3, n)
				}
				// The bucket fills again.
				s.play(2*time.Second+time.Duration(q.Burst/q.PerSecond*float64(time.Second)), 0, nil)
			}
			t.Logf("%d gateways, %+v: %d of %d requests refused", gateways, q, s.refused, offered)
			if s.refused > 0 {
				t.Errorf("%d gateways, %+v: %d of %d permitted requests refused", gateways, q, s.refused, offered)
			}
		}
	}
}
