package control

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"chervilhead/internal/state/fleet"
	"chervilhead/internal/state/replica"
)

// demandSim simulates, in virtual time, a demand meter and engines that have room for three
// models each and start with one replica of every model.
type demandSim struct {
	spec      *fleet.EngineSpec
	endpoints []replica.Endpoint
	demand    *demandMeter
	now       time.Time
}

func newDemandSim(endpoints, models int) *demandSim {
	s := &demandSim{spec: &fleet.EngineSpec{WeightsMB: 230, Models: map[string]fleet.Model{}}, demand: newDemandMeter(), now: time.Unix(1000, 0)}
	for i := range endpoints {
		s.endpoints = append(s.endpoints, replica.Endpoint{ID: fmt.Sprintf("h%02d", i), Usable: true})
	}
	for i := range models {
		n := fmt.Sprintf("m%02d", i)
		s.spec.Models[n] = fleet.Model{Name: n, WeightsMB: 70}
		e := &s.endpoints[i%endpoints]
		e.Models = append(e.Models, n)
	}
	return s
}

// run records a constant offered load for a model for some time, and applies the
// moves that are decided in each planInterval.
func (s *demandSim) run(model string, load float64, length time.Duration) {
	for end := s.now.Add(length); s.now.Before(end); s.now = s.now.Add(planInterval) {
		s.demand.add("s", model, int(load*planInterval.Seconds()/prefillTokenTime.Seconds()), 0, s.now)
		demand := map[string]replica.Demand{}
		for _, m := range s.demand.list(s.now) {
			demand[m.Model] = replica.Demand{OfferedLoad: m.OfferedLoad}
		}
		for {
			m, ok := replica.NextMove(s.spec, s.endpoints, demand, true)
			if !ok {
				break
			}
			i := slices.IndexFunc(s.endpoints, func(e replica.Endpoint) bool { return e.ID == m.Endpoint })
			e := &s.endpoints[i]
			e.Models = append(slices.DeleteFunc(e.Models, func(x string) bool { return slices.Contains(m.Unload, x) }), m.Load)
		}
	}
}

func (s *demandSim) replicas(model string) int {
	n := 0
	for _, e := range s.endpoints {
		if slices.Contains(e.Models, model) {
			n++
		}
	}
	return n
}

// TestDemandShift moves an offered load of 1.5 endpoints to a model with one replica, a shift that
// in a day's traffic takes a few seconds and lasts some seconds. Callers of that model queue
// until it has further replicas, which must be ordered within 1.5 s.
func TestDemandShift(t *testing.T) {
	s := newDemandSim(12, 24)
	s.run("m00", 1.5, 10*time.Second)
	if n := s.replicas("m00"); n < 3 {
		t.Fatalf("a busy model has %d replicas", n)
	}
	s.run("m13", 1.5, 1500*time.Millisecond)
	if n := s.replicas("m13"); n < 2 {
		t.Errorf("1.5 s after demand moved to a model it has %d replicas", n)
	}
}
