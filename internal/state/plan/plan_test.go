package plan

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"chervilhead/internal/state/memory"
	"chervilhead/internal/state/table"
)

// TestMain fixes rapid's seed unless the command line names one.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261203")
	_ = flag.Set("rapid.checks", "1000")
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}

// fleet simulates endpoints whose agents apply plans with a delay.
type fleet struct {
	table       table.Table
	endpoints   []Endpoint
	unreachable map[string]bool
	leaving     map[string]bool
	resident    map[string]map[string]bool
	lastRead    map[string]Plan
	plan        Plan
	// engineRestarted is set if an engine lost its replicas since the last plan, which
	// therefore doesn't reflect that.
	engineRestarted bool
	// demand is reported by the first reachable endpoint.
	demand map[string]float64
}

// report returns the endpoints' rows as the planner reads them.
func (f *fleet) report() []Endpoint {
	var out []Endpoint
	for _, e := range f.endpoints {
		if f.unreachable[e.ID] {
			continue
		}
		e.Leaving = f.leaving[e.ID]
		mine, _ := f.lastRead[e.ID].Endpoint(e.ID)
		e.ModelsVersion = mine.ModelsVersion
		for _, m := range mine.Models {
			if !f.resident[e.ID][m] {
				e.Missing = append(e.Missing, m)
			}
		}
		for m := range f.resident[e.ID] {
			if !slices.Contains(mine.Models, m) {
				e.Extra = append(e.Extra, m)
			}
		}
		slices.Sort(e.Extra)
		if len(out) == 0 {
			for _, m := range slices.Sorted(maps.Keys(f.demand)) {
				e.Demand = append(e.Demand, Demand{Model: m, Engines: f.demand[m]})
			}
		}
		out = append(out, e)
	}
	return out
}

func (f *fleet) freeBytes(e Endpoint) int64 {
	free := e.CapacityBytes
	for name := range f.resident[e.ID] {
		m, _ := f.table.Model(name)
		free -= m.MemoryBytes
	}
	return free
}

// applyPlan lets an agent read the plan, unload the models in Evict and load what fits; it
// returns the models that the unloads left without a resident replica.
func (f *fleet) applyPlan(e Endpoint) (lost []string) {
	f.lastRead[e.ID] = f.plan
	mine, ok := f.plan.Endpoint(e.ID)
	if !ok {
		return nil
	}
	for _, name := range mine.Evict {
		if f.resident[e.ID][name] {
			delete(f.resident[e.ID], name)
			if f.replicas(name) == 0 {
				lost = append(lost, name)
			}
		}
	}
	names := slices.Clone(mine.Models)
	slices.Reverse(names) // in name order adapters precede their base models
	for _, name := range names {
		m, _ := f.table.Model(name)
		if m.Base != "" && !f.resident[e.ID][m.Base] {
			continue
		}
		if !f.resident[e.ID][name] && f.freeBytes(e) >= m.MemoryBytes+memory.StagingBytes(m.MemoryBytes) {
			f.resident[e.ID][name] = true
		}
	}
	return lost
}

// replicas counts the resident replicas of a model, on unreachable endpoints too.
func (f *fleet) replicas(model string) int {
	n := 0
	for _, r := range f.resident {
		if r[model] {
			n++
		}
	}
	return n
}

func newFleet(rt *rapid.T) *fleet {
	f := &fleet{unreachable: map[string]bool{}, leaving: map[string]bool{}, resident: map[string]map[string]bool{}, lastRead: map[string]Plan{}, demand: map[string]float64{}}
	for i := range rapid.IntRange(2, 6).Draw(rt, "endpoints") {
		id := fmt.Sprintf("e%d", i)
		f.endpoints = append(f.endpoints, Endpoint{ID: id, FailureDomain: fmt.Sprintf("d%d", i%2), CapacityBytes: 100})
		f.resident[id] = map[string]bool{}
	}
	var models []table.Model
	for i := range rapid.IntRange(1, 10).Draw(rt, "models") {
		name := fmt.Sprintf("m%d", i)
		models = append(models, table.Model{Name: name, MemoryBytes: rapid.Int64Range(5, 40).Draw(rt, "bytes")})
		if i%3 == 0 {
			models = append(models, table.Model{Name: "a" + name, Base: name, MemoryBytes: 3})
		}
	}
	f.table = table.New(1, nil, models, nil, nil)
	return f
}

