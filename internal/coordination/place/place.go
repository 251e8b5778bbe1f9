package place

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"chervilhead/internal/coordination/gossip"
	"chervilhead/internal/coordination/lease"
	"chervilhead/internal/coordination/member"
	"chervilhead/internal/coordination/store"
	"chervilhead/internal/state/plan"
	"chervilhead/internal/state/share"
	"chervilhead/internal/state/table"
)

// Keys of the table service's rows that the planner uses.
const (
	PlannerLeaseKey = "lease/planner"
	// EndpointLeasePrefix precedes the endpoints' leases, which are renewed every few seconds,
	// and EndpointPrefix their descriptions, which are written only when they change.
	EndpointLeasePrefix = "lease/endpoint/"
	EndpointPrefix      = "endpoint/"
)

const (
	planInterval = time.Second
	// replanInterval is the longest time between two computations while nothing changes.
	replanInterval = 10 * time.Second
	// demandInterval is the least time between two plans for nothing but other demand:
	// at the target size some report changes every 50 ms, and a plan takes 40 ms.
	demandInterval = 3 * time.Second
	// spacePerEntry spaces the reads of the planner's lease by entries without it, so that
	// a fleet of any size makes about 20 a second. Beyond maxLeaseWait a lost planner
	// would be noticed late.
	spacePerEntry = 50 * time.Millisecond
	maxLeaseWait  = 16 * time.Second
)

// Planner computes and publishes plans while it holds the planner's lease.
type Planner struct {
	st      store.TableService
	lease   *lease.Manager
	docs    *gossip.Store
	members *member.Watcher
	log     *logrus.Entry
	renewAt time.Time
	shares  sharer
	duties  []PlannerTask
	set     plan.Settings

	rows endpointRows
	// last is the newest plan and head the version of its head row; loaded is unset until
	// they were read under this lease.
	last    plan.Plan
	head    uint64
	loaded  bool
	planned planned
}

// planned is what the last computed plan was made from.
type planned struct {
	table, rows, view uint64
	demand            uint64
	at                time.Time
}

// PlannerTask is work that one process of the fleet does: the one that holds the planner's lease.
type PlannerTask func(ctx context.Context, t table.Table) error

// New returns a planner.
func New(st store.TableService, l *lease.Manager, docs *gossip.Store, members *member.Watcher, log *logrus.Entry) *Planner {
	return &Planner{st: st, lease: l, docs: docs, members: members, log: log, shares: sharer{meter: share.NewUsageMeter()}, set: plan.DefaultSettings()}
}

// AddTask gives the planner a further duty; it must not be called after Run.
func (p *Planner) AddTask(d PlannerTask) { p.duties = append(p.duties, d) }

// SetSettings sets the planner's settings; it is called before Run.
func (p *Planner) SetSettings(s plan.Settings) { p.set = s }

// Run plans until the context ends.
func (p *Planner) Run(ctx context.Context) {
	for {
		wait := planInterval
		err := p.Step(ctx)
		if errors.Is(err, lease.ErrHeld) {
			wait = p.leaseWait()
			p.loaded = false
		} else if err != nil && ctx.Err() == nil {
			p.log.WithError(err).Debug("no plan computed")
		}
		p.runDuties(ctx)
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}

// runDuties does the planner's other work while it holds the lease.
func (p *Planner) runDuties(ctx context.Context) {
	now := time.Now()
	if _, ok := p.lease.Valid(now); !ok {
		return
	}
	t, err := table.Decode(p.docs.Get(gossip.KindTable).Data)
	if err != nil {
		return
	}
	for _, d := range append([]PlannerTask{func(ctx context.Context, t table.Table) error { return p.correct(ctx, t, now) }}, p.duties...) {
		if err := d(ctx, t); err != nil && ctx.Err() == nil {
			p.log.WithError(err).Debug("planner's duty incomplete")
		}
	}
}

// leaseWait returns the time to the next look at a lease that another entry holds.
func (p *Planner) leaseWait() time.Duration {
	wait := time.Duration(p.members.View().Count(store.RoleEntry)) * spacePerEntry
	wait = max(planInterval, min(wait, maxLeaseWait))
	if wait == planInterval {
		return wait
	}
	return wait/2 + rand.N(wait)
}

// Step renews the lease and publishes a plan when it differs from the one in force.
func (p *Planner) Step(ctx context.Context) error {
	now := time.Now()
	if _, ok := p.lease.Valid(now); !ok || now.After(p.renewAt) {
		if !ok {
			p.loaded = false
		}
		if err := p.lease.Refresh(ctx, nil); err != nil {
			return err
		}
		p.renewAt = now.Add(p.lease.Until().Sub(now) / 2)
	}
	if err := p.rows.update(ctx, p.st, p.shares.meter); err != nil {
		return err
	}
	if err := p.load(ctx); err != nil {
		return err
	}
	doc, view := p.docs.Get(gossip.KindTable), p.members.View()
	from := planned{table: doc.Version, rows: p.rows.version, view: view.Seq(), demand: p.rows.demand, at: p.planned.at}
	if !from.due(p.planned, now) {
		return nil
	}
	t, err := table.Decode(doc.Data)
	if err != nil {
		return err
	}
	next := p.set.Compute(t, p.rows.listed(view), p.last)
	if !plan.SamePlacement(p.last, next) {
		// The planner looks again at once: a plan may build on the one before.
		p.planned = planned{}
		return p.publish(ctx, next)
	}
	from.at = now
	p.planned = from
	return nil
}

// due reports whether a plan made from prev has to be made again.
func (from planned) due(prev planned, now time.Time) bool {
	age := now.Sub(prev.at)
	if from == prev {
		return age >= replanInterval
	}
	from.demand = prev.demand
	return from != prev || age >= demandInterval
}

// load reads the newest plan, once for each time that the lease is taken.
func (p *Planner) load(ctx context.Context) error {
	if p.loaded {
		return nil
	}
	last, head, err := readPlan(ctx, p.st)
	if err != nil {
		return err
	}
	p.last, p.head, p.loaded, p.planned = last, head, true, planned{}
	return nil
}

// publish writes a plan if the plan before it is still the newest and the lease is still held.
func (p *Planner) publish(ctx context.Context, next plan.Plan) error {
	if _, ok := p.lease.Valid(time.Now()); !ok {
		return lease.ErrHeld
	}
	// After a failed commit the rows may still have been written.
	p.loaded = false
	version, err := p.st.Commit(ctx, store.Txn{
		Conds:  []store.Cond{{Key: headKey, Version: p.head}, p.lease.Cond()},
		Writes: changes(p.last, next),
	})
	if err != nil {
		return fmt.Errorf("publish plan: %w", err)
	}
	p.warn(next)
	p.logMoves(next)
	p.last, p.head, p.loaded = next, version, true
	p.docs.PutIfNewer(gossip.Document{Kind: gossip.KindPlan, Version: next.Version, Data: plan.Encode(next)})
	p.log.WithFields(logrus.Fields{"version": next.Version, "endpoints": len(next.Endpoints), "unplaced": next.Unplaced}).Info("placement: plan published")
	return nil
}

// warn tells the operator which models cannot become resident, and why, once per change.
func (p *Planner) warn(next plan.Plan) {
	for _, name := range next.Unplaced {
		why := next.UnplacedReasons[name]
		if why == plan.ReasonOnDemand || p.last.UnplacedReasons[name] == why {
			continue
		}
		p.log.WithFields(logrus.Fields{"model": name, "reason": why, "remedy": why.Remedy()}).Warn("placement: model has no copy")
	}
}
