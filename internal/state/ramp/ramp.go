package ramp

import (
	"math"
	"time"

	"chervilhead/internal/state/poison"
)

// Size is what the windows of an endpoint are derived from.
type Size struct {
	// Slots is the number of requests that the endpoint runs at once, or 0 if that isn't known.
	Slots int
	// Gateways is the number of gateways that may send to the endpoint.
	Gateways int
}

const (
	// startShare is the part of an endpoint's slots that all gateways together use at first: a
	// server that runs at an eighth of its speed while it warms up serves them without a queue.
	startShare = 0.125
	// joinInterval is the time in which the number of gateways that have begun doubles. It is two
	// periods of the keepers' reports, within which the first responses arrive as well.
	joinInterval = 400 * time.Millisecond
	// inTimeRatio is the ratio of latency to estimate up to which a response is in time; requests
	// of one kind differ by about as much.
	inTimeRatio = 1.5
	// lateRatio is the ratio beyond which a response is late: the request has waited for about
	// two others.
	lateRatio = 3
	// latencySlack is added to both bounds: the time for which a chunk of another prompt holds up
	// an engine.
	latencySlack = 50 * time.Millisecond
	// shrinkFactor multiplies the limit when a request fails or is late.
	shrinkFactor = 0.5
	// shrinkInterval is the time within which failures count once, because they concern requests
	// that were sent together.
	shrinkInterval = 100 * time.Millisecond
	// minHold is the time without requests after a late or rejected request in a window of one
	// request. It doubles up to maxHold. Both equal the times for connection failures in the
	// health record.
	minHold, maxHold = 250 * time.Millisecond, 2 * time.Second
	// probeRate is the number of requests a second that a failing endpoint gets from all gateways
	// together. Most of them fail and are retried: 100 attempts in the 10 s over which the
	// platform counts the retry budget, which allows 56 and a fifth of the requests.
	probeRate = 10
	// endQuietTime is the time without an excluded request after which a window ends, once it had
	// minInTime responses in time. It spans several requests of a typical plain service. After
	// that many responses the health record of a recovered endpoint is nearly clean.
	endQuietTime = time.Second
	minInTime    = 8
	// unusedTime is the time without an excluded request after which a window ends in any case:
	// the other gateways have long used the endpoint.
	unusedTime = 10 * time.Second
)

// phase is the state of an endpoint's window.
type phase int

const (
	closed phase = iota
	// probing means that the endpoint fails and gets single requests (probes).
	probing
	open
)

// Cause is why a window opened.
type Cause string

// The causes of a window.
const (
	Started   Cause = "started"
	Recovered Cause = "recovered"
)

// Reason is why a window ended.
type Reason string

// The reasons for the end of a window.
const (
	// AllSlots means that the limit has reached the endpoint's slots.
	AllSlots Reason = "all_slots"
	// NotLimiting means that the window has excluded no request for some time.
	NotLimiting Reason = "not_limiting"
	// Unused means that the gateway hardly used the endpoint.
	Unused Reason = "unused"
	// Failing means that the endpoint no longer responds, so that it gets single requests.
	Failing Reason = "failing"
	// Gone means that the endpoint is no longer registered.
	Gone Reason = "gone"
)

// Window limits one gateway's requests in flight at one endpoint incarnation. It is immutable,
// and a zero value with a size and a place (see Unlimited) limits nothing.
type Window struct {
	phase phase
	size  Size
	cause Cause
	// place is the gateway's place among those that begin, from 0 (first) to 1.
	place float64
	// limit is the number of requests that may be in flight. Up to threshold, where it last
	// shrank, it grows by one with each response in time.
	limit, threshold float64
	joined           bool
	openedAt         time.Time
	// reportSteps counts the reports of free slots, each of which doubles the part of the gateways
	// that begin; reportAt is the time of the newest.
	reportSteps int
	reportAt    time.Time
	// fullAt is when the window last excluded a request.
	fullAt    time.Time
	shrunkAt  time.Time
	heldUntil time.Time
	hold      time.Duration
	inTime    int
	// failed is set when a request failed in the window.
	failed bool
}

// Place returns the place of a gateway among those that begin at an endpoint, in [0, 1).
func Place(gateway, endpoint string) float64 {
	return float64(poison.RendezvousWeight(gateway, endpoint)) / math.MaxUint64
}

// Unlimited returns the window of an endpoint that neither starts nor fails.
func Unlimited(size Size, place float64) Window { return Window{size: size, place: place} }

