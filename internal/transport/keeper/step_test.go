package keeper

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"chervilhead/internal/protocol/dgram"
	"chervilhead/internal/state/fleet"
)

var testSpec = &fleet.EngineSpec{WeightsMB: 230, AdapterSlots: 2, Models: map[string]fleet.Model{
	"a": {Name: "a", WeightsMB: 70, AdapterMB: 1}, "b": {Name: "b", WeightsMB: 70, AdapterMB: 1},
	"c": {Name: "c", WeightsMB: 70, AdapterMB: 1}, "d": {Name: "d", WeightsMB: 70, AdapterMB: 1},
}}

func reportOf(sequence int64, models ...string) Report {
	r := Report{Status: fleet.Status{Alive: true, Sequence: sequence}}
	for _, m := range models {
		n := fleet.ParseModelName(m)
		if n.Adapter == "" {
			r.Models = append(r.Models, fleet.Resident{Model: m})
			continue
		}
		for i := range r.Models {
			if r.Models[i].Model == n.Model {
				r.Models[i].Adapters = append(r.Models[i].Adapters, n.Adapter)
			}
		}
	}
	return r
}

func modelNames(list ...string) []fleet.ModelName {
	var out []fleet.ModelName
	for _, s := range list {
		out = append(out, fleet.ParseModelName(s))
	}
	return out
}

