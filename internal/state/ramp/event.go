package ramp

import (
	"math"
	"time"
)

// Event is what became of a request at an endpoint.
type Event interface{ event() }

type (
	// Response means that the endpoint sent its first event or its whole answer.
	Response struct{ Latency, Estimate time.Duration }
	// Failure means that a request failed or that no connection could be opened.
	Failure struct{}
	// Abandoned means that a request ended before a response, at its deadline or because its
	// caller left.
	Abandoned struct{ Waited, Estimate time.Duration }
	// TurnedAway means that the endpoint didn't run a request.
	TurnedAway struct{}
)

func (Response) event()   {}
func (Failure) event()    {}
func (Abandoned) event()  {}
func (TurnedAway) event() {}

// With returns the window after an event, with a number of this gateway's requests in flight.
func (w Window) With(e Event, inFlight int, now time.Time) Window {
	switch e := e.(type) {
	case Response:
		return w.withResponse(e, inFlight, now)
	case Failure:
		if w.phase == closed || w.phase == open && w.limit <= 1 {
			return w.probed(now)
		}
		w.failed = true
		return w.shrunk(inFlight, now)
	case Abandoned:
		if e.Estimate > 0 && e.Waited > scaled(e.Estimate, lateRatio) && now.Add(-e.Waited).After(w.shrunkAt) {
			return w.shrunk(inFlight, now)
		}
	case TurnedAway:
		return w.shrunk(inFlight, now)
	}
	return w
}

func (w Window) withResponse(e Response, inFlight int, now time.Time) Window {
	if w.phase == probing {
		w = New(w.size, w.place, now)
		w.cause, w.joined = Recovered, true
		// What runs there doesn't count: an endpoint with long streams would get nothing until they end.
		w.limit += float64(inFlight)
		return w
	}
	if w.phase != open || e.Estimate <= 0 {
		return w
	}
	switch {
	case e.Latency <= scaled(e.Estimate, inTimeRatio):
		w.inTime++
		w.joined, w.hold = true, 0
		if 2*inFlight < int(w.limit) {
			// The limit wasn't used, so the response doesn't show that more is served in time.
			return w
		}
		if w.limit < w.threshold {
			w.limit++
		} else {
			w.limit += 1 / w.limit
		}
	case e.Latency > scaled(e.Estimate, lateRatio) && now.Add(-e.Latency).After(w.shrunkAt):
		// A request that was sent before the limit last shrank says nothing of the new limit.
		return w.shrunk(inFlight, now)
	}
	return w
}

// scaled returns an estimate with the tolerance of a bound.
func scaled(estimate time.Duration, ratio float64) time.Duration {
	return latencySlack + time.Duration(ratio*float64(estimate))
}

// shrunk returns the window after a request that failed, was turned away or was late.
func (w Window) shrunk(inFlight int, now time.Time) Window {
	if w.phase != open || !w.shrunkAt.IsZero() && now.Sub(w.shrunkAt) < shrinkInterval {
		return w
	}
	w.shrunkAt, w.inTime = now, 0
	if w.limit <= 1 {
		return w.held(now)
	}
	// The limit may be above what is in flight, which is what the endpoint couldn't take.
	w.limit = max(1, math.Floor(shrinkFactor*min(w.limit, float64(inFlight+1))))
	w.threshold = w.limit
	return w
}
