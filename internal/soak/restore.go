package soak

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"chervilhead/internal/standin/testbed"
	"chervilhead/platform/stub"
)

// meanRestoreInterval is the mean time between restores of the store, which may overlap.
const meanRestoreInterval = 5 * time.Second

// scheduleRestores returns the restores of the store of a seed, ordered by time. They have
// draws of their own, so that the other faults of a seed don't depend on them.
func scheduleRestores(seed uint64, length time.Duration) []faultEvent {
	r := rand.New(rand.NewPCG(seed, 2))
	var out []faultEvent
	for at := time.Duration(0); ; {
		at += time.Duration(r.ExpFloat64() * float64(meanRestoreInterval))
		if at >= length {
			return out
		}
		e := faultEvent{at: at, kind: storeRestore, target: r.IntN(1 << 16), variant: r.IntN(1 << 16)}
		e.duration = minFaultDuration + time.Duration(r.Int64N(int64(maxFaultDuration-minFaultDuration)))
		out = append(out, e)
	}
}

// restoreStore lets the store come back from a copy that is as old as the fault is long, for
// each process after a time of its own. A route that was acknowledged after the copy must be
// in force on each gateway once the operators have written it again.
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
		res := c.Do(testbed.Request{Gateway: g.callers, Route: s.env.Route(name), Path: "r", Deadline: requestDeadline})
		now := time.Now()
		if res.Status == http.StatusNotFound && g.faultFree(began, now) && !s.faultDuring(&s.storeFaults, began, now) {
			s.env.Checker.AddViolation("CONFIG", "%s returned status %d on route %s, written again %v before", g.name, res.Status, name, sentAt.Sub(began))
		}
	}
}
