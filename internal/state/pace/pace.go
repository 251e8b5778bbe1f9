package pace

import (
	"math"
	"time"
)

const (
	// usedPart is the part of an endpoint's limit that the gateways use together. The rest
	// covers gateways that don't agree on their number.
	usedPart = 0.7
	// minLimit is the limit, in requests a second, that lower ones are taken for: without any
	// request no gateway would learn that the limit has ended.
	minLimit = 0.15
	// burstTime is the time for which unused permits are kept.
	burstTime = time.Second
	// toleratedRatio, toleratedSlack and toleratedWindow are the platform's bound: in a window
	// an endpoint gets at most toleratedRatio times what its limit allows, and toleratedSlack
	// requests.
	toleratedRatio  = 1.5
	toleratedSlack  = 5
	toleratedWindow = 4 * time.Second
	// crowdPart is usedPart for gateways that are so many that their requests fall into a window
	// by chance.
	crowdPart = 0.5
	// crowdSlack and crowdTime are how many permits such gateways keep together on average:
	// crowdSlack, and those of crowdTime.
	crowdSlack = 0.5
	crowdTime  = 500 * time.Millisecond
)

// Share is one gateway's part of an endpoint's limit. It is immutable.
type Share struct {
	// rate is the number of permits a second.
	rate float64
	// capacity is the most permits that are kept.
	capacity float64
	// keptPart is the part of the time between two permits for which an unused one is kept.
	keptPart float64
}

// NewShare returns the share of each of a number of gateways in a limit of requests a second.
func NewShare(limit float64, gateways int) Share {
	n := float64(max(1, gateways))
	used := usedPart * max(limit, minLimit)
	s := Share{rate: used / n, keptPart: 1}
	s.capacity = max(1, s.rate*burstTime.Seconds())
	// With a full capacity kept by each gateway, a window may hold all of these and the window's own.
	if n*s.capacity+used*toleratedWindow.Seconds() > toleratedRatio*limit*toleratedWindow.Seconds()+toleratedSlack {
		s.rate *= crowdPart / usedPart
		s.keptPart = min(1, (crowdSlack+limit*crowdTime.Seconds())/n)
	}
	return s
}

// Pace counts the permits of one gateway for one endpoint. It is immutable, and the zero value
// has no permit.
type Pace struct {
	permits float64
	last    time.Time
}

// New returns a pace whose first permit falls due at a random time within the time between two
// permits; draw is a random number in [0, 1).
func New(now time.Time, draw float64) Pace { return Pace{permits: draw, last: now} }

// At returns the pace with the permits that have fallen due up to a time.
func (p Pace) At(now time.Time, s Share) Pace {
	if !now.After(p.last) {
		return p
	}
	p.permits += s.rate * now.Sub(p.last).Seconds()
	p.last = now
	switch {
	case s.keptPart >= 1:
		p.permits = min(p.permits, s.capacity)
	case p.permits >= 1+s.keptPart:
		// Unused permits lapse one by one, so that the next one keeps its time.
		p.permits = s.keptPart + math.Mod(p.permits-s.keptPart, 1)
	}
	return p
}

// Wait returns the time until the next permit.
func (p Pace) Wait(now time.Time, s Share) time.Duration {
	p = p.At(now, s)
	if p.permits >= 1 {
		return 0
	}
	return time.Duration(math.Ceil((1 - p.permits) / s.rate * float64(time.Second)))
}

// WithRequest returns the pace after a request took the next permit, also one that has yet to
// fall due.
func (p Pace) WithRequest(now time.Time, s Share) Pace {
	p = p.At(now, s)
	p.permits--
	return p
}
