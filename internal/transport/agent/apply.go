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

// apply sends the orders that bring the engine closer to the plan: a change of role,
// unloads, then loads.
func (c *Reconciler) apply(ctx context.Context, s engine.State) {
	models, placement, loadsPerSecond, placed := c.placement()
	if !placed {
		return
	}
	placedNames := make(map[string]bool, len(models))
	for _, m := range models {
		placedNames[m.Name] = true
	}
	c.agent.SetPlacedModels(placedNames)
	c.noteDifferences(s, placement)
	c.changeRole(ctx, s, placement.Role)
	residents := make(map[string]engine.ResidentModel, len(s.Residents))
	for _, r := range s.Residents {
		residents[r.Model] = r
	}
	for _, r := range s.Residents {
		// A draining endpoint needs no free memory; its replicas end with the process.
		if !c.row.Leaving && r.Ready && !placedNames[r.Model] && slices.Contains(placement.Evict, r.Model) && !hasAdapter(s, r.Model) && !c.agent.inUse(r.Model) {
			c.unload(ctx, r.Model)
		}
	}
	c.unloadRetired(ctx, s, placement)
	now := time.Since(c.agent.epoch)
	c.loadDue = placement.LoadTimes(c.loadDue, loadsPerSecond, now)
	for _, m := range models {
		r, resident := residents[m.Name]
		if resident && (!r.Ready || r.Version == m.Version) {
			continue
		}
		if (m.Base == "" || residents[m.Base].Ready) && now >= c.loadDue[m.Name] {
			c.load(ctx, m)
		}
	}
}

// unloadRetired unloads the models that the plan retires for lack of demand. No other
// replica of them exists, so a model that was requested in the meantime stays, and the
// next report tells the planner so.
func (c *Reconciler) unloadRetired(ctx context.Context, s engine.State, e plan.Endpoint) {
	if len(e.Retire) == 0 {
		return
	}
	for _, r := range s.Residents {
		if !r.Ready || !slices.Contains(e.Retire, r.Model) || slices.Contains(e.Models, r.Model) || hasAdapter(s, r.Model) {
			continue
		}
		if c.agent.stopAdmitting(r.Model, time.Now()) {
			c.unload(ctx, r.Model)
		} else {
			c.retireDeclined = true
		}
	}
}

// noteDifferences records how the resident models differ from the plan; the next write of
// the endpoint's row reports it to the planner.
func (c *Reconciler) noteDifferences(s engine.State, e plan.Endpoint) {
	c.row.ModelsVersion, c.row.Missing, c.row.Extra = e.ModelsVersion, nil, nil
	for _, m := range e.Models {
		if !slices.ContainsFunc(s.Residents, func(r engine.ResidentModel) bool { return r.Model == m && r.Ready }) {
			c.row.Missing = append(c.row.Missing, m)
		}
	}
	for _, r := range s.Residents {
		if r.Ready && !slices.Contains(e.Models, r.Model) {
			c.row.Extra = append(c.row.Extra, r.Model)
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
		_ = c.sendOrder(ctx, engine.Order{ID: id, Kind: engine.OrderRole, Role: role})
	}
}

func (c *Reconciler) unload(ctx context.Context, model string) {
	id := ident.New("ord-")
	if c.ledger.ReserveUnload(id, model) == nil {
		_ = c.sendOrder(ctx, engine.Order{ID: id, Kind: engine.OrderUnload, Model: model})
	}
}

// load orders a load if the ledger has room for it; an unload makes room only once the
// engine's state shows that it is done.
func (c *Reconciler) load(ctx context.Context, m table.Model) {
	id := ident.New("ord-")
	if c.ledger.ReserveLoad(id, m.Name, m.MemoryBytes) == nil {
		_ = c.sendOrder(ctx, engine.Order{ID: id, Kind: engine.OrderLoad, Model: m.Name, Base: m.Base, Version: m.Version, MemoryBytes: m.MemoryBytes})
	}
}

// hasAdapter reports whether the engine holds an adapter whose base is the given model.
func hasAdapter(s engine.State, model string) bool {
	return slices.ContainsFunc(s.Residents, func(r engine.ResidentModel) bool { return r.Base == model })
}

// inUse reports whether an attempt for a model is queued or running.
func (a *Agent) inUse(model string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, at := range a.attempts {
		if p := at.currentPhase(); at.start.Model == model && p != phaseNotRun && p != phaseEnded {
			return true
		}
	}
	return false
}

// placement returns the models that the plan places on this endpoint (models before
// adapters, the largest first), the endpoint's part of the plan, the fleet's rate of
// loads and whether the plan contains the endpoint.
func (c *Reconciler) placement() (models []table.Model, endpoint plan.Endpoint, loadsPerSecond float64, placed bool) {
	planDoc := c.docs.Get(gossip.KindPlan)
	if planDoc.Version == 0 {
		return nil, endpoint, 0, false
	}
	p, err := plan.Decode(planDoc.Data)
	if err != nil {
		c.log.WithError(err).Error("plan does not decode; resident models stay as they are")
		return nil, endpoint, 0, false
	}
	t, err := table.Decode(c.docs.Get(gossip.KindTable).Data)
	if err != nil {
		return nil, endpoint, 0, false
	}
	endpoint, placed = p.Endpoint(c.cfg.Endpoint.ID)
	for _, name := range endpoint.Models {
		if m, ok := t.Model(name); ok {
			models = append(models, m)
		}
	}
	slices.SortStableFunc(models, func(a, b table.Model) int {
		return cmp.Or(cmp.Compare(min(len(a.Base), 1), min(len(b.Base), 1)), cmp.Compare(b.MemoryBytes, a.MemoryBytes))
	})
	return models, endpoint, p.LoadsPerSecond, placed
}
