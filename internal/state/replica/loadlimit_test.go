package replica

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestLoadLimit guards against more loads in some window than the weight store allows, when
// loads start up to twelve seconds after their orders.
func TestLoadLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := LoadLimit{Rate: rapid.Float64Range(0.5, 6).Draw(t, "rate"), Window: 5 * time.Second}
		delay := rapid.SampledFrom([]time.Duration{0, time.Second, 6 * time.Second, 12 * time.Second})
		now := time.Unix(1000, 0)
		var starts []time.Time
		for range 400 {
			now = now.Add(50 * time.Millisecond)
			pending := 0
			var started []time.Time
			for _, b := range starts {
				if b.After(now) {
					pending++
				} else {
					started = append(started, b)
				}
			}
			if limit.Allows(started, pending, now) {
				starts = append(starts, now.Add(delay.Draw(t, "delay")))
			}
		}
		slices.SortFunc(starts, time.Time.Compare)
		for i, from := range starts {
			n := 0
			for _, b := range starts[i:] {
				if b.Sub(from) < limit.Window {
					n++
				}
			}
			if float64(n) > max(1, limit.Rate*limit.Window.Seconds()) {
				t.Fatalf("%d loads started within %v; the weight store allows %.2f per second", n, limit.Window, limit.Rate)
			}
		}
	})
}
