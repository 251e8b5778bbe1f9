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

// requestFleet is a fleet that receives requests. Its agents know when each model was last
// requested and write their rows at intervals, and sooner for models that requests wait for.
type requestFleet struct {
	*fleet
	now time.Duration
	// lastUsed is when a replica was last requested or loaded, lastAwaited when an entry
	// last told an agent that requests wait for a model; both by endpoint and model.
	lastUsed, lastAwaited map[string]map[string]time.Duration
	rows                  map[string]*reportRow
}

type reportRow struct {
	at          time.Duration
	idle        []IdleModel
	awaited     []string
	keptRetired bool
}

func newRequestFleet(f *fleet) *requestFleet {
	a := &requestFleet{fleet: f, lastUsed: map[string]map[string]time.Duration{}, lastAwaited: map[string]map[string]time.Duration{}, rows: map[string]*reportRow{}}
	for _, e := range f.endpoints {
		a.lastUsed[e.ID], a.lastAwaited[e.ID], a.rows[e.ID] = map[string]time.Duration{}, map[string]time.Duration{}, &reportRow{at: -time.Hour}
	}
	return a
}

// request sends a request for a model through an entry that has the newest plan.
func (a *requestFleet) request(name string) {
	m, ok := a.table.Model(name)
	if !ok {
		return
	}
	retiringEndpoint := ""
	for _, e := range a.plan.Endpoints {
		if slices.Contains(e.Retire, name) && !a.unreachable[e.ID] {
			retiringEndpoint = e.ID
		}
		if !slices.Contains(e.Models, name) {
			continue
		}
		if !a.unreachable[e.ID] && a.resident[e.ID][name] {
			a.lastUsed[e.ID][name], a.lastUsed[e.ID][m.Base] = a.now, a.now
			return
		}
		if !a.unreachable[e.ID] {
			a.lastAwaited[e.ID][name] = a.now // the attempt waits there for the load
			return
		}
	}
	for _, e := range a.endpoints {
		if !a.unreachable[e.ID] && (retiringEndpoint == "" || retiringEndpoint == e.ID) {
			a.lastAwaited[e.ID][name] = a.now
			return
		}
	}
}

// report adds to the endpoints' rows what each agent reports of idle and awaited models.
func (a *requestFleet) report() []Endpoint {
	out := a.fleet.report()
	for i, e := range out {
		r := a.rows[e.ID]
		maps.DeleteFunc(a.lastAwaited[e.ID], func(_ string, at time.Duration) bool { return a.now-at >= MinResidency })
		awaited := slices.Sorted(maps.Keys(a.lastAwaited[e.ID]))
		since := a.now - r.at
		if AwaitReportDue(r.awaited, awaited, since) || r.keptRetired && since >= AwaitReportInterval || DemandReportDue(nil, nil, since) {
			unused := map[string]time.Duration{}
			for m := range a.resident[e.ID] {
				unused[m] = a.now - a.lastUsed[e.ID][m]
			}
			*r = reportRow{at: a.now, idle: IdleModels(unused), awaited: awaited}
		}
		out[i].Idle, out[i].AwaitedModels = r.idle, r.awaited
	}
	return out
}

// replan computes the next plan. The violation it returns names a model that the plan
// retires although a row shows demand for it; requests that no row shows yet are left to
// the agents.
func (a *requestFleet) replan() (violation string) {
	a.engineRestarted = false
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
				awaitedAdapter := slices.ContainsFunc(r.AwaitedModels, func(w string) bool { c, _ := a.table.Model(w); return c.Base == name })
				demand := slices.ContainsFunc(r.Demand, func(d Demand) bool { return d.Model == name && d.Engines > 0 })
				if demand || slices.Contains(r.AwaitedModels, name) || awaitedAdapter || r.ID == e.ID && !idle {
					violation = fmt.Sprintf("%s is retired from %s although %s reports demand for it: %s", name, e.ID, r.ID, Encode(next))
				}
			}
		}
	}
	a.plan = next
	return violation
}

