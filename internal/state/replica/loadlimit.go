package replica

import "time"

// LoadLimit bounds the loads from the weight store that begin in any window of time. An
// order may wait at its engine for runs to end, so that a bound on the orders given
// doesn't bound the loads that begin.
type LoadLimit struct {
	// Rate is the number of loads a second that the weight store allows.
	Rate   float64
	Window time.Duration
}

// Allows reports whether one more load may be ordered, when loads began at some times and
// others that were ordered haven't begun: those may all begin at once.
func (s LoadLimit) Allows(begun []time.Time, waiting int, now time.Time) bool {
	n := waiting + 1
	for _, at := range begun {
		if now.Sub(at) < s.Window {
			n++
		}
	}
	return float64(n) <= max(1, s.Rate*s.Window.Seconds())
}
