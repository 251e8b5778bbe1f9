package replica

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestStarts plays orders whose loads begin late, up to twelve seconds, and checks the
// loads that begin in any window.
func TestStarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := LoadLimit{Rate: rapid.Float64Range(0.5, 6).Draw(t, "rate"), Window: 5 * time.Second}
		delay := rapid.SampledFrom([]time.Duration{0, time.Second, 6 * time.Second, 12 * time.Second})
		now := time.Unix(1000, 0)
		var begins []time.Time
		for range 400 {
			now = now.Add(50 * time.Millisecond)
			waiting := 0
			var begun []time.Time
			for _, b := range begins {
				if b.After(now) {
					waiting++
				} else {
					begun = append(begun, b)
				}
			}
			if s.Allows(begun, waiting, now) {
				begins = append(begins, now.Add(delay.Draw(t, "delay")))
			}
		}
		slices.SortFunc(begins, time.Time.Compare)
		for i, from := range begins {
			n := 0
			for _, b := range begins[i:] {
				if b.Sub(from) < s.Window {
					n++
				}
			}
			if float64(n) > max(1, s.Rate*s.Window.Seconds()) {
				t.Fatalf("%d loads began within %v; the weight store allows %.2f a second", n, s.Window, s.Rate)
			}
		}
	})
}
