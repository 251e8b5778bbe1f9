package budget

import (
	"testing"
	"time"
)

// TestRetryBoundInEveryWindow guards against gateways that together exceed the bound in
// some window, under steady and bursty traffic and with every allowed retry taken.
func TestRetryBoundInEveryWindow(t *testing.T) {
	limit := Limit{Ratio: 0.2, Slack: 54, Window: 10 * time.Second}
	const gateways = 6
	var budgets []*Retries
	for range gateways {
		budgets = append(budgets, New(limit, true))
	}
	const step = 100 * time.Millisecond
	var requests, retries []int
	for i := range 600 {
		now := time.Duration(i) * step
		f, r := 0, 0
		for g, b := range budgets {
			n := 1
			if (i/70)%3 == 0 {
				n = 4 * (g % 2)
			}
			for range n {
				b.AddRequest(now)
				f++
				for b.Take(now, gateways) {
					r++
				}
			}
		}
		requests, retries = append(requests, f), append(retries, r)
	}
	sum := func(list []int, from, to int) int {
		s := 0
		for _, v := range list[max(0, from):max(0, min(to, len(list)))] {
			s += v
		}
		return s
	}
	n := int(limit.Window / step)
	total := 0
	for i := 0; i+n <= len(requests); i++ {
		// The platform counts the requests of the window, of the one before it, or of the one that begins half a window earlier.
		requestCount := max(sum(requests, i, i+n), sum(requests, i-n, i), sum(requests, i-n/2, i+n/2))
		if got, bound := sum(retries, i, i+n), limit.Ratio*float64(requestCount)+limit.Slack; float64(got) > bound {
			t.Fatalf("window from %s: got %d retries, want at most %.0f", time.Duration(i)*step, got, bound)
		}
		total = max(total, sum(retries, i, i+n))
	}
	if total < 40 {
		t.Errorf("got %d retries in the busiest window, want at least 40, which the bound allows", total)
	}
}

func TestLongPause(t *testing.T) {
	b := New(Limit{Ratio: 0, Slack: 10, Window: time.Second}, true)
	for b.Take(0, 1) {
	}
	if b.Take(500*time.Millisecond, 1) {
		t.Error("a retry was allowed after the window's budget was used up")
	}
	if !b.Take(time.Hour, 1) {
		t.Error("no retry was allowed after a long pause")
	}
}

// fleetOfBudgets is a number of gateways with a budget each that take every retry that they are allowed.
type fleetOfBudgets struct {
	limit   Limit
	budgets []*Retries
	// startedAt is when each gateway started, and back when one that is away returns.
	startedAt, back   []time.Duration
	requests, retries []int
}

func newFleet(limit Limit, gateways int) *fleetOfBudgets {
	f := &fleetOfBudgets{limit: limit, budgets: make([]*Retries, gateways), startedAt: make([]time.Duration, gateways), back: make([]time.Duration, gateways)}
	for i := range f.budgets {
		f.budgets[i] = New(limit, true)
	}
	return f
}

// restart replaces a gateway by one that returns at a time and counts from zero.
func (f *fleetOfBudgets) restart(i int, back time.Duration) {
	f.budgets[i], f.startedAt[i], f.back[i] = New(f.limit, false), back, back
}

const fleetStep = 100 * time.Millisecond

// step advances the fleet by fleetStep. Each gateway gets one request a second; counted is the
// number of gateways among which the slack is divided.
func (f *fleetOfBudgets) step(now time.Duration, counted int) {
	requests, retries := 0, 0
	for i, b := range f.budgets {
		if now < f.back[i] {
			continue
		}
		if (int(now/fleetStep)+i)%10 == 0 {
			b.AddRequest(now - f.startedAt[i])
			requests++
		}
		for b.Take(now-f.startedAt[i], counted) {
			retries++
		}
	}
	f.requests, f.retries = append(f.requests, requests), append(f.retries, retries)
}

// check compares each window with the bound of the platform.
func (f *fleetOfBudgets) check(t *testing.T) {
	t.Helper()
	n := int(f.limit.Window / fleetStep)
	sum := func(list []int, from int) int {
		s := 0
		for _, v := range list[max(0, from):max(0, min(from+n, len(list)))] {
			s += v
		}
		return s
	}
	for i := 0; i+n <= len(f.requests); i++ {
		requests := max(sum(f.requests, i), sum(f.requests, i-n), sum(f.requests, i-n/2))
		if got, bound := sum(f.retries, i), f.limit.Ratio*float64(requests)+f.limit.Slack; float64(got) > bound {
			t.Fatalf("window from %s: %d retries of %d requests, want at most %.0f", time.Duration(i)*fleetStep, got, requests, bound)
		}
	}
}

// TestRetriesForgottenAtRestart guards against gateways that restart together and spend the slack of the same window again.
func TestRetriesForgottenAtRestart(t *testing.T) {
	for _, interval := range []time.Duration{1500 * time.Millisecond, 2 * time.Second, 4 * time.Second, 9 * time.Second} {
		t.Run(interval.String(), func(t *testing.T) {
			f := newFleet(Limit{Ratio: 0.2, Slack: 84, Window: 10 * time.Second}, 22)
			for now := time.Duration(0); now < time.Minute; now += fleetStep {
				if now > 20*time.Second && now%interval == 0 {
					for i := range f.budgets {
						f.restart(i, now+400*time.Millisecond)
					}
				}
				f.step(now, len(f.budgets))
			}
			f.check(t)
		})
	}
}

// TestRetriesWhileGatewaysAreAway guards against gateways that share the slack of those that are away, and others that return and spend theirs in the same window.
func TestRetriesWhileGatewaysAreAway(t *testing.T) {
	for _, away := range []time.Duration{2 * time.Second, 5 * time.Second, 12 * time.Second} {
		t.Run(away.String(), func(t *testing.T) {
			const gateways, left = 22, 4
			// uncountedAfter is the time after which a silent gateway is no longer counted.
			const uncountedAfter = 4 * time.Second
			f := newFleet(Limit{Ratio: 0.2, Slack: 84, Window: 10 * time.Second}, gateways)
			var lostAt time.Duration
			for now := time.Duration(0); now < time.Minute; now += fleetStep {
				if now > 0 && now%(20*time.Second) == 0 {
					lostAt = now
					for i := left; i < gateways; i++ {
						f.restart(i, now+away)
					}
				}
				counted := gateways
				if lostAt > 0 && now >= lostAt+uncountedAfter && now < lostAt+away {
					counted = left
				}
				f.step(now, counted)
			}
			f.check(t)
		})
	}
}
