package soak

import (
	"net/http"
	"strings"
	"time"

	"chervilhead/internal/standin/testbed"
	"chervilhead/platform/stub"
)

const (
	// refusedConfigBound is the time in which a change has to be in force at a gateway that the
	// store refuses while it serves the others.
	refusedConfigBound = configApplyTimeout + 6*time.Second
	// refusalStep is the pause between settings of a refusal, which other faults of the same
	// listener end.
	refusalStep = 20 * time.Millisecond
)

// refuseGateway lets the store refuse one gateway for longer than a change may take to come into
// force, makes one and checks that the gateway has it, unless the gateway itself is disturbed.
func (s *soak) refuseGateway(e faultEvent) {
	i := e.target % len(s.gateways)
	l, g := s.storeListeners[len(s.keepers)+i], s.gateways[i]
	fault := []stub.Fault{stub.FaultNoReply, stub.FaultUnavailable, stub.FaultReset}[e.variant%3]
	done := s.recordFault(&s.storeFaults)
	defer done()
	defer l.SetFault(stub.NoFault)
	began := time.Now()
	l.SetFault(fault)
	l.Cut()
	hold := func(d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(refusalStep) {
			l.SetFault(fault)
		}
	}
	hold(e.duration / 4)
	name := s.env.AddRoute()
	hold(refusedConfigBound)
	c := testbed.NewClient(s.env.Checker)
	defer c.Close()
	res := c.Do(s.properKey(testbed.Request{Gateway: g.callers, Route: s.env.Route(name), Path: "r", Deadline: requestDeadline}))
	// Other rejections say nothing of the configuration.
	if unknown := res.Status == http.StatusNotFound || strings.Contains(res.Detail, "config_stale"); unknown && g.faultFree(began, time.Now()) {
		s.env.Checker.AddViolation("CONFIG", "%s, which the store refuses, returned status %d (%s) on a route added %v ago", g.name, res.Status, res.Detail, refusedConfigBound)
	}
}
