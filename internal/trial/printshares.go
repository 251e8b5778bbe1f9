package trial

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"chervilhead/internal/state/fairq"
)

// shareCases are the scenarios of the fair share table.
var shareCases = []struct{ name, text string }{
	{"two equal groups, both at all of 8 endpoints", "a 1 0-7 4\nb 1 0-7 4\n"},
	{"one at 2 of 8, one at all", "few 1 0-1 2\nall 1 0-7 6\n"},
	{"three equal groups that overlap in part", "left 1 0-3 2.667\nall 1 0-7 2.667\nright 1 4-7 2.667\n"},
	{"weights 3, 1, 2", "left 3 0-5 4\nall 1 0-7 1.333\nright 2 4-7 2.667\n"},
	{"a weight edited from 1 to 3", "left 1 0-3 4 3\nall 1 0-7 2 1\nright 1 4-7 2 1\n"},
}

// floodCases are the loads of the flood table.
var floodCases = []struct {
	name string
	load Flood
}{
	{"victim 20%", Flood{VictimLoad: 0.2, FloodLoad: 2}},
	{"victim 40%", Flood{VictimLoad: 0.4, FloodLoad: 4}},
	{"victim 10%", Flood{VictimLoad: 0.1, FloodLoad: 1}},
	{"victim 10%, bursty", Flood{VictimLoad: 0.1, FloodLoad: 1, VictimBursty: true}},
	{"victim 20%, flood in waves", Flood{VictimLoad: 0.2, FloodLoad: 2, FloodBursty: true}},
	{"victim 40%, engine not slowed", Flood{VictimLoad: 0.4, FloodLoad: 4, NoSlowdown: true}},
}

// PrintFairness writes the results on fair shares, floods and limits as Markdown tables.
func PrintFairness(w io.Writer) error {
	var b bytes.Buffer
	b.WriteString("| groups | policy | largest shortfall | Jain's index | work per tick |\n| --- | --- | --- | --- | --- |\n")
	for _, c := range shareCases {
		s, err := ParseShareScenario(c.text)
		if err != nil {
			return err
		}
		for _, p := range SharePolicies() {
			res := s.Run(p)
			var got []string
			for _, g := range slices.Sorted(maps.Keys(res.WorkPerTick)) {
				got = append(got, fmt.Sprintf("%s %.2f", g, res.WorkPerTick[g]))
			}
			fmt.Fprintf(&b, "| %s | %s | %.1f%% | %.3f | %s |\n", c.name, p.Name, 100*res.LargestShortfall, res.JainIndex, strings.Join(got, ", "))
		}
	}
	printFloods(&b)
	printLimits(&b)
	_, err := b.WriteTo(w)
	return err
}

// printFloods writes the slowdown and the slot utilization of each policy and load.
func printFloods(b *bytes.Buffer) {
	policies := FloodPolicies()[:3]
	for _, kept := range []int{0, 1, 2, 3} {
		for _, extra := range []int{0, 2, 4, 6} {
			rule := fairq.DefaultPolicy
			rule.KeptSlots, rule.ExtraSlots = kept, extra
			policies = append(policies, FloodPolicy{Name: fmt.Sprintf("kept %d, extra %d", kept, extra), QueuePolicy: rule})
		}
	}
	b.WriteString("\n| policy |")
	for _, c := range floodCases {
		b.WriteString(" " + c.name + " |")
	}
	b.WriteString("\n|" + strings.Repeat(" --- |", len(floodCases)+1) + "\n")
	for _, p := range policies {
		fmt.Fprintf(b, "| %s |", p.Name)
		for _, c := range floodCases {
			r := RunFlood(c.load, p)
			fmt.Fprintf(b, " %.2f (%.3f) |", r.Slowdown, r.SlotUtilization)
		}
		b.WriteString("\n")
	}
}

// printLimits writes the utilization of a limit under each policy in each phase.
func printLimits(b *bytes.Buffer) {
	b.WriteString("\n| limit | policy |")
	for _, p := range LimitPhases() {
		b.WriteString(" " + p.Name + " |")
	}
	b.WriteString(" largest count |\n|" + strings.Repeat(" --- |", len(LimitPhases())+3) + "\n")
	for _, concurrent := range []bool{false, true} {
		name := "requests/s"
		if concurrent {
			name = "concurrent"
		}
		for _, p := range []LimitPolicy{LimitLeased, LimitFixedSplit, LimitLiveSplit} {
			fmt.Fprintf(b, "| %s | %s |", name, p)
			peak := 0.0
			for _, r := range RunLimit(p, concurrent) {
				fmt.Fprintf(b, " %.1f%% |", 100*r.Utilization)
				peak = max(peak, r.PeakUtilization)
			}
			fmt.Fprintf(b, " %.0f%% |\n", 100*peak)
		}
	}
}