// New returns the window of an endpoint that has just started.
func New(size Size, place float64, now time.Time) Window {
	w := Window{phase: open, cause: Started, size: size, place: place, threshold: math.Inf(1), openedAt: now, fullAt: now}
	w.limit = w.initialLimit()
	return w
}

// initialLimit returns the limit with which a gateway begins.
func (w Window) initialLimit() float64 {
	return max(1, math.Floor(w.beginners()/float64(max(1, w.size.Gateways))))
}

// beginners returns the number of requests that the endpoint gets at first from all gateways.
func (w Window) beginners() float64 { return max(1, startShare*float64(w.size.Slots)) }

// WithSize returns the window for an endpoint whose slots or gateways are known better now.
func (w Window) WithSize(size Size) Window {
	w.size = size
	return w
}

// WithReport returns the window after a keeper's report of free slots and waiting prompts.
func (w Window) WithReport(free, waiting int, at time.Time) Window {
	if w.phase == open && !w.joined && at.After(w.openedAt) && at.After(w.reportAt) {
		w.reportAt = at
		if free > 0 && waiting == 0 {
			w.reportSteps++
		}
	}
	return w
}

// begun reports whether the gateway is among those that may use the endpoint.
func (w Window) begun(now time.Time) bool {
	if w.joined {
		return true
	}
	steps := float64(now.Sub(w.openedAt))/float64(joinInterval) + float64(w.reportSteps)
	return w.place*float64(max(1, w.size.Gateways)) < w.beginners()*math.Exp2(steps)
}

// Room reports whether another request may be sent, with a number of this gateway's in flight.
func (w Window) Room(inFlight int, now time.Time) bool {
	if now.Before(w.heldUntil) {
		return false
	}
	return w.phase != open || w.begun(now) && float64(inFlight) < math.Floor(w.limit)
}

// Limiting reports whether the window may exclude requests.
func (w Window) Limiting() bool { return w.phase != closed }

// Open reports whether the endpoint is in its window, with the cause and the time of the beginning.
func (w Window) Open() (Cause, time.Time, bool) { return w.cause, w.openedAt, w.phase == open }

// Limit returns the number of requests that may be in flight, 0 if the window isn't open.
func (w Window) Limit() int {
	if w.phase != open {
		return 0
	}
	return int(w.limit)
}

// WithExcluded returns the window after it excluded a request.
func (w Window) WithExcluded(now time.Time) Window {
	w.fullAt = now
	return w
}

// Forgiven reports whether the endpoint's failures lie before its window, so that they should
// not keep requests away.
func (w Window) Forgiven() bool { return w.phase == probing || w.phase == open && !w.failed }

// Probing reports whether the endpoint has not responded since its last failure.
func (w Window) Probing() bool { return w.phase == probing }

// WithSend returns the window after a request was sent.
func (w Window) WithSend(now time.Time) Window {
	if w.phase == probing {
		w.heldUntil = now.Add(w.probeInterval())
	}
	return w
}

// probeInterval returns the time between two of this gateway's requests to a failing endpoint.
func (w Window) probeInterval() time.Duration {
	return max(minHold, time.Duration(max(1, w.size.Gateways))*time.Second/probeRate)
}

// probed returns the window of an endpoint that fails. The first requests of the gateways are
// spread by their places, because all notice the failures at the same time.
func (w Window) probed(now time.Time) Window {
	wait := max(minHold, time.Duration(w.place*float64(w.probeInterval())))
	return Window{phase: probing, size: w.size, place: w.place, heldUntil: now.Add(wait)}
}

// held returns the window closed for a time that doubles from one call to the next.
func (w Window) held(now time.Time) Window {
	w.hold = min(maxHold, max(minHold, 2*w.hold))
	w.heldUntil = now.Add(w.hold)
	return w
}

// Ended returns the window without its limit, and the reason, if it has ended.
func (w Window) Ended(now time.Time) (Window, Reason, bool) {
	quiet := now.Sub(w.fullAt)
	switch {
	case w.phase != open:
		return w, "", false
	case w.size.Slots > 0 && w.inTime > 0 && w.limit >= float64(w.size.Slots):
		return Unlimited(w.size, w.place), AllSlots, true
	case quiet >= endQuietTime && w.inTime >= minInTime:
		return Unlimited(w.size, w.place), NotLimiting, true
	case quiet >= unusedTime && now.Sub(w.shrunkAt) >= unusedTime:
		return Unlimited(w.size, w.place), Unused, true
	}
	return w, "", false
}
