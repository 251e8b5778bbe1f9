package fairq

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Policy limits how long groups below their share wait for groups above it. The zero value
// takes items for every free slot and counts only the items that run now.
type Policy struct {
	// Window is the time over which a group's used slots are averaged. A group whose average
	// is below its share may use more than its share for a short time.
	Window time.Duration
	// KeptSlots is the largest number of slots that groups at or above their share leave free.
	KeptSlots int
	// ExtraSlots is the number of items that may run beyond the server's slots, for groups
	// below their share.
	ExtraSlots int
	// LateFraction is the fraction of the starts of groups below their share that may wait
	// longer than WaitObjective.
	LateFraction float64
	// WaitObjective is a wait that hardly matters to such a group.
	WaitObjective time.Duration
}

// DefaultPolicy averages usage over ten seconds, which is several runs of an answer; a
// window of two seconds still counts random variation of a group near its share as usage
// beyond it. LateFraction and WaitObjective express the objective that the 95th percentile
// of the time to first token grows by at most a fifth, which is 24 to 40 ms of 120 to
// 200 ms. It keeps no slots; KeptSlots is left to the caller.
var DefaultPolicy = Policy{Window: 10 * time.Second, LateFraction: 0.05, WaitObjective: 30 * time.Millisecond}

const (
	// shortWindow and longWindow are the time constants of the two averages of a group's
	// arrival rate, of which the larger counts. The short one follows a burst, the long one
	// keeps slots for the next burst.
	shortWindow = time.Second
	longWindow  = 30 * time.Second
	// minArrivals is the number of arrivals in the long window from which slots are kept for
	// a group. With fewer, a kept slot would nearly always stay idle.
	minArrivals = 3
	// keptDivisor bounds the kept slots to the server's slots divided by it, so that a group
	// at its share always finds a slot on an idle server.
	keptDivisor = 4
	// burstFactor is the multiple of its share that a group may run at once while its average
	// is below its share. At 1.5, bursts of a group below its share wait noticeably; at 2,
	// one of two groups could take the whole server.
	burstFactor = 1.75
	// maxLoad bounds the load in the calculation of the kept slots, which has no solution at 1.
	maxLoad = 0.9
)

// arrivalRate holds two exponential averages of a group's arrivals per second.
type arrivalRate struct{ short, long float64 }

// expected returns the expected arrivals per second, or 0 without recent demand.
func (a arrivalRate) expected() float64 {
	if a.long*longWindow.Seconds() < minArrivals {
		return 0
	}
	return max(a.short, a.long)
}

// Server describes the server that runs the queued items.
type Server struct {
	Slots int
	// MeanRun is the mean run time of an item.
	MeanRun time.Duration
}

// Arrived records that an item of a group has arrived, queued or not.
func (q *Queue[T]) Arrived(group string, now time.Time) {
	q.advance(now)
	l := q.lane(group)
	l.arrivals.short += 1 / shortWindow.Seconds()
	l.arrivals.long += 1 / longWindow.Seconds()
}

// advance updates the averages of all groups to a time.
func (q *Queue[T]) advance(now time.Time) {
	d := now.Sub(q.updatedAt)
	if d <= 0 {
		return
	}
	q.updatedAt = now
	shortDecay, longDecay := decay(d, shortWindow), decay(d, longWindow)
	meanDecay := decay(d, q.policy.Window)
	for _, l := range q.lanes {
		l.arrivals.short *= shortDecay
		l.arrivals.long *= longDecay
		// The average does not change while a group is idle, which therefore gains no credit.
		if l.active() {
			l.meanRunning = float64(l.running) + (l.meanRunning-float64(l.running))*meanDecay
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

// Take is Pop within the policy: it takes nothing if the next group may use no free slot.
func (q *Queue[T]) Take(weight func(group string) float64, s Server, now time.Time) (*Item[T], bool) {
	q.advance(now)
	free := s.Slots - q.running
	if free <= -q.policy.ExtraSlots {
		return nil, false
	}
	share := q.updateUsage(weight, s)
	name, l, ok := q.next(weight)
	if !ok {
		return nil, false
	}
	// Groups at or above their share need a slot beyond those that are kept.
	if !l.belowShare(share(name)) && free <= q.keptSlots(name, share, s) {
		return nil, false
	}
	return q.take(name, l, weight), true
}

// updateUsage recalculates the usage of each group, and returns the share of a group: its
// part, by weight among the groups with demand, of the server's slots.
func (q *Queue[T]) updateUsage(weight func(string) float64, s Server) func(string) float64 {
	weights, joined := 0.0, false
	// A fixed order of summation gives the same shares on each call.
	for _, g := range slices.Sorted(maps.Keys(q.lanes)) {
		l := q.lanes[g]
		hasDemand := l.active() || l.arrivals.expected() > 0
		joined = joined || hasDemand && !l.hasDemand
		l.hasDemand = hasDemand
		if hasDemand {
			weights += weight(g)
		}
	}
	share := func(g string) float64 { return float64(s.Slots) * weight(g) / max(weights, weight(g)) }
	for g, l := range q.lanes {
		if joined {
			// Before the new group joined, usage above the share took only unused slots.
			l.meanRunning = min(l.meanRunning, share(g))
		}
		// Running items beyond the burst count at once, so that no group takes the whole
		// server because its average is low.
		l.usage = max(l.meanRunning, float64(l.running)-(burstFactor-1)*share(g))
	}
	return share
}

// belowShare reports whether a group may use the slots kept for groups below their share.
// A group that has just joined counts as using its share; the number of its running items decides.
func (l *lane[T]) belowShare(share float64) bool {
	return l.usage < share || l.usage == share && float64(l.running) < share
}

// keptSlots returns the free slots that a group at or above its share leaves to the others.
func (q *Queue[T]) keptSlots(name string, share func(string) float64, s Server) int {
	rate := 0.0
	for g, l := range q.lanes {
		if g != name && l.belowShare(share(g)) {
			rate += l.arrivals.expected()
		}
	}
	return min(q.policy.slotsToKeep(rate, s), q.policy.KeptSlots, s.Slots/keptDivisor)
}

// slotsToKeep returns the number of kept slots with which at most the fraction LateFraction
// of the arrivals waits longer than WaitObjective. By Little's law, arrivals*run/slots items
// arrive until one slot of a full server becomes free. The number of kept slots in use then
// grows and shrinks like a queue with one server at that load.
func (p Policy) slotsToKeep(rate float64, s Server) int {
	if rate == 0 || s.MeanRun <= 0 {
		return 0
	}
	freed := float64(s.Slots) / s.MeanRun.Seconds()
	load := min(rate/freed, maxLoad)
	waitTail := math.Exp(-(1 - load) * freed * p.WaitObjective.Seconds())
	return max(int(math.Ceil(math.Log(p.LateFraction/waitTail)/math.Log(load))), 0)
}