// applyPlan lets an agent act on the plan; it returns the rule that was violated, or "".
func (a *requestFleet) applyPlan(e Endpoint) (violation string) {
	before := maps.Clone(a.resident[e.ID])
	if mine, ok := a.plan.Endpoint(e.ID); ok {
		for _, name := range mine.Retire {
			if !a.resident[e.ID][name] || slices.Contains(mine.Models, name) {
				continue
			}
			if slices.ContainsFunc(a.table.Models, func(m table.Model) bool { return m.Base == name && a.resident[e.ID][m.Name] }) {
				continue
			}
			if at, ok := a.lastAwaited[e.ID][name]; a.now-a.lastUsed[e.ID][name] < MinResidency || ok && a.now-at < MinResidency {
				a.rows[e.ID].keptRetired = true
				continue
			}
			delete(a.resident[e.ID], name)
		}
	}
	if lost := a.fleet.applyPlan(e); len(lost) > 0 && !a.engineRestarted {
		violation = fmt.Sprintf("evicting from %s left no replica of %v", e.ID, lost)
	}
	usedBytes := e.CapacityBytes - a.freeBytes(e)
	for m := range a.resident[e.ID] {
		if !before[m] {
			a.lastUsed[e.ID][m] = a.now
		}
	}
	if usedBytes > e.CapacityBytes {
		violation = fmt.Sprintf("%s holds %d bytes of %d", e.ID, usedBytes, e.CapacityBytes)
	}
	return violation
}

// onDemandLoadBound is the time within which a model must be resident if all requests are
// for it: other replicas become idle, their agents report that, and the plan reaches the
// agents in steps.
const onDemandLoadBound = MinResidency + demandReportInterval + 10*time.Second

// TestOnDemand guards against a model without a replica that stays out of the plan although
// requests wait for it, loss of the last replica of a recently requested model, memory
// overcommitment, and plans that load and evict without end.
func TestOnDemand(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFleet(rt)
		for i := range rapid.IntRange(0, 12).Draw(rt, "more") {
			f.table = f.table.WithModel(table.Model{Name: fmt.Sprintf("x%d", i), MemoryBytes: rapid.Int64Range(20, 120).Draw(rt, "bytes")})
		}
		a := newRequestFleet(f)
		names := make([]string, 0, len(f.table.Models))
		for _, m := range f.table.Models {
			names = append(names, m.Name)
		}
		for range rapid.IntRange(5, 100).Draw(rt, "steps") {
			n := rapid.Uint32().Draw(rt, "n") * 0x9e3779b1 // rapid prefers small numbers; the product spreads them
			e := f.endpoints[int(n>>8&0xff)%len(f.endpoints)]
			a.now += time.Duration(n>>3&3) * time.Second
			kinds := []string{"plan", "plan", "plan", "follow", "follow", "follow", "follow", "ask", "ask", "ask", "wait", "demand", "away", "restart", "leave"}
			switch kinds[int(n>>24)%len(kinds)] {
			case "plan":
				if violation := a.replan(); violation != "" {
					rt.Fatal(violation)
				}
			case "follow":
				if violation := a.applyPlan(e); violation != "" {
					rt.Fatal(violation)
				}
			case "ask":
				a.request(names[int(n>>16&0xff)%len(names)])
			case "demand":
				f.demand[names[int(n>>16&0xff)%len(names)]] = float64(n>>3&7) / 4
			case "wait":
				a.now += time.Duration(n&31) * time.Second
			case "away":
				f.unreachable[e.ID] = !f.unreachable[e.ID]
			case "leave":
				f.leaving[e.ID] = !f.leaving[e.ID]
			case "restart":
				clear(f.resident[e.ID])
				f.engineRestarted = true
			}
		}
		clear(f.unreachable)
		clear(f.leaving)
		clear(f.demand)
		name := rapid.SampledFrom(names).Draw(rt, "asked")
		for end := a.now + onDemandLoadBound; a.now < end; a.now += time.Second {
			a.request(name)
			if violation := a.replan(); violation != "" {
				rt.Fatal(violation)
			}
			for _, e := range f.endpoints {
				if violation := a.applyPlan(e); violation != "" {
					rt.Fatal(violation)
				}
			}
		}
		m, _ := f.table.Model(name)
		base, _ := f.table.Model(m.Base)
		need := m.MemoryBytes + base.MemoryBytes + max(memory.StagingBytes(m.MemoryBytes), memory.StagingBytes(base.MemoryBytes))
		if fits := need <= 100; fits != (f.replicas(name) > 0) || fits == (f.plan.UnplacedReasons[name] == ReasonTooLarge) {
			rt.Fatalf("%s of %d bytes has %d replicas after %s, the plan says %q: %s", name, need, f.replicas(name), onDemandLoadBound, f.plan.UnplacedReasons[name], Encode(f.plan))
		}
	})
}
