package testbed

import (
	"net/http"
	"strconv"
	"time"
)

// The platform's bound for an endpoint that asks for a pause: from pauseNotice after it has
// answered a gateway so until the end of that time it gets at most pauseSlack requests from it.
const (
	pauseNotice = 500 * time.Millisecond
	pauseSlack  = 2
)

// pause is an answer in which an endpoint asked a gateway for a pause.
type pause struct {
	endpointAtGateway
	answeredAt, until time.Time
}

// Pause makes the incarnation turn all requests away for d, each with the time that is left.
func (e *Endpoint) Pause(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pausedUntil = time.Now().Add(d)
	e.updateServing()
	time.AfterFunc(d, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.updateServing()
	})
}

// rejectIfPaused turns a request away if the endpoint has asked for a pause.
func (e *Endpoint) rejectIfPaused(w http.ResponseWriter, r *http.Request, id, self string) bool {
	e.mu.Lock()
	until := e.pausedUntil
	e.mu.Unlock()
	now := time.Now()
	if !now.Before(until) {
		return false
	}
	w.Header().Set("Retry-After", strconv.FormatFloat(until.Sub(now).Seconds(), 'f', 3, 64))
	e.checker.addPause(id, self, now, until)
	e.reject(w, r, http.StatusServiceUnavailable)
	return true
}

func (c *Checker) addPause(id, endpoint string, now, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if q, ok := c.requests[id]; ok {
		c.pauses = append(c.pauses, pause{endpointAtGateway{endpoint, q.gateway}, now, until})
	}
}

// CheckPauses checks that no gateway sent an endpoint requests in a pause that the endpoint had
// asked it for. excused reports whether a gateway was restarted, paused or cut off within a
// period.
func (c *Checker) CheckPauses(excused func(gateway string, from, to time.Time) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	broken := map[endpointAtGateway]bool{}
	for _, p := range c.pauses {
		if broken[p.endpointAtGateway] {
			continue
		}
		n := 0
		for _, a := range c.arrivals {
			if a.Endpoint == p.endpoint && a.Gateway == p.gateway && a.At.Sub(p.answeredAt) > pauseNotice && a.At.Before(p.until) && !excused(a.Gateway, p.answeredAt, a.At) {
				n++
			}
		}
		if n > pauseSlack {
			broken[p.endpointAtGateway] = true
			c.addViolationLocked("BUDGET", "endpoint %s asked the gateway at %s for a pause of %v and got %d requests from it in that time", p.endpoint, p.gateway, p.until.Sub(p.answeredAt), n)
		}
	}
}

// Pauses returns the number of answers that asked for a pause.
func (c *Checker) Pauses() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pauses)
}
