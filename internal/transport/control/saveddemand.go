package control

import (
	"context"
	"encoding/json"
	"time"

	"chervilhead/internal/coordination/store"
	"chervilhead/internal/protocol/dgram"
)

const (
	// demandKey is the row that holds the demand for the next planner; after a loss of all
	// hosts it is the only record of it.
	demandKey = "demand"
	// saveInterval is the pause between writes of the demand.
	saveInterval = 4 * time.Second
	// savedDemandTTL is the time in which the previous planner's demand declines to nothing.
	savedDemandTTL = 10 * time.Second
	// maxSavedModels bounds the models in the row; others are expected to have next to no demand.
	maxSavedModels = 64
	// minSavedLoad is the offered load below which a model isn't saved.
	minSavedLoad = 0.05
)

// savedDemand is the demand for one model in the row.
type savedDemand struct {
	Service string  `json:"service"`
	Model   string  `json:"model"`
	Work    float64 `json:"work"`
}

// saveDemand writes the demand to the store for the next planner.
func (p *planner) saveDemand(ctx context.Context, now time.Time) {
	p.mu.Lock()
	if now.Sub(p.savedAt) < saveInterval || !p.holdsLease(now) {
		p.mu.Unlock()
		return
	}
	p.savedAt = now
	var list []savedDemand
	loads := map[modelKey]float64{}
	for _, h := range p.demands {
		for _, m := range h.models {
			loads[modelKey{m.Service, m.Model}] += m.OfferedLoad
		}
	}
	for k, load := range loads {
		if load >= minSavedLoad && len(list) < maxSavedModels {
			list = append(list, savedDemand{k.service, k.model, load})
		}
	}
	p.mu.Unlock()
	if len(list) == 0 {
		return
	}
	value, err := json.Marshal(list)
	if err == nil {
		_, err = p.table.Commit(ctx, store.Txn{Conds: []store.Cond{p.lease.Cond()}, Writes: []store.Write{{Key: demandKey, Value: value}}})
	}
	if err != nil {
		p.plane.log.WithError(err).Debug("the demand was not saved")
	}
}

// loadDemand reads the demand that the previous planner saved.
func (p *planner) loadDemand(ctx context.Context) {
	row, err := p.table.Get(ctx, demandKey)
	if err != nil || row.Version == 0 {
		if err != nil {
			p.plane.log.WithError(err).Info("the previous planner's demand could not be read")
		}
		return
	}
	var list []savedDemand
	if err := json.Unmarshal(row.Value, &list); err != nil {
		p.plane.log.WithError(err).Warn("the saved demand could not be decoded")
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inherited, p.inheritedAt = map[modelKey]dgram.ModelDemand{}, time.Now()
	for _, m := range list {
		p.inherited[modelKey{m.Service, m.Model}] = dgram.ModelDemand{Service: m.Service, Model: m.Model, OfferedLoad: m.Work}
	}
	p.plane.log.WithField("models", len(list)).Info("loaded the previous planner's demand")
}
