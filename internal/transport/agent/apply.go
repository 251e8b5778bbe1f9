package agent

import (
	"cmp"
	"context"
	"slices"
	"time"

	"chervilhead/internal/coordination/gossip"
	"chervilhead/internal/protocol/engine"
	"chervilhead/internal/state/ident"
	"chervilhead/internal/state/plan"
	"chervilhead/internal/state/table"
)

// apply sends one round of orders: a change of role, unloads, then loads.
func (c *Reconciler) apply(ctx context.Context, s engine.State) {
	want, e, perSecond, placed := c.wanted()
	if !placed {
		return
	}
	set := make(map[string]bool, len(want))
	for _, m := range want {
		set[m.Name] = true
	}
	c.agent.SetPlacedModels(set)
	c.report(s, e)
	c.changeRole(ctx, s, e.Role)
	on := make(map[string]engine.ResidentModel, len(s.Residents))
	for _, r := range s.Residents {
		on[r.Model] = r
	}
	for _, r := range s.Residents {
		// A leaving endpoint's memory is of no further use; its copies go with it.
		if !c.info.Leaving && r.Ready && !set[r.Model] && slices.Contains(e.Evict, r.Model) && !hasAdapter(s, r.Model) && !c.agent.uses(r.Model) {
			c.unload(ctx, r.Model)
		}
	}
	c.retire(ctx, s, e)
	now := time.Since(c.agent.epoch)
	c.due = e.LoadTimes(c.due, perSecond, now)
	for _, m := range want {
		r, held := on[m.Name]
		if held && (!r.Ready || r.Version == m.Version) {
			continue
		}
		if (m.Base == "" || on[m.Base].Ready) && now >= c.due[m.Name] {
			c.load(ctx, m)
		}
	}
}

// retire unloads the models that the plan gives up for lack of demand. One that was asked
// for in the meantime stays, and the next report tells the planner so: no other copy exists.
func (c *Reconciler) retire(ctx context.Context, s engine.State, e plan.Endpoint) {
	if len(e.Retire) == 0 {
		return
	}
	for _, r := range s.Residents {
		if !r.Ready || !slices.Contains(e.Retire, r.Model) || slices.Contains(e.Models, r.Model) || hasAdapter(s, r.Model) {
			continue
		}
		if c.agent.withdraws(r.Model, time.Now()) {
			c.unload(ctx, r.Model)
		} else {
			c.kept = true
		}
	}
}

// report notes how the residents differ from the plan; it reaches the planner with the lease.
func (c *Reconciler) report(s engine.State, e plan.Endpoint) {
	c.info.ModelsVersion, c.info.Missing, c.info.Extra = e.ModelsVersion, nil, nil
	for _, m := range e.Models {
		if !slices.ContainsFunc(s.Residents, func(r engine.ResidentModel) bool { return r.Model == m && r.Ready }) {
			c.info.Missing = append(c.info.Missing, m)
		}
	}
	for _, r := range s.Residents {
		if r.Ready && !slices.Contains(e.Models, r.Model) {
			c.info.Extra = append(c.info.Extra, r.Model)
		}
	}
}

func (c *Reconciler) changeRole(ctx context.Context, s engine.State, role string) {
	kv, known := s.RoleKVBytes[role]
	if role == "" || role == s.Role || !known {
		return
	}
	id := ident.New("ord-")
	if c.ledger.ReserveRole(id, kv) == nil {
		_ = c.order(ctx, engine.Order{ID: id, Kind: engine.OrderRole, Role: role})
	}
}

func (c *Reconciler) unload(ctx context.Context, model string) {
	id := ident.New("ord-")
	if c.ledger.ReserveUnload(id, model) == nil {
		_ = c.order(ctx, engine.Order{ID: id, Kind: engine.OrderUnload, Model: model})
	}
}

// load orders a load when there is room; otherwise an unload has to be read back first.
func (c *Reconciler) load(ctx context.Context, m table.Model) {
	id := ident.New("ord-")
	if c.ledger.ReserveLoad(id, m.Name, m.MemoryBytes) == nil {
		_ = c.order(ctx, engine.Order{ID: id, Kind: engine.OrderLoad, Model: m.Name, Base: m.Base, Version: m.Version, MemoryBytes: m.MemoryBytes})
	}
}

// hasAdapter reports whether an adapter on the engine rides on a model.
func hasAdapter(s engine.State, model string) bool {
	return slices.ContainsFunc(s.Residents, func(r engine.ResidentModel) bool { return r.Base == model })
}

// uses reports whether an attempt for a model is queued or running.
func (a *Agent) uses(model string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, at := range a.attempts {
		if p := at.current(); at.start.Model == model && p != phaseBarred && p != phaseEnded {
			return true
		}
	}
	return false
}

// wanted returns the models that the plan places on this endpoint, models before
// adapters and the largest first, the rate of loads over the fleet, and whether the
// plan names the endpoint.
func (c *Reconciler) wanted() (models []table.Model, e plan.Endpoint, perSecond float64, placed bool) {
	doc := c.docs.Get(gossip.KindPlan)
	if doc.Version == 0 {
		return nil, e, 0, false
	}
	p, err := plan.Decode(doc.Data)
	if err != nil {
		c.log.WithError(err).Error("plan does not decode; residents stay as they are")
		return nil, e, 0, false
	}
	t, err := table.Decode(c.docs.Get(gossip.KindTable).Data)
	if err != nil {
		return nil, e, 0, false
	}
	e, placed = p.Endpoint(c.cfg.Endpoint.ID)
	for _, name := range e.Models {
		if m, ok := t.Model(name); ok {
			models = append(models, m)
		}
	}
	slices.SortStableFunc(models, func(a, b table.Model) int {
		return cmp.Or(cmp.Compare(min(len(a.Base), 1), min(len(b.Base), 1)), cmp.Compare(b.MemoryBytes, a.MemoryBytes))
	})
	return models, e, p.LoadsPerSecond, placed
}
