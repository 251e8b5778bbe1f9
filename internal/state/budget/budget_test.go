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
		budgets = append(budgets, New(limit))
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
	b := New(Limit{Ratio: 0, Slack: 10, Window: time.Second})
	for b.Take(0, 1) {
	}
	if b.Take(500*time.Millisecond, 1) {
		t.Error("a retry was allowed after the window's budget was used up")
	}
	if !b.Take(time.Hour, 1) {
		t.Error("no retry was allowed after a long pause")
	}
}