func TestNextStep(t *testing.T) {
	now := time.Unix(1000, 0)
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	load := func(s string) step { return order{name: fleet.ParseModelName(s)} }
	unload := func(s string) step { return order{name: fleet.ParseModelName(s), unload: true} }
	for _, tc := range []struct {
		name string
		s    snapshot
		want step
	}{
		{"nothing to do", snapshot{report: reportOf(1, "a")}, idle{}},
		{"an adapter that a request waits for", snapshot{report: reportOf(1, "a"), wantedAdapters: modelNames("a/x")}, load("a/x")},
		{"an adapter that is resident", snapshot{report: reportOf(1, "a", "a/x"), wantedAdapters: modelNames("a/x")}, idle{}},
		{"an adapter of a model that isn't resident", snapshot{report: reportOf(1, "a"), wantedAdapters: modelNames("b/x")}, adapterRefused{modelNames("b/x")[0], "model_not_resident"}},
		{
			"the least recently used adapter is unloaded",
			snapshot{
				report: reportOf(1, "a", "a/x", "a/y"), wantedAdapters: modelNames("a/z"),
				lastUsed: map[fleet.ModelName]time.Time{modelNames("a/x")[0]: ago(5 * time.Second), modelNames("a/y")[0]: ago(9 * time.Second)},
			},
			unload("a/y"),
		},
		{
			"adapters in use are not unloaded",
			snapshot{
				report: reportOf(1, "a", "a/x", "a/y"), wantedAdapters: modelNames("a/z"),
				lastUsed: map[fleet.ModelName]time.Time{modelNames("a/x")[0]: ago(time.Second), modelNames("a/y")[0]: ago(time.Second)},
			},
			adapterRefused{modelNames("a/z")[0], "adapters_in_use"},
		},
		{
			"an accepted unload of an adapter isn't ordered again",
			snapshot{
				report: reportOf(1, "a", "a/x", "a/y"), wantedAdapters: modelNames("a/z"),
				lastUsed:       map[fleet.ModelName]time.Time{modelNames("a/x")[0]: ago(time.Second)},
				acceptedOrders: []acceptedOrder{{name: modelNames("a/y")[0], unload: true, acceptedAt: ago(time.Second)}},
			},
			adapterRefused{modelNames("a/z")[0], "adapters_in_use"},
		},
		{"a move unloads first", snapshot{report: reportOf(1, "a", "b", "c"), move: &dgram.Move{Unload: []string{"b"}, Load: "d"}}, unload("b")},
		{"a move loads after its unloads", snapshot{report: reportOf(2, "a", "c"), move: &dgram.Move{Unload: []string{"b"}, Load: "d"}}, load("d")},
		{"a move ends when its model is resident", snapshot{report: reportOf(3, "a", "c", "d"), move: &dgram.Move{Unload: []string{"b"}, Load: "d"}}, moveEnded{"resident"}},
		{"a move never loads beyond the memory", snapshot{report: reportOf(1, "a", "b", "c"), move: &dgram.Move{Load: "d"}}, moveEnded{"no_room"}},
		{
			"an unload that waits for running requests isn't ordered again",
			snapshot{
				report: reportOf(1, "a", "b", "c"), move: &dgram.Move{Unload: []string{"b"}, Load: "d"},
				acceptedOrders: []acceptedOrder{{name: modelNames("b")[0], unload: true, acceptedAt: ago(time.Second)}},
			},
			idle{},
		},
		{
			"an unanswered load from before a restart takes memory",
			snapshot{
				report: reportOf(1, "a", "b"), move: &dgram.Move{Load: "d"},
				unanswered: []unansweredOrder{{name: modelNames("c")[0], sequence: 4, sentAt: ago(3 * time.Second)}},
			},
			moveEnded{"no_room"},
		},
		{
			"an unanswered load for the engine's former id takes no memory",
			snapshot{
				report: reportOf(1, "a", "b"), move: &dgram.Move{Load: "d"}, endpoint: "new",
				unanswered: []unansweredOrder{{name: modelNames("c")[0], sequence: 4, sentAt: ago(3 * time.Second), endpoint: "old"}},
			},
			load("d"),
		},
		{
			"an unanswered load whose sequence has passed takes no memory",
			snapshot{
				report: reportOf(5, "a", "b"), move: &dgram.Move{Load: "d"},
				unanswered: []unansweredOrder{{name: modelNames("c")[0], sequence: 4, sentAt: ago(3 * time.Second)}},
			},
			load("d"),
		},
		{
			"no adapter is ordered while the engine loads a model",
			snapshot{report: func() Report { r := reportOf(1, "a"); r.ExecutingOrder = true; return r }(), wantedAdapters: modelNames("a/x")},
			adapterRefused{modelNames("a/x")[0], "engine_busy"},
		},
		{
			"no adapter is ordered between acceptance of a model's load and the report of it",
			snapshot{report: reportOf(1, "a"), wantedAdapters: modelNames("a/x"), acceptedOrders: []acceptedOrder{{name: modelNames("b")[0], acceptedAt: ago(50 * time.Millisecond)}}},
			adapterRefused{modelNames("a/x")[0], "engine_busy"},
		},
		{
			"an unload that waits for running requests delays no adapter",
			snapshot{report: reportOf(1, "a", "b"), wantedAdapters: modelNames("a/x"), acceptedOrders: []acceptedOrder{{name: modelNames("b")[0], unload: true, acceptedAt: ago(time.Second)}}},
			load("a/x"),
		},
		{"a busy engine gets no order", snapshot{report: func() Report { r := reportOf(1, "a"); r.ExecutingOrder = true; return r }(), move: &dgram.Move{Load: "d"}}, idle{}},
		{"a leaving engine gets no order", snapshot{report: func() Report { r := reportOf(1, "a"); r.Leaving = true; return r }(), wantedAdapters: modelNames("a/x")}, idle{}},
		{
			"an engine that restarted waits for the planner",
			snapshot{report: func() Report { r := reportOf(0); r.OnDisk = []string{"a"}; return r }(), restoreModels: []string{"a"}, engineStartedAt: ago(plannerGracePeriod / 2)},
			idle{},
		},
		{
			"an engine that restarted loads the models whose weights its host has",
			snapshot{report: func() Report { r := reportOf(0); r.OnDisk = []string{"a"}; return r }(), restoreModels: []string{"c", "a"}, engineStartedAt: ago(plannerGracePeriod)},
			load("a"),
		},
		{
			"nothing is restored once a planner has sent a move",
			snapshot{report: func() Report { r := reportOf(1, "b"); r.OnDisk = []string{"a"}; return r }(), restoreModels: []string{"a"}, engineStartedAt: ago(plannerGracePeriod), movedSinceStart: true},
			idle{},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tc.s.spec, tc.s.now = testSpec, now
			if got := nextStep(tc.s); fmt.Sprint(got) != fmt.Sprint(tc.want) {
				t.Errorf("next step %T%+v, want %T%+v", got, got, tc.want, tc.want)
			}
		})
	}
}

