package plan

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chervilhead/internal/state/memory"
	"chervilhead/internal/state/table"
)

// askedFleet is a fleet whose agents know when each model was asked for and write their
// rows as agents do: at intervals, and at once for models that requests wait for.
type askedFleet struct {
	*fleet
	now time.Duration
	// used is when a copy was last asked for or loaded, waiting when an entry last told
	// an agent of a model.
	used, waiting map[string]map[string]time.Duration
	rows          map[string]*askedRow
}

type askedRow struct {
	at      time.Duration
	idle    []IdleModel
	waiting []string
	kept    bool
}

func newAskedFleet(f *fleet) *askedFleet {
	a := &askedFleet{fleet: f, used: map[string]map[string]time.Duration{}, waiting: map[string]map[string]time.Duration{}, rows: map[string]*askedRow{}}
	for _, e := range f.all {
		a.used[e.ID], a.waiting[e.ID], a.rows[e.ID] = map[string]time.Duration{}, map[string]time.Duration{}, &askedRow{at: -time.Hour}
	}
	return a
}

// ask is a request for a model that meets an entry with the newest plan.
func (a *askedFleet) ask(name string) {
	m, ok := a.table.Model(name)
	if !ok {
		return
	}
	home := ""
	for _, e := range a.plan.Endpoints {
		if slices.Contains(e.Retire, name) && !a.away[e.ID] {
			home = e.ID
		}
		if !slices.Contains(e.Models, name) {
			continue
		}
		if !a.away[e.ID] && a.resident[e.ID][name] {
			a.used[e.ID][name], a.used[e.ID][m.Base] = a.now, a.now
			return
		}
		if !a.away[e.ID] {
			a.waiting[e.ID][name] = a.now // the attempt waits there for the load
			return
		}
	}
	for _, e := range a.all {
		if !a.away[e.ID] && (home == "" || home == e.ID) {
			a.waiting[e.ID][name] = a.now
			return
		}
	}
}

// report adds what each agent's row says of demand.
func (a *askedFleet) report() []Endpoint {
	out := a.fleet.report()
	for i, e := range out {
		r := a.rows[e.ID]
		maps.DeleteFunc(a.waiting[e.ID], func(_ string, at time.Duration) bool { return a.now-at >= MinResidency })
		waiting := slices.Sorted(maps.Keys(a.waiting[e.ID]))
		since := a.now - r.at
		if AwaitReportDue(r.waiting, waiting, since) || r.kept && since >= AwaitReportInterval || DemandReportDue(nil, nil, since) {
			unused := map[string]time.Duration{}
			for m := range a.resident[e.ID] {
				unused[m] = a.now - a.used[e.ID][m]
			}
			*r = askedRow{at: a.now, idle: IdleModels(unused), waiting: waiting}
		}
		out[i].Idle, out[i].AwaitedModels = r.idle, r.waiting
	}
	return out
}

// step plans and returns what the plan retires although a row shows demand for it. A
// request that no row shows yet is the agents' to notice.
func (a *askedFleet) step() (wrong string) {
	a.changed = false
	rows := a.report()
	next := Compute(a.table, rows, a.plan)
	if SamePlacement(a.plan, next) {
		return ""
	}
	for _, e := range next.Endpoints {
		before, _ := a.plan.Endpoint(e.ID)
		for _, name := range e.Retire {
			if slices.Contains(before.Retire, name) {
				continue
			}
			for _, r := range rows {
				idle := slices.ContainsFunc(r.Idle, func(i IdleModel) bool { return i.Model == name })
				rider := slices.ContainsFunc(r.AwaitedModels, func(w string) bool { c, _ := a.table.Model(w); return c.Base == name })
				demand := slices.ContainsFunc(r.Demand, func(d Demand) bool { return d.Model == name && d.Engines > 0 })
				if demand || slices.Contains(r.AwaitedModels, name) || rider || r.ID == e.ID && !idle {
					wrong = fmt.Sprintf("%s is retired from %s although %s reports demand for it: %s", name, e.ID, r.ID, Encode(next))
				}
			}
		}
	}
	a.plan = next
	return wrong
}

