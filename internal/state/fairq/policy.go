package fairq

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Policy says how groups below their share are kept from waiting for groups above it.
// The zero value takes items for every free slot and counts only what runs now.
type Policy struct {
	// Window is the time over which the slots that a group uses are averaged. A group
	// below its share on average may use more than its share for a moment.
	Window time.Duration
	// KeptSlots is the most slots that groups at or above their share leave free.
	KeptSlots int
	// ExtraSlots is the number of places of the server beyond its slots, for groups below their share.
	ExtraSlots int
	// LateFraction is the part of the starts of groups below their share that may wait longer than Wait.
	LateFraction float64
	// WaitObjective is a wait that such a group hardly notices.
	WaitObjective time.Duration
}

// DefaultPolicy averages use over ten seconds, which is several runs of an answer. A
// window of two seconds still counts the chance ups and downs of a group near its share
// as use beyond it. The chance and the wait stand for the aim that the 95th percentile of the
// first token grows by at most a fifth, which is 24 to 40 ms of 120 to 200 ms. It keeps
// no slot by itself.
var DefaultPolicy = Policy{Window: 10 * time.Second, LateFraction: 0.05, WaitObjective: 30 * time.Millisecond}

const (
	// shortWindow and longWindow are the time constants of the two averages of a
	// group's arrivals; the larger average counts. The short one follows a burst, the
	// long one keeps slots for the next burst.
	shortWindow = time.Second
	longWindow  = 30 * time.Second
	// leastArrivals is the number of arrivals in the long window from which slots are
	// kept for a group. With fewer a kept slot would nearly always stay idle.
	leastArrivals = 3
	// leastPart is the divisor of the slots that bounds the kept ones, so that a group at
	// its share always finds a slot on an idle server.
	leastPart = 4
	// surge is how much of its share a group may run at once while it is below it on
	// average. At 1.5, bursts of a group below its share wait noticeably; at 2, one of
	// two groups could take the whole server.
	surge = 1.75
	// mostLoad bounds the load in the derivation of the kept slots, which has no solution at 1.
	mostLoad = 0.9
)

// flow holds two exponential averages of a group's arrivals, in arrivals per second.
type flow struct{ short, long float64 }

// rate returns the arrivals per second to expect, or 0 without recent demand.
func (f flow) rate() float64 {
	if f.long*longWindow.Seconds() < leastArrivals {
		return 0
	}
	return max(f.short, f.long)
}

// Server is what a start depends on besides the queue.
type Server struct {
	Slots int
	// MeanRun is the mean time that a value runs.
	MeanRun time.Duration
}

// Arrived notes that a value of a group has arrived, queued or not.
func (q *Queue[T]) Arrived(group string, now time.Time) {
	q.advance(now)
	l := q.lane(group)
	l.flow.short += 1 / shortWindow.Seconds()
	l.flow.long += 1 / longWindow.Seconds()
}

// advance brings the averages of all groups to a time.
func (q *Queue[T]) advance(now time.Time) {
	d := now.Sub(q.at)
	if d <= 0 {
		return
	}
	q.at = now
	short, long := decay(d, shortWindow), decay(d, longWindow)
	mean := decay(d, q.rule.Window)
	for _, l := range q.lanes {
		l.flow.short *= short
		l.flow.long *= long
		// The average stands still while a group is idle, which therefore gains no credit.
		if l.active() {
			l.mean = float64(l.running) + (l.mean-float64(l.running))*mean
		}
	}
}

// decay returns what remains of an exponential average after a time.
func decay(d, window time.Duration) float64 {
	if window <= 0 {
		return 0
	}
	return math.Exp(-d.Seconds() / window.Seconds())
}

// Take is Pop within a rule: it takes nothing when no place is free for the next group.
func (q *Queue[T]) Take(weight func(group string) float64, s Server, now time.Time) (*Item[T], bool) {
	q.advance(now)
	free := s.Slots - q.running
	if free <= -q.rule.ExtraSlots {
		return nil, false
	}
	share := q.settle(weight, s)
	name, l, ok := q.next(weight)
	if !ok {
		return nil, false
	}
	// Groups at or above their share need a slot beyond those that are kept.
	if !l.below(share(name)) && free <= q.kept(name, share, s) {
		return nil, false
	}
	return q.take(name, l, weight), true
}

// settle derives what each group counts as using, and returns the slots that each is
// due while the groups with demand contend.
func (q *Queue[T]) settle(weight func(string) float64, s Server) func(string) float64 {
	weights, joined := 0.0, false
	// The order fixes the sum, so that a share doesn't differ between two calls.
	for _, g := range slices.Sorted(maps.Keys(q.lanes)) {
		l := q.lanes[g]
		contends := l.active() || l.flow.rate() > 0
		joined = joined || contends && !l.contends
		l.contends = contends
		if contends {
			weights += weight(g)
		}
	}
	share := func(g string) float64 { return float64(s.Slots) * weight(g) / max(weights, weight(g)) }
	for g, l := range q.lanes {
		if joined {
			// Until now a group used more only of what the others left.
			l.mean = min(l.mean, share(g))
		}
		// What runs beyond the surge counts at once, so that no group takes the whole
		// server because its average is low.
		l.use = max(l.mean, float64(l.running)-(surge-1)*share(g))
	}
	return share
}

// below reports whether a group may use what is kept for groups below their share. A
// group that has just joined counts as using its share and is judged by what it runs.
func (l *lane[T]) below(share float64) bool {
	return l.use < share || l.use == share && float64(l.running) < share
}

// kept returns the free slots that a group at or above its share leaves to the others.
func (q *Queue[T]) kept(name string, share func(string) float64, s Server) int {
	rate := 0.0
	for g, l := range q.lanes {
		if g != name && l.below(share(g)) {
			rate += l.flow.rate()
		}
	}
	return min(q.rule.need(rate, s), q.rule.KeptSlots, s.Slots/leastPart)
}

// need returns the places after which an arrival waits longer than Wait with the chance
// Late. By Little's law, arrivals*run/slots values arrive while one slot of a full
// server comes free. What is taken of the kept places then grows and shrinks like a
// queue with one server at that load.
func (r Policy) need(rate float64, s Server) int {
	if rate == 0 || s.MeanRun <= 0 {
		return 0
	}
	freed := float64(s.Slots) / s.MeanRun.Seconds()
	load := min(rate/freed, mostLoad)
	late := math.Exp(-(1 - load) * freed * r.WaitObjective.Seconds())
	return max(int(math.Ceil(math.Log(r.LateFraction/late)/math.Log(load))), 0)
}
