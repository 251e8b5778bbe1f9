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

func holding(sequence int64, models ...string) Report {
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

func names(list ...string) []fleet.ModelName {
	var out []fleet.ModelName
	for _, s := range list {
		out = append(out, fleet.ParseModelName(s))
	}
	return out
}

func TestNext(t *testing.T) {
	now := time.Unix(1000, 0)
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	load := func(s string) step { return order{name: fleet.ParseModelName(s)} }
	unload := func(s string) step { return order{name: fleet.ParseModelName(s), unload: true} }
	for _, tc := range []struct {
		name string
		s    situation
		want step
	}{
		{"nothing to do", situation{report: holding(1, "a")}, idle{}},
		{"an adapter that a request waits for", situation{report: holding(1, "a"), wants: names("a/x")}, load("a/x")},
		{"an adapter that is there", situation{report: holding(1, "a", "a/x"), wants: names("a/x")}, idle{}},
		{"an adapter of a model that isn't there", situation{report: holding(1, "a"), wants: names("b/x")}, unfit{names("b/x")[0], "model_not_resident"}},
		{
			"the adapter used least recently makes way",
			situation{
				report: holding(1, "a", "a/x", "a/y"), wants: names("a/z"),
				used: map[fleet.ModelName]time.Time{names("a/x")[0]: ago(5 * time.Second), names("a/y")[0]: ago(9 * time.Second)},
			},
			unload("a/y"),
		},
		{
			"adapters in use don't make way",
			situation{
				report: holding(1, "a", "a/x", "a/y"), wants: names("a/z"),
				used: map[fleet.ModelName]time.Time{names("a/x")[0]: ago(time.Second), names("a/y")[0]: ago(time.Second)},
			},
			unfit{names("a/z")[0], "adapters_in_use"},
		},
		{
			"an accepted unload of an adapter isn't ordered again",
			situation{
				report: holding(1, "a", "a/x", "a/y"), wants: names("a/z"),
				used:  map[fleet.ModelName]time.Time{names("a/x")[0]: ago(time.Second)},
				taken: []taken{{name: names("a/y")[0], unload: true, at: ago(time.Second)}},
			},
			unfit{names("a/z")[0], "adapters_in_use"},
		},
		{"a planner's order drops first", situation{report: holding(1, "a", "b", "c"), move: &dgram.Move{Unload: []string{"b"}, Load: "d"}}, unload("b")},
		{"and then loads", situation{report: holding(2, "a", "c"), move: &dgram.Move{Unload: []string{"b"}, Load: "d"}}, load("d")},
		{"it ends when the model is there", situation{report: holding(3, "a", "c", "d"), move: &dgram.Move{Unload: []string{"b"}, Load: "d"}}, moved{"resident"}},
		{"it never loads beyond the memory", situation{report: holding(1, "a", "b", "c"), move: &dgram.Move{Load: "d"}}, moved{"no_room"}},
		{
			"an unload that waits for its runs isn't ordered again",
			situation{
				report: holding(1, "a", "b", "c"), move: &dgram.Move{Unload: []string{"b"}, Load: "d"},
				taken: []taken{{name: names("b")[0], unload: true, at: ago(time.Second)}},
			},
			idle{},
		},
		{
			"a load without an answer from before a restart may still come",
			situation{
				report: holding(1, "a", "b"), move: &dgram.Move{Load: "d"},
				doubts: []doubt{{name: names("c")[0], sequence: 4, at: ago(3 * time.Second)}},
			},
			moved{"no_room"},
		},
		{
			"but not if it named the id that the engine had then",
			situation{
				report: holding(1, "a", "b"), move: &dgram.Move{Load: "d"}, endpoint: "new",
				doubts: []doubt{{name: names("c")[0], sequence: 4, at: ago(3 * time.Second), endpoint: "old"}},
			},
			load("d"),
		},
		{
			"one that the engine can't accept any more takes no room",
			situation{
				report: holding(5, "a", "b"), move: &dgram.Move{Load: "d"},
				doubts: []doubt{{name: names("c")[0], sequence: 4, at: ago(3 * time.Second)}},
			},
			load("d"),
		},
		{
			"no adapter is ordered while the engine carries out a model's load",
			situation{report: func() Report { r := holding(1, "a"); r.ExecutingOrder = true; return r }(), wants: names("a/x")},
			unfit{names("a/x")[0], "engine_busy"},
		},
		{
			"nor before its report says so",
			situation{report: holding(1, "a"), wants: names("a/x"), taken: []taken{{name: names("b")[0], at: ago(50 * time.Millisecond)}}},
			unfit{names("a/x")[0], "engine_busy"},
		},
		{
			"an unload that waits for its runs stops no adapter",
			situation{report: holding(1, "a", "b"), wants: names("a/x"), taken: []taken{{name: names("b")[0], unload: true, at: ago(time.Second)}}},
			load("a/x"),
		},
		{"a busy engine gets no order", situation{report: func() Report { r := holding(1, "a"); r.ExecutingOrder = true; return r }(), move: &dgram.Move{Load: "d"}}, idle{}},
		{"a leaving engine gets no order", situation{report: func() Report { r := holding(1, "a"); r.Leaving = true; return r }(), wants: names("a/x")}, idle{}},
		{
			"an engine that started anew waits for the planner",
			situation{report: func() Report { r := holding(0); r.OnDisk = []string{"a"}; return r }(), restore: []string{"a"}, born: ago(plannerFirst / 2)},
			idle{},
		},
		{
			"and restores what its host keeps",
			situation{report: func() Report { r := holding(0); r.OnDisk = []string{"a"}; return r }(), restore: []string{"c", "a"}, born: ago(plannerFirst)},
			load("a"),
		},
		{
			"but not beside a planner that has given it orders",
			situation{report: func() Report { r := holding(1, "b"); r.OnDisk = []string{"a"}; return r }(), restore: []string{"a"}, born: ago(plannerFirst), planned: true},
			idle{},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tc.s.spec, tc.s.now = testSpec, now
			if got := next(tc.s); fmt.Sprint(got) != fmt.Sprint(tc.want) {
				t.Errorf("next step %T%+v, want %T%+v", got, got, tc.want, tc.want)
			}
		})
	}
}