// follow lets an agent act on the plan; wrong says what rule an unload broke.
func (a *askedFleet) follow(e Endpoint) (wrong string) {
	before := maps.Clone(a.resident[e.ID])
	if mine, ok := a.plan.Endpoint(e.ID); ok {
		for _, name := range mine.Retire {
			if !a.resident[e.ID][name] || slices.Contains(mine.Models, name) {
				continue
			}
			if slices.ContainsFunc(a.table.Models, func(m table.Model) bool { return m.Base == name && a.resident[e.ID][m.Name] }) {
				continue
			}
			if at, ok := a.waiting[e.ID][name]; a.now-a.used[e.ID][name] < MinResidency || ok && a.now-at < MinResidency {
				a.rows[e.ID].kept = true
				continue
			}
			delete(a.resident[e.ID], name)
		}
	}
	if lost := a.fleet.follow(e); len(lost) > 0 && !a.changed {
		wrong = fmt.Sprintf("evicting from %s left no copy of %v", e.ID, lost)
	}
	taken := e.CapacityBytes - a.free(e)
	for m := range a.resident[e.ID] {
		if !before[m] {
			a.used[e.ID][m] = a.now
		}
	}
	if taken > e.CapacityBytes {
		wrong = fmt.Sprintf("%s holds %d bytes of %d", e.ID, taken, e.CapacityBytes)
	}
	return wrong
}

// loadBound is the time within which a model must be resident once requests ask for it
// and for nothing else: the copies in its way become idle, their agents report so, and
// the plan reaches the agents in steps.
const loadBound = MinResidency + demandInterval + 10*time.Second

// TestOnDemand guards against a model without a copy that stays out of the plan although
// requests for it wait, against the loss of the last copy of a model that was asked for
// lately, against memory overcommitted and against a plan that loads and evicts for ever.
func TestOnDemand(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFleet(rt)
		for i := range rapid.IntRange(0, 12).Draw(rt, "more") {
			f.table = f.table.WithModel(table.Model{Name: fmt.Sprintf("x%d", i), MemoryBytes: rapid.Int64Range(20, 120).Draw(rt, "bytes")})
		}
		a := newAskedFleet(f)
		names := make([]string, 0, len(f.table.Models))
		for _, m := range f.table.Models {
			names = append(names, m.Name)
		}
		for range rapid.IntRange(5, 100).Draw(rt, "steps") {
			n := rapid.Uint32().Draw(rt, "n") * 0x9e3779b1 // rapid prefers small numbers; the product spreads them
			e := f.all[int(n>>8&0xff)%len(f.all)]
			a.now += time.Duration(n>>3&3) * time.Second
			kinds := []string{"plan", "plan", "plan", "follow", "follow", "follow", "follow", "ask", "ask", "ask", "wait", "demand", "away", "restart", "leave"}
			switch kinds[int(n>>24)%len(kinds)] {
			case "plan":
				if wrong := a.step(); wrong != "" {
					rt.Fatal(wrong)
				}
			case "follow":
				if wrong := a.follow(e); wrong != "" {
					rt.Fatal(wrong)
				}
			case "ask":
				a.ask(names[int(n>>16&0xff)%len(names)])
			case "demand":
				f.demand[names[int(n>>16&0xff)%len(names)]] = float64(n>>3&7) / 4
			case "wait":
				a.now += time.Duration(n&31) * time.Second
			case "away":
				f.away[e.ID] = !f.away[e.ID]
			case "leave":
				f.leaving[e.ID] = !f.leaving[e.ID]
			case "restart":
				clear(f.resident[e.ID])
				f.changed = true
			}
		}
		clear(f.away)
		clear(f.leaving)
		clear(f.demand)
		name := rapid.SampledFrom(names).Draw(rt, "asked")
		for end := a.now + loadBound; a.now < end; a.now += time.Second {
			a.ask(name)
			if wrong := a.step(); wrong != "" {
				rt.Fatal(wrong)
			}
			for _, e := range f.all {
				if wrong := a.follow(e); wrong != "" {
					rt.Fatal(wrong)
				}
			}
		}
		m, _ := f.table.Model(name)
		base, _ := f.table.Model(m.Base)
		need := m.MemoryBytes + base.MemoryBytes + max(memory.StagingBytes(m.MemoryBytes), memory.StagingBytes(base.MemoryBytes))
		if fits := need <= 100; fits != (f.copies(name) > 0) || fits == (f.plan.UnplacedReasons[name] == ReasonTooLarge) {
			rt.Fatalf("%s of %d bytes has %d copies after %s, the plan says %q: %s", name, need, f.copies(name), loadBound, f.plan.UnplacedReasons[name], Encode(f.plan))
		}
	})
}
