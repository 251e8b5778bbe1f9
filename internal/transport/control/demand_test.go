package control

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"chervilhead/internal/state/fleet"
	"chervilhead/internal/state/replica"
)

// shiftTown is engines with three places for models each, one copy of every model, and a
// demand meter, in virtual time.
type shiftTown struct {
	spec   *fleet.EngineSpec
	hosts  []replica.Endpoint
	demand *demand
	now    time.Time
}

func newShiftTown(hosts, models int) *shiftTown {
	w := &shiftTown{spec: &fleet.EngineSpec{WeightsMB: 230, Models: map[string]fleet.Model{}}, demand: newDemand(), now: time.Unix(1000, 0)}
	for i := range hosts {
		w.hosts = append(w.hosts, replica.Endpoint{ID: fmt.Sprintf("h%02d", i), Usable: true})
	}
	for i := range models {
		n := fmt.Sprintf("m%02d", i)
		w.spec.Models[n] = fleet.Model{Name: n, WeightsMB: 70}
		h := &w.hosts[i%hosts]
		h.Models = append(h.Models, n)
	}
	return w
}

// play asks for a model with some endpoint time a second, and decides every 0.15 s.
func (w *shiftTown) play(model string, work float64, length time.Duration) {
	for end := w.now.Add(length); w.now.Before(end); w.now = w.now.Add(planEvery) {
		w.demand.add("s", model, int(work*planEvery.Seconds()/readTime.Seconds()), 0, w.now)
		demand := map[string]replica.Demand{}
		for _, m := range w.demand.list(w.now) {
			demand[m.Model] = replica.Demand{OfferedLoad: m.OfferedLoad}
		}
		for {
			m, ok := replica.NextMove(w.spec, w.hosts, demand, true)
			if !ok {
				break
			}
			i := slices.IndexFunc(w.hosts, func(h replica.Endpoint) bool { return h.ID == m.Endpoint })
			h := &w.hosts[i]
			h.Models = append(slices.DeleteFunc(h.Models, func(x string) bool { return slices.Contains(m.Unload, x) }), m.Load)
		}
	}
}

func (w *shiftTown) copies(model string) int {
	n := 0
	for _, h := range w.hosts {
		if slices.Contains(h.Models, model) {
			n++
		}
	}
	return n
}

// TestDemandShift moves the demand of one and a half endpoints to a model with one copy, as
// it moves in a day: within a few seconds, for some seconds. Callers of that model queue
// until it has further copies, which must be on their way within a second and a half.
func TestDemandShift(t *testing.T) {
	w := newShiftTown(12, 24)
	w.play("m00", 1.5, 10*time.Second)
	if n := w.copies("m00"); n < 3 {
		t.Fatalf("a busy model has %d copies", n)
	}
	w.play("m13", 1.5, 1500*time.Millisecond)
	if n := w.copies("m13"); n < 2 {
		t.Errorf("1.5 s after demand moved to a model it has %d copy", n)
	}
}
