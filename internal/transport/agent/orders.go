package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"chervilhead/internal/coordination/gossip"
	"chervilhead/internal/coordination/lease"
	"chervilhead/internal/coordination/place"
	"chervilhead/internal/protocol/engine"
	"chervilhead/internal/state/ident"
	"chervilhead/internal/state/memory"
	"chervilhead/internal/state/plan"
)

// reconcileInterval is how often the engine's real state is read back.
const reconcileInterval = 250 * time.Millisecond

// ReconcilerSettings shape the control of one engine.
type ReconcilerSettings struct {
	// Endpoint describes the endpoint to the planner; it is stored with the lease.
	Endpoint plan.Endpoint
	// OrderDelay is the longest time that an order can be under way, plus the longest lag
	// of the engine's reports: a report of then shows what the order did.
	OrderDelay time.Duration
	// ChecksFencingToken says that the engine refuses orders with an old fencing number.
	ChecksFencingToken bool
}

// Reconciler keeps one engine's residents as the plan wants them. It is the only
// sender of orders to the engine and sends none without a valid lease.
type Reconciler struct {
	cfg    ReconcilerSettings
	agent  *Agent
	engine engine.Engine
	lease  *lease.Manager
	docs   *gossip.Store
	log    *logrus.Entry

	// usage holds the report that the endpoint's row carries.
	usage usageReports

	ledger *memory.Ledger
	info   plan.Endpoint
	// demandAt is when the reported demand was last renewed.
	demandAt time.Time
	// kept means that a model that the plan retires stays because it was asked for.
	kept bool
	// due is when each load of the plan may ask the weight store.
	due map[string]time.Duration
	// stored is the description that the table service holds.
	stored  []byte
	renewAt time.Time
}

// NewReconciler returns the control of an agent's engine.
func NewReconciler(a *Agent, e engine.Engine, l *lease.Manager, docs *gossip.Store, cfg ReconcilerSettings, log *logrus.Entry) *Reconciler {
	return &Reconciler{cfg: cfg, agent: a, engine: e, lease: l, docs: docs, info: cfg.Endpoint, log: log, ledger: memory.New(cfg.OrderDelay)}
}

// Run reconciles until the context ends.
func (c *Reconciler) Run(ctx context.Context) {
	tick := time.NewTicker(reconcileInterval)
	defer tick.Stop()
	for {
		if err := c.Step(ctx); err != nil && ctx.Err() == nil {
			c.log.WithError(err).Debug("reconciliation incomplete")
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// Step renews the lease, reads the engine back and sends the orders that the plan
// needs. The state is read after the lease was acquired, so that it shows what
// earlier holders ordered.
func (c *Reconciler) Step(ctx context.Context) error {
	held := c.renew(ctx)
	began := time.Now()
	state, err := c.engine.State(ctx)
	if err != nil {
		c.agent.SetEngineState(nil)
		return err
	}
	c.ledger.Observe(reading(state, began))
	c.agent.SetEngineState(&state)
	c.describe(state)
	if held != nil {
		return held
	}
	fence, ok := c.lease.Valid(time.Now())
	if !ok {
		return nil
	}
	if c.cfg.ChecksFencingToken && state.FencingToken < fence {
		// Until the engine knows the number it accepts late orders of earlier holders.
		return c.order(ctx, engine.Order{ID: ident.New("ord-"), Kind: engine.OrderFence})
	}
	c.cancelStrays(ctx, state)
	c.apply(ctx, state)
	return nil
}

// reading returns an engine's state in the ledger's form.
func reading(s engine.State, began time.Time) memory.Snapshot {
	r := memory.Snapshot{
		Incarnation: s.Incarnation, RequestedAt: began, TotalBytes: s.MemoryTotalBytes, KVBytes: s.KVBytes,
		UsedBytes: s.MemoryUsedBytes, Residents: make(map[string]memory.Resident, len(s.Residents)), AppliedOrders: s.AppliedOrders,
	}
	for _, m := range s.Residents {
		r.Residents[m.Model] = memory.Resident{Bytes: m.MemoryBytes, Ready: m.Ready}
	}
	return r
}

// describe notes what the planner needs to know of the engine.
func (c *Reconciler) describe(s engine.State) {
	kv := s.KVBytes
	for _, b := range s.RoleKVBytes {
		kv = max(kv, b)
	}
	c.info.CapacityBytes = s.MemoryTotalBytes - kv
	c.info.Leaving = c.agent.Leaving()
	c.describeDemand(time.Now())
}

// renew keeps the lease and the endpoint's description in the table service.
func (c *Reconciler) renew(ctx context.Context) error {
	info, err := json.Marshal(place.EndpointRow{Endpoint: c.info, Usage: c.usage.report(c.agent.usage(), c.agent.endpoints(), time.Now())})
	if err != nil {
		return fmt.Errorf("encode endpoint: %w", err)
	}
	now := time.Now()
	if _, ok := c.lease.Valid(now); ok && now.Before(c.renewAt) && bytes.Equal(info, c.stored) {
		return nil
	}
	err = c.lease.Refresh(ctx, info)
	if err == nil {
		c.stored = info
		c.renewAt = now.Add(c.lease.Until().Sub(now) / 2)
	}
	if _, ok := c.lease.Valid(time.Now()); ok {
		return nil
	}
	return err
}

// order sends one order under the lease; a failed order is settled by reading the state back.
func (c *Reconciler) order(ctx context.Context, o engine.Order) error {
	fence, ok := c.lease.Valid(time.Now())
	if !ok {
		c.ledger.Cancel(o.ID)
		return lease.ErrHeld
	}
	o.FencingToken = fence
	// A process that pauses here doesn't send the order when it goes on after its lease.
	ctx, cancel := context.WithDeadline(ctx, c.lease.Until())
	defer cancel()
	err := c.engine.Order(ctx, o)
	c.ledger.MarkSent(o.ID, time.Now())
	log := c.log.WithFields(logrus.Fields{"order": o.ID, "kind": o.Kind, "model": o.Model, "bytes": o.MemoryBytes, "fence": fence})
	c.agent.cfg.Metrics.ordered(string(o.Kind))
	if err != nil && !errors.Is(err, context.Canceled) {
		log.WithError(err).Warn("engine order failed")
		return err
	}
	log.Info("placement: engine order sent")
	return nil
}
