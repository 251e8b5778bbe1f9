package proof

import (
	"time"

	"pgregory.net/rapid"
)

// step is one randomly drawn action; A, B and C select its target and its parameters.
type step struct {
	Action string
	// AlsoFault is the action of a fault that begins at the same instant, or empty.
	AlsoFault string
	A, B, C   int
	// Wait is the pause before the next step.
	Wait time.Duration
}

// action is a possible action of a step; weight is its relative frequency.
type action struct {
	weight int
	apply  func(f *fleet, i int, s step)
}

// caseKind determines the actions of a case and thus the rules that apply to it.
type caseKind string

const (
	// calm cases have only requests and planned changes, no faults.
	calm caseKind = "calm"
	// poisoned cases have requests that crash engines, and no other faults.
	poisoned caseKind = "poisoned"
	// faulty cases have all actions.
	faulty caseKind = "faulty"
)

// actions returns the names of the actions of a kind, each repeated by its weight.
func (k caseKind) actions() []string {
	lists := [][]string{requestNames}
	switch k {
	case calm:
		lists = append(lists, plannedNames)
	case poisoned:
		lists = append(lists, poisonNames)
	case faulty:
		lists = append(lists, requestNames, plannedNames, poisonNames, faultNames)
	}
	var out []string
	for _, names := range lists {
		for _, name := range names {
			for range actions[name].weight {
				out = append(out, name)
			}
		}
	}
	return out
}

// testCase is a kind and the steps drawn for it.
type testCase struct {
	Kind  caseKind
	Steps []step
}

func drawCase(rt *rapid.T) testCase {
	tc := testCase{Kind: rapid.SampledFrom([]caseKind{calm, poisoned, faulty, faulty}).Draw(rt, "kind")}
	names, also := tc.Kind.actions(), []string{""}
	if tc.Kind == faulty {
		also = append(also, faultNames...)
	}
	number := rapid.IntRange(0, 99)
	one := rapid.Custom(func(rt *rapid.T) step {
		s := step{
			Action: rapid.SampledFrom(names).Draw(rt, "do"),
			A:      number.Draw(rt, "a"), B: number.Draw(rt, "b"), C: number.Draw(rt, "c"),
			Wait: time.Duration(rapid.SampledFrom([]int{0, 1, 20, 150, 400, 1500}).Draw(rt, "wait")) * time.Millisecond,
		}
		if _, isFault := faults[s.Action]; isFault {
			s.AlsoFault = rapid.SampledFrom(also).Draw(rt, "also")
		}
		return s
	})
	tc.Steps = rapid.SliceOfN(one, 5, 40).Draw(rt, "steps")
	return tc
}

// apply executes a step; each action gets a distinct number.
func (f *fleet) apply(i int, s step) {
	if s.AlsoFault != "" {
		also := s
		also.Action = s.AlsoFault
		actions[s.AlsoFault].apply(f, 2*i+1, also)
	}
	actions[s.Action].apply(f, 2*i, s)
}

var (
	requests = map[string]action{
		"send": {2, (*fleet).send}, "chat": {1, (*fleet).send}, "adapter": {1, (*fleet).send}, "once": {2, (*fleet).send},
		"keyed": {1, (*fleet).send}, "service": {1, (*fleet).send}, "away": {1, (*fleet).send}, "capped": {2, (*fleet).burst},
	}
	planned = map[string]action{
		"edit": {1, (*fleet).conflictingEdits}, "version": {1, (*fleet).changeVersion}, "leave_agent": {2, (*fleet).leaveAgent}, "leave_entry": {1, (*fleet).leaveEntry},
	}
	poisons = map[string]action{"poison": {1, (*fleet).poison}}
	faults  = map[string]action{
		"resend": {3, (*fleet).resend}, "restart": {1, (*fleet).restartAgent}, "kill_entry": {1, (*fleet).killEntry},
		"crash": {1, (*fleet).crash}, "pause": {1, (*fleet).pause}, "late_start": {3, (*fleet).lateStart}, "stale_copy": {2, (*fleet).staleBackup}, "late_leave": {2, (*fleet).lateLeave},
		"outage": {1, (*fleet).outage}, "outage_objects": {1, (*fleet).outage}, "outage_hosts": {1, (*fleet).outage},
		"slow": {1, (*fleet).outage}, "slow_objects": {1, (*fleet).outage}, "lose_reply": {1, (*fleet).loseReply},
		"cut": {1, (*fleet).cut}, "break": {1, (*fleet).cut}, "cut_engine": {1, (*fleet).cut},
		"silent": {1, (*fleet).link}, "delay": {1, (*fleet).link}, "refuse": {1, (*fleet).link}, "repeat": {3, (*fleet).link},
		"orders": {1, (*fleet).faultOrders}, "breaks": {1, (*fleet).breakStreams}, "outage_weights": {1, (*fleet).outage},
	}
	requestNames, plannedNames, poisonNames, faultNames = names(requests), names(planned), names(poisons), names(faults)
	actions                                             = merge(requests, planned, poisons, faults)
)
