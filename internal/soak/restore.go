package soak

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"chervilhead/internal/standin/testbed"
	"chervilhead/platform/stub"
)

// restoreStore restores the store from a copy that is as old as the fault is long; each process
// reaches it again after a time of its own. A route that was acknowledged after the copy was
// taken must be in force on each gateway once it has been written again.
func (s *soak) restoreStore(e faultEvent) {
	done := s.recordFault(&s.storeFaults)
	r := rand.New(rand.NewPCG(s.cfg.Seed, uint64(e.variant)))
	b := s.env.Store.Backup()
	time.Sleep(e.duration)
	name := s.env.AddRoute()
	var back sync.WaitGroup
	for _, l := range s.storeListeners {
		l.SetFault([]stub.Fault{stub.FaultNoReply, stub.FaultUnavailable, stub.FaultReset}[r.IntN(3)])
		away := time.Duration(r.Int64N(int64(e.duration)))
		back.Go(func() {
			time.Sleep(away)
			l.SetFault(stub.NoFault)
		})
	}
	s.env.RestoreStore(b)
	time.Sleep(time.Duration(r.Int64N(int64(e.duration))) / 2)
	s.env.RewriteConfig()
	back.Wait()
	done()
	s.checkRouteInForce(name)
}

// checkRouteInForce checks that each gateway that no fault disturbs serves a route.
func (s *soak) checkRouteInForce(name string) {
	began := time.Now()
	time.Sleep(stabilizationTime + configApplyTimeout)
	c := testbed.NewClient(s.env.Checker)
	defer c.Close()
	for _, g := range s.gateways {
		sentAt := time.Now()
		res := c.Do(s.properKey(testbed.Request{Gateway: g.callers, Route: s.env.Route(name), Path: "r", Deadline: requestDeadline}))
		now := time.Now()
		if res.Status == http.StatusNotFound && g.faultFree(began, now) && !s.faultDuring(&s.storeFaults, began, now) {
			s.env.Checker.AddViolation("CONFIG", "%s returned status %d on route %s, written again %v before", g.name, res.Status, name, sentAt.Sub(began))
		}
	}
}
