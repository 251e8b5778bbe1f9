package pick

import (
	"slices"
	"time"
)

// BestInWindow is Best among the endpoints whose windows have room. If none of them can serve
// the request, or the best one can't in time, all endpoints are candidates: a window delays
// requests that others can serve, but refuses none.
func BestInWindow(req Request, list []Candidate, m LatencyModel, now time.Time, adapterSlots int, draw func() float64, inTime func(Choice) bool) (Choice, bool) {
	if slices.ContainsFunc(list, func(c Candidate) bool { return c.WindowFull }) {
		ch, ok := bestOf(req, list, m, now, adapterSlots, draw, func(c Candidate) bool { return !c.WindowFull })
		if ok && inTime(ch) {
			return ch, true
		}
	}
	return Best(req, list, m, now, adapterSlots, draw)
}
