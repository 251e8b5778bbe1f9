package replica

import "time"

// LoadLimit bounds the loads from the weight store that begin in any window of time. A bound
// on the orders alone would not do that, because an order may wait at its engine until
// running requests end.
type LoadLimit struct {
	// Rate is the number of loads per second that the weight store allows.
	Rate   float64
	Window time.Duration
}

// Allows reports whether one more load may be ordered, given when earlier loads started and
// the number of ordered loads that have not, which may all start at once.
func (l LoadLimit) Allows(started []time.Time, pending int, now time.Time) bool {
	n := pending + 1
	for _, start := range started {
		if now.Sub(start) < l.Window {
			n++
		}
	}
	return float64(n) <= max(1, l.Rate*l.Window.Seconds())
}
