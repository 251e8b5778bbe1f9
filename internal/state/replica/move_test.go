package replica

import (
	"fmt"
	"slices"
	"testing"

	"chervilhead/internal/state/fleet"
)

func spec(models int) *fleet.EngineSpec {
	e := &fleet.EngineSpec{WeightsMB: 230, Models: map[string]fleet.Model{}}
	for i := range models {
		n := fmt.Sprintf("m%02d", i)
		e.Models[n] = fleet.Model{Name: n, WeightsMB: 70}
	}
	return e
}

func hosts(n int, models ...string) []Endpoint {
	var out []Endpoint
	for i := range n {
		out = append(out, Endpoint{ID: fmt.Sprintf("h%02d", i), Usable: true, Models: slices.Clone(models)})
	}
	return out
}

func TestNext(t *testing.T) {
	full := []Endpoint{
		{ID: "h0", Usable: true, Models: []string{"m00", "m01", "m02"}},
		{ID: "h1", Usable: true, Models: []string{"m00", "m01", "m03"}},
		{ID: "h2", Usable: true, Models: []string{"m01", "m04", "m05"}},
	}
	near := slices.Clone(full)
	near[1].LocalWeights = []string{"m04"}
	coming := slices.Clone(full)
	coming[0].LoadingModels = []string{"m00"}
	busy := []Endpoint{
		{ID: "h0", Usable: true, Models: []string{"m00", "m01", "m02"}},
		{ID: "h1", Usable: true, Models: []string{"m00", "m03", "m04"}},
	}
	for _, tc := range []struct {
		name   string
		spec   *fleet.EngineSpec
		hosts  []Endpoint
		demand map[string]Demand
		far    bool
		want   string
	}{
		{"all is well", spec(6), full, map[string]Demand{"m00": {OfferedLoad: 0.1}}, true, ""},
		{"a model without a copy", spec(7), full, nil, true, "h0 -[m00] +m06 far=true reach"},
		{"no load from the weight store now", spec(7), full, nil, false, ""},
		{"a busy model pushes a surplus copy out", spec(6), full, map[string]Demand{"m04": {OfferedLoad: 1.5}}, true, "h0 -[m00] +m04 far=true relieve"},
		{"the host's own copy goes first", spec(6), near, map[string]Demand{"m04": {OfferedLoad: 1.5}}, true, "h1 -[m00] +m04 far=false relieve"},
		{"a last copy stays", spec(3), hosts(1, "m00", "m01", "m02"), map[string]Demand{"m00": {OfferedLoad: 9}}, true, ""},
		{"a busy model's copy doesn't make way for a model that few ask for", spec(6), busy, map[string]Demand{"m00": {OfferedLoad: 2}, "m05": {OfferedLoad: 0.02}}, true, ""},
		{"but for one that many wait for", spec(6), busy, map[string]Demand{"m00": {OfferedLoad: 2}, "m05": {Waiting: 6}}, true, "h0 -[m00] +m05 far=true reach"},
		{"a copy on its way doesn't free the one that serves", spec(6), coming, map[string]Demand{"m04": {OfferedLoad: 1.5}}, true, "h0 -[m01] +m04 far=true relieve"},
		{"one that requests wait for goes first", spec(8), full, map[string]Demand{"m07": {Waiting: 2}, "m04": {OfferedLoad: 0.7}}, true, "h0 -[m00] +m07 far=true reach"},
		{"a busy one before one that nobody asks for", spec(7), full, map[string]Demand{"m04": {OfferedLoad: 3}}, true, "h0 -[m00] +m04 far=true relieve"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := ""
			if m, ok := NextMove(tc.spec, tc.hosts, tc.demand, tc.far); ok {
				got = fmt.Sprintf("%s -%v +%s far=%v %s", m.Endpoint, m.Unload, m.Load, m.FromStore, m.Reason)
			}
			if got != tc.want {
				t.Errorf("got %q, want %q", got, tc.want)
			}
		})
	}
}

// TestWithPlaces plays requests with next to no prompt that fill the only copy of their
// model while another endpoint is empty: the model gets a second copy.
func TestWithPlaces(t *testing.T) {
	list := []Endpoint{{ID: "h0", Usable: true, Models: []string{"m00"}}, {ID: "h1", Usable: true}}
	for running, want := range map[int]bool{1: false, 4: true} {
		demand := WithSlotOccupancy(map[string]Demand{"m00": {OfferedLoad: 0.01, Running: running}}, 4)
		if m, ok := NextMove(spec(1), list, demand, true); ok != want || ok && m.Endpoint != "h1" {
			t.Errorf("%d of 4 places taken: moves %v %+v", running, ok, m)
		}
	}
}

// TestFollowsDemand plays a shift: four models are busy, the others are asked for rarely.
// Every model keeps a copy, and no copy of a busy one carries more than twice the mean.
func TestFollowsDemand(t *testing.T) {
	s, list := spec(30), hosts(18)
	for i := range 30 {
		h := &list[i%18]
		h.Models = append(h.Models, fmt.Sprintf("m%02d", i))
	}
	for shift := range 5 {
		demand := map[string]Demand{}
		total := 0.0
		for i, w := range []float64{4, 2.2, 1.8, 1.6} {
			demand[fmt.Sprintf("m%02d", (shift*2+i)%10)] = Demand{OfferedLoad: w}
			total += w
		}
		moves := 0
		for {
			m, ok := NextMove(s, list, demand, true)
			if !ok {
				break
			}
			if moves++; moves > 60 {
				t.Fatalf("shift %d: the planner doesn't come to rest", shift)
			}
			for i := range list {
				if list[i].ID == m.Endpoint {
					list[i].Models = slices.DeleteFunc(list[i].Models, func(x string) bool { return slices.Contains(m.Unload, x) })
					list[i].Models = append(list[i].Models, m.Load)
					list[i].LocalWeights = append(list[i].LocalWeights, m.Load)
				}
			}
		}
		count := map[string]int{}
		for _, h := range list {
			if len(h.Models) > 3 {
				t.Fatalf("shift %d: host %s holds %v", shift, h.ID, h.Models)
			}
			for _, m := range h.Models {
				count[m]++
			}
		}
		for i := range 30 {
			if n := fmt.Sprintf("m%02d", i); count[n] == 0 {
				t.Errorf("shift %d: model %s has no copy", shift, n)
			}
		}
		for n, d := range demand {
			if load := d.OfferedLoad / float64(count[n]); load > 2*total/18 {
				t.Errorf("shift %d: a copy of %s carries %.2f, the mean is %.2f", shift, n, load, total/18)
			}
		}
	}
}
