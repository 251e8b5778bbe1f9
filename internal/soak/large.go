package soak

import (
	"net/http"
	"strings"
	"time"

	"chervilhead/internal/standin/testbed"
)

const (
	// thinLink is the rate at which the store reaches every other gateway if the configurations are
	// large, in bytes a second: the 10 Mbit/s of the thinnest link.
	thinLink = 10e6 / 8
	// largeConfigBound is the time in which a large change has to be in force. The platform's
	// deployments with thin links give it that long.
	largeConfigBound = 3 * time.Second
	// largeStep is the number of routes by which large configurations differ in size.
	largeStep = 1400
	// rowGap is the pause between changes in a row.
	rowGap = 100 * time.Millisecond
)

// limitLinks limits what the store sends to every other gateway.
func (s *soak) limitLinks() {
	for i := 0; i < len(s.gateways); i += 2 {
		s.storeListeners[len(s.keepers)+i].SetRate(thinLink)
	}
}

// changeLargeConfig writes a large configuration and up to three changes of it in a row, and checks
// that each gateway that isn't disturbed, nor its store, has the last one in time.
func (s *soak) changeLargeConfig(e faultEvent) {
	began := time.Now()
	name := s.env.AddRoutes(largeStep * (1 + e.target%5))
	for range e.variant % 4 {
		time.Sleep(rowGap)
		name = s.env.AddRoute()
	}
	time.Sleep(largeConfigBound)
	c := testbed.NewClient(s.env.Checker)
	defer c.Close()
	for _, g := range s.gateways {
		sentAt := time.Now()
		res := c.Do(s.properKey(testbed.Request{Gateway: g.callers, Route: s.env.Route(name), Path: "l", Deadline: requestDeadline}))
		unknown := res.Status == http.StatusNotFound || strings.Contains(res.Detail, "config_stale")
		if unknown && g.faultFree(began.Add(-stabilizationTime), time.Now()) && !s.faultDuring(&s.storeFaults, began.Add(-stabilizationTime), time.Now()) {
			s.env.Checker.AddViolation("CONFIG", "%s returned status %d (%s) on a route of a large configuration %v after it was added", g.name, res.Status, res.Detail, sentAt.Sub(began))
		}
	}
}
