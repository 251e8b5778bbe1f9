package replica

import (
	"fmt"
	"slices"
	"testing"

	"chervilhead/internal/state/fleet"
)

func engineSpec(models int) *fleet.EngineSpec {
	e := &fleet.EngineSpec{WeightsMB: 230, Models: map[string]fleet.Model{}}
	for i := range models {
		n := fmt.Sprintf("m%02d", i)
		e.Models[n] = fleet.Model{Name: n, WeightsMB: 70}
	}
	return e
}

func endpoints(n int, models ...string) []Endpoint {
	var out []Endpoint
	for i := range n {
		out = append(out, Endpoint{ID: fmt.Sprintf("h%02d", i), Usable: true, Models: slices.Clone(models)})
	}
	return out
}

func TestNextMove(t *testing.T) {
	full := []Endpoint{
		{ID: "h0", Usable: true, Models: []string{"m00", "m01", "m02"}},
		{ID: "h1", Usable: true, Models: []string{"m00", "m01", "m03"}},
		{ID: "h2", Usable: true, Models: []string{"m01", "m04", "m05"}},
	}
	localWeights := slices.Clone(full)
	localWeights[1].LocalWeights = []string{"m04"}
	loading := slices.Clone(full)
	loading[0].LoadingModels = []string{"m00"}
	busy := []Endpoint{
		{ID: "h0", Usable: true, Models: []string{"m00", "m01", "m02"}},
		{ID: "h1", Usable: true, Models: []string{"m00", "m03", "m04"}},
	}
	for _, tc := range []struct {
		name             string
		spec             *fleet.EngineSpec
		endpoints        []Endpoint
		demand           map[string]Demand
		storeLoadAllowed bool
		want             string
	}{
		{"no move is needed", engineSpec(6), full, map[string]Demand{"m00": {OfferedLoad: 0.1}}, true, ""},
		{"a model without a replica is loaded", engineSpec(7), full, map[string]Demand{"m05": {OfferedLoad: 0.01}}, true, "h0 -[m00] +m06 store=true reach"},
		{"nothing is unloaded while no model has demand", engineSpec(7), full, nil, true, ""},
		{"a replica in use is not unloaded for a model that nobody asks for", engineSpec(6), busy, map[string]Demand{"m00": {OfferedLoad: 0.5}}, true, ""},
		{"no load from the weight store is allowed", engineSpec(7), full, nil, false, ""},
		{"a surplus replica is unloaded for a busy model", engineSpec(6), full, map[string]Demand{"m04": {OfferedLoad: 1.5}}, true, "h0 -[m00] +m04 store=true relieve"},
		{"a replica without requests is unloaded rather than one whose requests the load would wait for", engineSpec(6), full, map[string]Demand{"m04": {OfferedLoad: 1.5}, "m00": {OfferedLoad: 0.005, Running: 8}, "m01": {OfferedLoad: 0.012}}, true, "h0 -[m01] +m04 store=true relieve"},
		{"a host with the weights is preferred", engineSpec(6), localWeights, map[string]Demand{"m04": {OfferedLoad: 1.5}}, true, "h1 -[m00] +m04 store=false relieve"},
		{"the last replica of a model stays", engineSpec(3), endpoints(1, "m00", "m01", "m02"), map[string]Demand{"m00": {OfferedLoad: 9}}, true, ""},
		{"a busy model's replica is not unloaded for a model with little demand", engineSpec(6), busy, map[string]Demand{"m00": {OfferedLoad: 2}, "m05": {OfferedLoad: 0.02}}, true, ""},
		{"a busy model's replica is unloaded for a model that many requests wait for", engineSpec(6), busy, map[string]Demand{"m00": {OfferedLoad: 2}, "m05": {Waiting: 6}}, true, "h0 -[m00] +m05 store=true reach"},
		{"a loading replica does not replace the one that serves", engineSpec(6), loading, map[string]Demand{"m04": {OfferedLoad: 1.5}}, true, "h0 -[m01] +m04 store=true relieve"},
		{"a model that requests wait for goes first", engineSpec(8), full, map[string]Demand{"m07": {Waiting: 2}, "m04": {OfferedLoad: 0.7}}, true, "h0 -[m00] +m07 store=true reach"},
		{"a busy model goes before an absent one without demand", engineSpec(7), full, map[string]Demand{"m04": {OfferedLoad: 3}}, true, "h0 -[m00] +m04 store=true relieve"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := ""
			if m, ok := NextMove(tc.spec, tc.endpoints, tc.demand, tc.storeLoadAllowed); ok {
				got = fmt.Sprintf("%s -%v +%s store=%v %s", m.Endpoint, m.Unload, m.Load, m.FromStore, m.Reason)
			}
			if got != tc.want {
				t.Errorf("got %q, want %q", got, tc.want)
			}
		})
	}
}

// TestWithSlotOccupancy guards against a model without a second replica although another
// endpoint is empty and requests with hardly any prompt fill the slots of the first one.
func TestWithSlotOccupancy(t *testing.T) {
	list := []Endpoint{{ID: "h0", Usable: true, Models: []string{"m00"}}, {ID: "h1", Usable: true}}
	for running, want := range map[int]bool{1: false, 4: true} {
		demand := WithSlotOccupancy(map[string]Demand{"m00": {OfferedLoad: 0.01, Running: running}}, 4)
		if m, ok := NextMove(engineSpec(1), list, demand, true); ok != want || ok && m.Endpoint != "h1" {
			t.Errorf("%d of 4 slots occupied: got move %v %+v", running, ok, m)
		}
	}
}

// TestFollowsDemand guards against a shift of demand between models after which a model has
// no replica, or a replica of a busy model carries more than twice the mean load. Four
// models are busy at a time, the others have no demand.
func TestFollowsDemand(t *testing.T) {
	spec, list := engineSpec(30), endpoints(18)
	for i := range 30 {
		e := &list[i%18]
		e.Models = append(e.Models, fmt.Sprintf("m%02d", i))
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
			m, ok := NextMove(spec, list, demand, true)
			if !ok {
				break
			}
			if moves++; moves > 60 {
				t.Fatalf("shift %d: the moves do not end", shift)
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
		for _, e := range list {
			if len(e.Models) > 3 {
				t.Fatalf("shift %d: endpoint %s holds %v, want at most 3 models", shift, e.ID, e.Models)
			}
			for _, m := range e.Models {
				count[m]++
			}
		}
		for i := range 30 {
			if n := fmt.Sprintf("m%02d", i); count[n] == 0 {
				t.Errorf("shift %d: model %s has no replica", shift, n)
			}
		}
		for n, d := range demand {
			if load := d.OfferedLoad / float64(count[n]); load > 2*total/18 {
				t.Errorf("shift %d: a replica of %s carries a load of %.2f, the mean is %.2f", shift, n, load, total/18)
			}
		}
	}
}
