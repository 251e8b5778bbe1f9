package control

import (
	"time"

	"github.com/sirupsen/logrus"

	"chervilhead/internal/coordination/watch"
	"chervilhead/internal/state/fleet"
	"chervilhead/internal/state/sets"
)

// RecordLeaving implements proxy.ControlPlane. The states show it at the next call.
func (p *Plane) RecordLeaving(e fleet.Endpoint) bool {
	if !p.leavers.Add(e.IncarnationID(), time.Now()) {
		return false
	}
	p.outdated.Store(true)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wakeWaiting()
	return true
}

// withLeaving returns a state whose Leaving is also set if the endpoint itself said that it
// leaves, in an answer to this gateway or to its keeper. A registration may say so seconds later
// or not at all, and may be read from an older copy.
func (p *Plane) withLeaving(s fleet.State, now time.Time) fleet.State {
	reported := s.StatusSupersedes && s.Status.Incarnation == s.Incarnation && s.Status.Leaving
	if reported && p.leavers.Add(s.IncarnationID(), now) {
		p.log.WithFields(logrus.Fields{"endpoint": s.ID, "service": s.Service, "born": s.Incarnation, "listed_leaving": s.Leaving}).Info("an endpoint's keeper says that it leaves")
	}
	s.Leaving = s.Leaving || p.leavers.Has(s.IncarnationID())
	return s
}

// forgetLeavers drops the incarnations that left and have not been registered for long.
func (p *Plane) forgetLeavers(v *watch.View, now time.Time) {
	listed := sets.Of[fleet.IncarnationID]()
	for _, e := range v.Endpoints {
		listed.Add(e.IncarnationID())
	}
	p.leavers.Retain(listed.Has, now)
}