// lateEngine accepts an order only at its sequence and leaves some unanswered, which it
// carries out later.
type lateEngine struct {
	id     string
	report Report
	late   []Order
}

func (e *lateEngine) do(o Order) bool {
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

func (e *lateEngine) restart(id string) { e.id, e.report = id, holding(0) }

// TestLateOrdersNeverOverfill plays orders without answers that are carried out in any
// order later, also after a restart under the same id or a new one.
func TestLateOrdersNeverOverfill(t *testing.T) {
	for seed := range 2000 {
		rnd := uint64(seed)*0x9e3779b97f4a7c15 + 1
		draw := func(n uint64) uint64 {
			rnd ^= rnd << 13
			rnd ^= rnd >> 7
			rnd ^= rnd << 17
			return rnd % n
		}
		e := &lateEngine{id: "0", report: holding(0, "a", "b")}
		s := situation{spec: testSpec, now: time.Unix(1000, 0)}
		for step := range 60 {
			s.now = s.now.Add(200 * time.Millisecond)
			switch draw(6) {
			case 0:
				e.restart([]string{e.id, strconv.Itoa(step)}[draw(2)])
				s.taken = nil
			case 1:
				if len(e.late) > 0 {
					e.do(e.late[0])
					e.late = e.late[1:]
				}
			}
			s.report, s.endpoint = e.report, e.id
			if s.move == nil {
				s.move = &dgram.Move{Load: string("abcd"[draw(4)])}
				if draw(2) == 0 {
					s.move.Unload = []string{string("abcd"[draw(4)])}
				}
			}
			switch st := next(s).(type) {
			case order:
				o := Order{Unload: st.unload, Name: st.name, ExpectedSequence: e.report.Sequence, ExpectedEndpoint: e.id}
				if draw(3) == 0 {
					e.late = append(e.late, o)
					if !o.Unload {
						s.doubts = append(s.doubts, doubt{name: o.Name, sequence: o.ExpectedSequence, at: s.now, endpoint: o.ExpectedEndpoint})
					}
				} else {
					e.do(o)
				}
			case moved:
				s.move = nil
			}
			mb := 0.0
			for _, m := range e.report.Models {
				mb += testSpec.Models[m.Model].WeightsMB
			}
			if mb > testSpec.WeightsMB {
				t.Fatalf("seed %d: the engine was ordered to hold %.0f MB of %.0f", seed, mb, testSpec.WeightsMB)
			}
		}
	}
}
