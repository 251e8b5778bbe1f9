package budget

import "time"

// Limit is the bound over all gateways: the retries of a window stay below
// Ratio x requests + Slack.
type Limit struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

const (
	// windowSteps is the number of steps into which a window is divided for counting.
	windowSteps = 20
	// safetyMargin keeps a gateway below its part of the bound, because windows slide and
	// requests are counted here only after they have been read.
	safetyMargin = 0.7
)

// Retries counts one service's requests and retries at one gateway. It is not safe for
// concurrent use.
type Retries struct {
	limit    Limit
	requests [windowSteps + 1]int
	retries  [windowSteps + 1]int
	step     int64
	// slackFrom is the time from which the budget allows slack.
	slackFrom time.Duration
}

// New returns a budget in which no request or retry is counted yet. Unless firstStart is set, a
// process that ran here before may have spent this gateway's share of the slack, so that the first
// window after the start has none.
func New(limit Limit, firstStart bool) *Retries {
	b := &Retries{limit: limit}
	if !firstStart {
		b.slackFrom = limit.Window + limit.Window/windowSteps
	}
	return b
}

// advance clears the steps up to a time and returns the index of the current step.
func (b *Retries) advance(now time.Duration) int {
	width := int64(b.limit.Window) / windowSteps
	current := int64(now) / width
	for i := 0; b.step < current && i <= windowSteps; i++ {
		b.step++
		b.requests[b.step%(windowSteps+1)], b.retries[b.step%(windowSteps+1)] = 0, 0
		if i == windowSteps {
			b.step = current
		}
	}
	return int(b.step % (windowSteps + 1))
}

// AddRequest counts the first attempt of a request.
func (b *Retries) AddRequest(now time.Duration) { b.requests[b.advance(now)]++ }

// Usage is what a gateway counts in the window that ends now.
type Usage struct {
	Requests, Retries int
	// Allowed is the number of retries that the gateway may send in the window, of which Slack
	// doesn't depend on the requests.
	Allowed, Slack float64
}

// Usage returns what is counted in the window that ends now, with the slack divided evenly among
// the given number of gateways.
func (b *Retries) Usage(now time.Duration, gateways int) Usage {
	b.advance(now)
	var u Usage
	if now >= b.slackFrom {
		u.Slack = safetyMargin * b.limit.Slack / float64(max(1, gateways))
	}
	for k := range b.requests {
		u.Requests += b.requests[k]
		u.Retries += b.retries[k]
	}
	u.Allowed = safetyMargin*b.limit.Ratio*float64(u.Requests) + u.Slack
	return u
}

// Take counts a retry if the budget allows one, and reports whether it did. The slack is
// divided evenly among the given number of gateways.
func (b *Retries) Take(now time.Duration, gateways int) bool {
	if u := b.Usage(now, gateways); float64(u.Retries+1) > u.Allowed {
		return false
	}
	b.retries[b.advance(now)]++
	return true
}