// TestEvictionKeepsReplica guards against an eviction that leaves a model without a resident
// replica when agents lag behind the plan and endpoints come and go, and against a plan that
// doesn't converge or reports a model as placed that has no replica.
func TestEvictionKeepsReplica(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFleet(rt)
		for range rapid.IntRange(5, 60).Draw(rt, "steps") {
			n := rapid.Uint32().Draw(rt, "n") * 0x9e3779b1 // rapid prefers small numbers; the product spreads them
			e := f.endpoints[int(n>>8&0xff)%len(f.endpoints)]
			kinds := []string{"plan", "plan", "plan", "follow", "follow", "follow", "follow", "away", "restart", "grow", "leave", "demand", "demand"}
			switch kinds[int(n>>24)%len(kinds)] {
			case "grow":
				f.table = f.table.WithModel(table.Model{Name: fmt.Sprintf("n%d", n&3), MemoryBytes: int64(5 + 10*(n&3))})
			case "demand":
				f.demand[fmt.Sprintf("m%d", n&7)] = float64(n>>3&7) / 10
			case "plan":
				f.replan()
			case "follow":
				if lost := f.applyPlan(e); len(lost) > 0 && !f.engineRestarted {
					rt.Fatalf("evicting from %s left no replica of %v", e.ID, lost)
				}
			case "leave":
				f.leaving[e.ID] = !f.leaving[e.ID]
			case "away":
				f.unreachable[e.ID] = !f.unreachable[e.ID]
			case "restart":
				clear(f.resident[e.ID])
				f.engineRestarted = true
			}
		}
		clear(f.unreachable)
		clear(f.leaving)
		for range 20 {
			f.replan()
			for _, e := range f.endpoints {
				f.applyPlan(e)
			}
		}
		if next := Compute(f.table, f.report(), f.plan); !SamePlacement(f.plan, next) {
			rt.Fatalf("the plan doesn't converge:\n%s\n%s", Encode(f.plan), Encode(next))
		}
		for _, m := range f.table.Models {
			if !slices.Contains(f.plan.Unplaced, m.Name) && f.replicas(m.Name) == 0 {
				rt.Fatalf("%s has no replica and isn't reported as unplaced: %s", m.Name, Encode(f.plan))
			}
		}
	})
}

func (f *fleet) replan() {
	f.engineRestarted = false
	if next := Compute(f.table, f.report(), f.plan); !SamePlacement(f.plan, next) {
		f.plan = next
	}
}

// TestDecisions compares successive plans of small fleets with the recorded ones.
func TestDecisions(t *testing.T) {
	datadriven.RunTest(t, "testdata/decisions", func(t *testing.T, d *datadriven.TestData) string {
		f := &fleet{unreachable: map[string]bool{}, leaving: map[string]bool{}, resident: map[string]map[string]bool{}, lastRead: map[string]Plan{}, demand: map[string]float64{}}
		var groups []table.Group
		var models []table.Model
		for _, line := range strings.Split(d.Input, "\n") {
			var name, other string
			var n int64
			switch w := strings.Fields(line); w[0] {
			case "endpoint":
				_, _ = fmt.Sscan(strings.Join(w[1:], " "), &name, &other, &n)
				f.endpoints = append(f.endpoints, Endpoint{ID: name, FailureDomain: other, CapacityBytes: n})
				f.resident[name] = map[string]bool{}
			case "model":
				_, _ = fmt.Sscan(strings.Join(w[1:], " "), &name, &other, &n)
				models = append(models, table.Model{Name: name, Groups: []string{other}, MemoryBytes: n})
			case "adapter":
				_, _ = fmt.Sscan(strings.Join(w[1:], " "), &name, &other, &n)
				models = append(models, table.Model{Name: name, Base: other, MemoryBytes: n})
			case "group":
				_, _ = fmt.Sscan(strings.Join(w[1:], " "), &name, &n)
				groups = append(groups, table.Group{Name: name, Weight: 1, MaxMemoryBytes: n})
			case "demand": // in engines
				var engines float64
				_, _ = fmt.Sscan(strings.Join(w[1:], " "), &name, &engines)
				f.demand[name] = engines
			case "leaving":
				f.leaving[w[1]] = true
			case "resident": // before the first plan
				f.resident[w[1]][w[2]] = true
			}
		}
		f.table = table.New(1, groups, models, nil, nil)
		var out strings.Builder
		for range 6 {
			before := f.plan.Version
			f.replan()
			if f.plan.Version == before {
				break
			}
			for _, e := range f.plan.Endpoints {
				fmt.Fprintf(&out, "v%d %s %v evict %v\n", f.plan.Version, e.ID, e.Models, e.Evict)
			}
			if len(f.plan.Unplaced) > 0 {
				fmt.Fprintf(&out, "unplaced %v\n", f.plan.Unplaced)
			}
			for _, e := range f.endpoints {
				f.applyPlan(e)
			}
		}
		return out.String()
	})
}

// BenchmarkPlan measures one plan computation after the loss of an endpoint.
func BenchmarkPlan(b *testing.B) {
	for _, size := range [][2]int{{34, 18}, {130, 150}, {265, 300}, {530, 600}} {
		b.Run(fmt.Sprintf("models=%d/endpoints=%d", size[0], size[1]), func(b *testing.B) {
			var models []table.Model
			for i := range size[0] {
				models = append(models, table.Model{Name: fmt.Sprintf("m%03d", i), MemoryBytes: int64(6 + 4*(i%4))})
			}
			var endpoints []Endpoint
			for i := range size[1] {
				endpoints = append(endpoints, Endpoint{ID: fmt.Sprintf("e%03d", i), FailureDomain: fmt.Sprint(i % 12), CapacityBytes: 64})
			}
			t := table.New(1, nil, models, nil, nil)
			prev := Compute(t, endpoints, Plan{})
			for i := range endpoints {
				endpoints[i].ModelsVersion = 1
			}
			b.ReportAllocs()
			for b.Loop() {
				Compute(t, endpoints[1:], prev)
			}
			b.ReportMetric(float64(len(Encode(prev))), "plan-bytes")
		})
	}
}
