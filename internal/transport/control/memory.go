package control

import (
	"context"
	"encoding/json"
	"time"

	"chervilhead/internal/coordination/store"
	"chervilhead/internal/protocol/dgram"
)

const (
	// demandKey is the row that holds the demand for a planner that takes over; after a
	// loss of all hosts nobody else knows it.
	demandKey = "demand"
	// rememberEvery is the pause between writes of the demand.
	rememberEvery = 4 * time.Second
	// storedFor is how long the demand of a planner before counts, less and less.
	storedFor = 10 * time.Second
	// storedModels bounds the models in the row; the others have next to no demand.
	storedModels = 64
	// storedWork is the work below which a model isn't written down.
	storedWork = 0.05
)

// storedDemand is one model in the row.
type storedDemand struct {
	Service string  `json:"service"`
	Model   string  `json:"model"`
	Work    float64 `json:"work"`
}

// remember writes the demand down for the next planner.
func (p *planner) remember(ctx context.Context, now time.Time) {
	p.mu.Lock()
	if now.Sub(p.wrote) < rememberEvery || !now.Before(p.until) {
		p.mu.Unlock()
		return
	}
	p.wrote = now
	var list []storedDemand
	sum := map[modelKey]float64{}
	for _, h := range p.heard {
		for _, m := range h.models {
			sum[modelKey{m.Service, m.Model}] += m.OfferedLoad
		}
	}
	for k, w := range sum {
		if w >= storedWork && len(list) < storedModels {
			list = append(list, storedDemand{k.service, k.model, w})
		}
	}
	p.mu.Unlock()
	if len(list) == 0 {
		return
	}
	value, err := json.Marshal(list)
	if err == nil {
		_, err = p.rows.Commit(ctx, store.Txn{Conds: []store.Cond{p.lease.Cond()}, Writes: []store.Write{{Key: demandKey, Value: value}}})
	}
	if err != nil {
		p.desk.log.WithError(err).Debug("the demand was not written down")
	}
}

// recall reads the demand that the planner before wrote down.
func (p *planner) recall(ctx context.Context) {
	row, err := p.rows.Get(ctx, demandKey)
	if err != nil || row.Version == 0 {
		if err != nil {
			p.desk.log.WithError(err).Info("the demand of the planner before was not read")
		}
		return
	}
	var list []storedDemand
	if err := json.Unmarshal(row.Value, &list); err != nil {
		p.desk.log.WithError(err).Warn("the row of the demand does not decode")
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stored, p.storedAt = map[modelKey]dgram.ModelDemand{}, time.Now()
	for _, m := range list {
		p.stored[modelKey{m.Service, m.Model}] = dgram.ModelDemand{Service: m.Service, Model: m.Model, OfferedLoad: m.Work}
	}
	p.desk.log.WithField("models", len(list)).Info("the demand of the planner before was read")
}
