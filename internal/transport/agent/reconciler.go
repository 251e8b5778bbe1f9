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

// reconcileInterval is the pause between reads of the engine's state.
const reconcileInterval = 250 * time.Millisecond

// ReconcilerSettings configures a Reconciler.
type ReconcilerSettings struct {
	// Endpoint describes the endpoint to the planner; it is stored in the endpoint's row.
	Endpoint plan.Endpoint
	// OrderDelay is the longest time that an order can be in transit plus the longest lag of
	// the engine's reports; a report requested after this time shows the order's effect.
	OrderDelay time.Duration
	// ChecksFencingToken means that the engine rejects orders with an old fencing token.
	ChecksFencingToken bool
}

// Reconciler makes the models on one engine match the placement plan. It is the only
// sender of orders to the engine and sends none without a valid lease.
type Reconciler struct {
	cfg    ReconcilerSettings
	agent  *Agent
	engine engine.Engine
	lease  *lease.Manager
	docs   *gossip.Store
	log    *logrus.Entry

	// usageReports holds the usage report that the endpoint's row carries.
	usageReports usageReports

	ledger *memory.Ledger
	// row is the endpoint's state as it is reported to the planner.
	row plan.Endpoint
	// demandReportedAt is when the reported demand was last renewed.
	demandReportedAt time.Time
	// retireDeclined means that a model that the plan retires was requested and stays.
	retireDeclined bool
	// loadDue is when the load of each planned model may start, after the agent's epoch.
	loadDue map[string]time.Duration
	// storedRow is the row that the table service holds.
	storedRow []byte
	renewAt   time.Time
}

// NewReconciler returns a reconciler for the engine of an agent.
func NewReconciler(a *Agent, e engine.Engine, l *lease.Manager, docs *gossip.Store, cfg ReconcilerSettings, log *logrus.Entry) *Reconciler {
	return &Reconciler{cfg: cfg, agent: a, engine: e, lease: l, docs: docs, row: cfg.Endpoint, log: log, ledger: memory.New(cfg.OrderDelay)}
}

// Run calls Step at intervals until the context ends.
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

// Step renews the lease, reads the engine's state and sends the orders that the plan
// needs. It reads the state after it has acquired the lease, so that the state shows the
// orders of earlier holders.
func (c *Reconciler) Step(ctx context.Context) error {
	leaseErr := c.renewLease(ctx)
	requestedAt := time.Now()
	state, err := c.engine.State(ctx)
	if err != nil {
		c.agent.SetEngineState(nil)
		return err
	}
	c.ledger.Observe(ledgerSnapshot(state, requestedAt))
	c.agent.SetEngineState(&state)
	c.updateRow(state)
	if leaseErr != nil {
		return leaseErr
	}
	token, ok := c.lease.Valid(time.Now())
	if !ok {
		return nil
	}
	if c.cfg.ChecksFencingToken && state.FencingToken < token {
		// Until the engine has seen this token it accepts late orders of earlier holders.
		return c.sendOrder(ctx, engine.Order{ID: ident.New("ord-"), Kind: engine.OrderFence})
	}
	c.cancelOrphans(ctx, state)
	c.apply(ctx, state)
	return nil
}

// ledgerSnapshot returns an engine's state in the ledger's form.
func ledgerSnapshot(s engine.State, requestedAt time.Time) memory.Snapshot {
	snap := memory.Snapshot{
		Incarnation: s.Incarnation, RequestedAt: requestedAt, TotalBytes: s.MemoryTotalBytes, KVBytes: s.KVBytes,
		UsedBytes: s.MemoryUsedBytes, Residents: make(map[string]memory.Resident, len(s.Residents)), AppliedOrders: s.AppliedOrders,
	}
	for _, m := range s.Residents {
		snap.Residents[m.Model] = memory.Resident{Bytes: m.MemoryBytes, Ready: m.Ready}
	}
	return snap
}

// updateRow updates the endpoint's row with the engine's state.
func (c *Reconciler) updateRow(state engine.State) {
	kv := state.KVBytes
	for _, b := range state.RoleKVBytes {
		kv = max(kv, b)
	}
	c.row.CapacityBytes = state.MemoryTotalBytes - kv
	c.row.Leaving = c.agent.Leaving()
	c.updateDemand(time.Now())
}

// renewLease renews the lease and writes the endpoint's row when either is due. It returns
// nil while the lease is valid, also if a write failed.
func (c *Reconciler) renewLease(ctx context.Context) error {
	row, err := json.Marshal(place.EndpointRow{Endpoint: c.row, Usage: c.usageReports.report(c.agent.usage(), c.agent.endpointCount(), time.Now())})
	if err != nil {
		return fmt.Errorf("encode endpoint row: %w", err)
	}
	now := time.Now()
	if _, ok := c.lease.Valid(now); ok && now.Before(c.renewAt) && bytes.Equal(row, c.storedRow) {
		return nil
	}
	err = c.lease.Refresh(ctx, row)
	if err == nil {
		c.storedRow = row
		c.renewAt = now.Add(c.lease.Until().Sub(now) / 2)
	}
	if _, ok := c.lease.Valid(time.Now()); ok {
		return nil
	}
	return err
}

// sendOrder sends one order under the lease. Whether a failed order took effect shows in
// the engine's state.
func (c *Reconciler) sendOrder(ctx context.Context, o engine.Order) error {
	token, ok := c.lease.Valid(time.Now())
	if !ok {
		c.ledger.Cancel(o.ID)
		return lease.ErrHeld
	}
	o.FencingToken = token
	// If the process is suspended here until after its lease, the deadline stops the order.
	ctx, cancel := context.WithDeadline(ctx, c.lease.Until())
	defer cancel()
	err := c.engine.Order(ctx, o)
	c.ledger.MarkSent(o.ID, time.Now())
	log := c.log.WithFields(logrus.Fields{"order": o.ID, "kind": o.Kind, "model": o.Model, "bytes": o.MemoryBytes, "fence": token})
	c.agent.cfg.Metrics.orderSent(string(o.Kind))
	if err != nil && !errors.Is(err, context.Canceled) {
		log.WithError(err).Warn("engine order failed")
		return err
	}
	log.Info("placement: engine order sent")
	return nil
}
