package testbed

import (
	"net/http"
	"time"
)

// Leave makes all answers of the incarnation say that it leaves, and ends it after d. Its
// registration goes on to say that it is ready.
func (e *Endpoint) Leave(d time.Duration) {
	e.setLeaving()
	time.Sleep(d)
	e.Kill()
}

func (e *Endpoint) setLeaving() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
	e.updateServing()
}

// endpointAtGateway names an endpoint incarnation as one gateway knows it.
type endpointAtGateway struct{ endpoint, gateway string }

// addToldLeaving records that a gateway passed on an answer that says that its endpoint leaves.
func (c *Checker) addToldLeaving(gateway string, h http.Header, names headerNames) {
	if h.Get(names.leaving) == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	k := endpointAtGateway{h.Get(names.instance), gateway}
	if c.toldLeaving[k].IsZero() {
		c.toldLeaving[k] = time.Now()
	}
}

// CheckLeaving checks that no gateway sent an endpoint a request whose client sent it later
// than drain after the gateway had passed on an answer that says that the endpoint leaves.
// excused reports whether a gateway was restarted or paused within a period.
func (c *Checker) CheckLeaving(drain time.Duration, excused func(gateway string, from, to time.Time) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.arrivals {
		told := c.toldLeaving[endpointAtGateway{a.Endpoint, a.Gateway}]
		if told.IsZero() || a.SentAt.Sub(told) <= drain || excused(a.Gateway, told, a.At) {
			continue
		}
		c.addViolationLocked("DRAIN", "request %s reached endpoint %s; its client sent it %v after the gateway had passed on an answer that said that the endpoint leaves", a.ID, a.Endpoint, a.SentAt.Sub(told))
	}
}

// ToldLeaving returns the number of pairs of an endpoint incarnation that leaves and a gateway
// that passed on an answer saying so.
func (c *Checker) ToldLeaving() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.toldLeaving)
}