// delayedEngine accepts an order only at its expected sequence and endpoint id; the orders
// in delayed are unanswered and tried later.
type delayedEngine struct {
	id      string
	report  Report
	delayed []Order
}

func (e *delayedEngine) apply(o Order) bool {
	if o.ExpectedSequence != e.report.Sequence || o.ExpectedEndpoint != e.id {
		return false
	}
	e.report.Sequence++
	if o.Unload {
		e.report.Models = removeModel(e.report.Models, o.Name.Model)
	} else {
		e.report.Models = append(e.report.Models, fleet.Resident{Model: o.Name.Model})
	}
	return true
}

func removeModel(list []fleet.Resident, m string) []fleet.Resident {
	var out []fleet.Resident
	for _, r := range list {
		if r.Model != m {
			out = append(out, r)
		}
	}
	return out
}

func (e *delayedEngine) restart(id string) { e.id, e.report = id, reportOf(0) }

// TestDelayedOrdersStayWithinMemory guards against unanswered orders that, carried out after
// later ones or after a restart under the same or a new id, overfill the engine's memory.
func TestDelayedOrdersStayWithinMemory(t *testing.T) {
	for seed := range 2000 {
		rnd := uint64(seed)*0x9e3779b97f4a7c15 + 1
		draw := func(n uint64) uint64 {
			rnd ^= rnd << 13
			rnd ^= rnd >> 7
			rnd ^= rnd << 17
			return rnd % n
		}
		e := &delayedEngine{id: "0", report: reportOf(0, "a", "b")}
		s := snapshot{spec: testSpec, now: time.Unix(1000, 0)}
		for step := range 60 {
			s.now = s.now.Add(200 * time.Millisecond)
			switch draw(6) {
			case 0:
				e.restart([]string{e.id, strconv.Itoa(step)}[draw(2)])
				s.acceptedOrders = nil
			case 1:
				if len(e.delayed) > 0 {
					e.apply(e.delayed[0])
					e.delayed = e.delayed[1:]
				}
			}
			s.report, s.endpoint = e.report, e.id
			if s.move == nil {
				s.move = &dgram.Move{Load: string("abcd"[draw(4)])}
				if draw(2) == 0 {
					s.move.Unload = []string{string("abcd"[draw(4)])}
				}
			}
			switch st := nextStep(s).(type) {
			case order:
				o := Order{Unload: st.unload, Name: st.name, ExpectedSequence: e.report.Sequence, ExpectedEndpoint: e.id}
				if draw(3) == 0 {
					e.delayed = append(e.delayed, o)
					if !o.Unload {
						s.unanswered = append(s.unanswered, unansweredOrder{name: o.Name, sequence: o.ExpectedSequence, sentAt: s.now, endpoint: o.ExpectedEndpoint})
					}
				} else {
					e.apply(o)
				}
			case moveEnded:
				s.move = nil
			}
			mb := 0.0
			for _, m := range e.report.Models {
				mb += testSpec.Models[m.Model].WeightsMB
			}
			if mb > testSpec.WeightsMB {
				t.Fatalf("seed %d: orders filled the engine's memory with %.0f MB of %.0f", seed, mb, testSpec.WeightsMB)
			}
		}
	}
}
