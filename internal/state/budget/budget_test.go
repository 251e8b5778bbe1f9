package budget

import (
	"testing"
	"time"
)

// TestSlidingWindows plays steady and bursty traffic at several gateways, each of which
// repeats whatever it may, and checks the bound in every window.
func TestSlidingWindows(t *testing.T) {
	limit := Limit{Ratio: 0.2, Slack: 54, Window: 10 * time.Second}
	const gateways = 6
	var budgets []*Retries
	for range gateways {
		budgets = append(budgets, New(limit))
	}
	const step = 100 * time.Millisecond
	var fresh, repeats []int
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
		fresh, repeats = append(fresh, f), append(repeats, r)
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
	for i := 0; i+n <= len(fresh); i++ {
		// The platform counts the requests of the window, the one before or half a window before.
		most := max(sum(fresh, i, i+n), sum(fresh, i-n, i), sum(fresh, i-n/2, i+n/2))
		if got, bound := sum(repeats, i, i+n), limit.Ratio*float64(most)+limit.Slack; float64(got) > bound {
			t.Fatalf("window from %s: %d repeats, the bound is %.0f", time.Duration(i)*step, got, bound)
		}
		total = max(total, sum(repeats, i, i+n))
	}
	if total < 40 {
		t.Errorf("only %d repeats in the best window; the bound allows more", total)
	}
}

func TestLongPause(t *testing.T) {
	b := New(Limit{Ratio: 0, Slack: 10, Window: time.Second})
	for b.Take(0, 1) {
	}
	if b.Take(500*time.Millisecond, 1) {
		t.Error("a repeat was allowed in a window that is used up")
	}
	if !b.Take(time.Hour, 1) {
		t.Error("no repeat was allowed after a long pause")
	}
}
