package pace

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// demand is a load that gateways would like to send to the endpoint.
type demand struct {
	name string
	// perSecond is the rate at one gateway at a time after the start.
	perSecond func(at time.Duration, limit float64, gateways int) float64
}

// send plays a demand at all gateways and returns the times of the requests, in order. Requests
// wait at most maxWait for a permit.
func send(r *rand.Rand, limit float64, gateways int, d demand, length, maxWait time.Duration) []time.Duration {
	start := time.Unix(1000, 0)
	const step = 50 * time.Millisecond
	var out []time.Duration
	s := NewShare(limit, gateways)
	for range gateways {
		p := New(start, r.Float64())
		for at := time.Duration(0); at < length; at += step {
			now := start.Add(at)
			if r.Float64() >= d.perSecond(at, limit, gateways)*step.Seconds() {
				continue
			}
			if wait := p.Wait(now, s); wait <= maxWait {
				out = append(out, at+wait)
				p = p.WithRequest(now, s)
			}
		}
	}
	slices.SortFunc(out, cmp.Compare[time.Duration])
	return out
}

// mostInWindow returns the largest number of times within one window.
func mostInWindow(times []time.Duration) int {
	most, oldest := 0, 0
	for i, at := range times {
		for ; at-times[oldest] >= toleratedWindow; oldest++ {
		}
		most = max(most, i-oldest+1)
	}
	return most
}

// TestSharesOfAllGateways guards against shares that exceed the endpoint's limit together, under load that lasts, comes at once or comes in waves.
func TestSharesOfAllGateways(t *testing.T) {
	demands := []demand{
		{"lasting", func(time.Duration, float64, int) float64 { return 20 }},
		{"once", func(at time.Duration, _ float64, _ int) float64 {
			if at < 30*time.Second {
				return 0
			}
			return 20
		}},
		{"waves", func(at time.Duration, limit float64, gateways int) float64 {
			if at%(9*time.Second) < 2*time.Second {
				return 20
			}
			return limit / float64(gateways)
		}},
	}
	for _, d := range demands {
		for _, gateways := range []int{1, 2, 4, 6, 16, 20, 60, 340} {
			for _, limit := range []float64{0, 0.1, 0.5, 1, 2, 5, 20, 100} {
				allowed := toleratedRatio*limit*toleratedWindow.Seconds() + toleratedSlack
				over, plays := 0, 50
				if gateways > 100 {
					plays = 10
				}
				for seed := range uint64(plays) {
					r := rand.New(rand.NewPCG(seed, uint64(gateways)))
					if float64(mostInWindow(send(r, limit, gateways, d, 45*time.Second, 2*time.Second))) > allowed {
						over++
					}
				}
				if over > 0 {
					t.Errorf("%s, %d gateways, limit %g: over %g requests in a window in %d of %d plays", d.name, gateways, limit, allowed, over, plays)
				}
			}
		}
	}
}

// TestLimitIsUsed guards against shares that leave much more than half of the limit unused under lasting load.
func TestLimitIsUsed(t *testing.T) {
	lasting := demand{"lasting", func(time.Duration, float64, int) float64 { return 20 }}
	for _, gateways := range []int{1, 4, 20} {
		for _, limit := range []float64{0.5, 1, 10} {
			t.Run(fmt.Sprintf("%d_gateways_limit_%g", gateways, limit), func(t *testing.T) {
				const length = 200 * time.Second
				n := len(send(rand.New(rand.NewPCG(1, 1)), limit, gateways, lasting, length, 2*time.Second))
				if used := float64(n) / (limit * length.Seconds()); used < 0.4 || used > 1 {
					t.Errorf("%.2f of the limit is used", used)
				}
			})
		}
	}
}

func TestPace(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	s := NewShare(1, 4)
	interval := time.Duration(float64(time.Second) / s.rate)
	p := New(start, 0.5)
	if got := p.Wait(start, s); (got - interval/2).Abs() > time.Microsecond {
		t.Errorf("the first permit after %v, want %v", got, interval/2)
	}
	p = p.WithRequest(start, s)
	if got := p.Wait(start, s); (got - interval*3/2).Abs() > time.Microsecond {
		t.Errorf("the second permit after %v, want %v", got, interval*3/2)
	}
	if got := p.Wait(at(9), s); got != 0 {
		t.Errorf("a wait of %v for a permit that is due", got)
	}
	if got := p.At(at(-1), s); got != p {
		t.Error("a time before the last one changes the pace")
	}
	// Among 100 gateways a permit falls due every 200 s, for the first time after 2 s, and lapses
	// after 2 s unless it is used.
	crowd := NewShare(1, 100)
	q := New(start, 0.99)
	for _, tc := range []struct {
		at  float64
		due bool
	}{{1.9, false}, {2.1, true}, {3.9, true}, {4.1, false}, {201.9, false}, {202.1, true}, {204.1, false}} {
		if got := q.Wait(at(tc.at), crowd) == 0; got != tc.due {
			t.Errorf("a permit at %.1f s: %v, want %v", tc.at, got, tc.due)
		}
	}
}
