package testbed

import (
	"net/http"
	"time"
)

// The platform's bound for an endpoint that names a limit: in a window it gets at most
// rateLimitRatio times what the limit allows, and rateLimitSlack requests, from gateways that
// passed on an answer with the limit rateLimitNotice before or earlier. The bound holds from
// rateLimitDelay after the endpoint first named the limit.
const (
	rateLimitWindow = 4 * time.Second
	rateLimitRatio  = 1.5
	rateLimitSlack  = 5
	rateLimitNotice = 500 * time.Millisecond
	rateLimitDelay  = 3 * time.Second
)

// rateLimit is the period in which an endpoint names a limit of requests a second.
type rateLimit struct {
	perSecond float64
	from, to  time.Time
	// toldAt is when each gateway first passed on an answer with the limit, by its address.
	toldAt map[string]time.Time
}

// setRateLimit records that an endpoint names a limit from now on, or none if it is 0.
func (c *Checker) setRateLimit(endpoint string, perSecond float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	list := c.rateLimits[endpoint]
	if n := len(list); n > 0 && list[n-1].to.IsZero() {
		list[n-1].to = now
	}
	if perSecond > 0 {
		list = append(list, rateLimit{perSecond: perSecond, from: now, toldAt: map[string]time.Time{}})
	}
	c.rateLimits[endpoint] = list
}

// addToldRateLimit records that a gateway passed on an answer of an endpoint.
func (c *Checker) addToldRateLimit(gateway string, h http.Header, names headerNames) {
	if h.Get(names.rateLimit) == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.rateLimits[h.Get(names.instance)]
	if n := len(list); n > 0 && list[n-1].toldAt[gateway].IsZero() {
		list[n-1].toldAt[gateway] = time.Now()
	}
}

// CheckRateLimits checks that no endpoint got more requests than the limit that it named
// allows. excused reports whether a gateway was disturbed between the time when it first passed
// the limit on and a request.
func (c *Checker) CheckRateLimits(excused func(gateway string, from, to time.Time) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, list := range c.rateLimits {
		for _, l := range list {
			c.checkRateLimit(id, l, excused)
		}
	}
}

func (c *Checker) checkRateLimit(endpoint string, l rateLimit, excused func(gateway string, from, to time.Time) bool) {
	var counted []time.Time
	for _, a := range c.arrivals {
		told := l.toldAt[a.Gateway]
		if a.Endpoint != endpoint || told.IsZero() || a.At.Sub(told) < rateLimitNotice || !l.to.IsZero() && a.At.After(l.to) {
			continue
		}
		if excused(a.Gateway, told, a.At) {
			continue
		}
		counted = append(counted, a.At)
	}
	allowed := rateLimitRatio*l.perSecond*rateLimitWindow.Seconds() + rateLimitSlack
	oldest := 0
	for i, at := range counted {
		for ; at.Sub(counted[oldest]) >= rateLimitWindow; oldest++ {
		}
		if n := i - oldest + 1; float64(n) > allowed && at.Sub(l.from) >= rateLimitDelay {
			c.addViolationLocked("LIMIT", "endpoint %s named a limit of %g a second and got %d requests in %v from gateways that it had told, allowed %g, %v after it named the limit",
				endpoint, l.perSecond, n, rateLimitWindow, allowed, at.Sub(l.from))
			return
		}
	}
}
