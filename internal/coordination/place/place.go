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
	// PlannerLeaseKey is the row of the planner lease.
	PlannerLeaseKey = "lease/planner"
	// EndpointLeasePrefix is the prefix of the endpoints' leases, which are renewed every few seconds.
	EndpointLeasePrefix = "lease/endpoint/"
	// EndpointPrefix is the prefix of the endpoints' descriptions, which are written only when they change.
	EndpointPrefix = "endpoint/"
)

const (
	stepInterval = time.Second
	// replanInterval is the longest time between two plan computations while their inputs don't change.
	replanInterval = 10 * time.Second
	// demandInterval is the shortest time between two plan computations for a change of demand
	// alone: at the target size a report changes every 50 ms, and a computation takes 40 ms.
	demandInterval = 3 * time.Second
	// leaseCheckSpacing times the number of entries is an entry's mean interval between reads of
	// the planner lease that another holds, so that the fleet makes about 20 reads a second.
	leaseCheckSpacing = 50 * time.Millisecond
	// maxLeaseCheckWait bounds that interval, so that a lost planner is replaced in time.
	maxLeaseCheckWait = 16 * time.Second
)

// Planner computes and publishes placement plans while it holds the planner lease.
type Planner struct {
	st       store.TableService
	lease    *lease.Manager
	docs     *gossip.Store
	members  *member.Watcher
	log      *logrus.Entry
	renewAt  time.Time
	factors  factorUpdater
	tasks    []PlannerTask
	settings plan.Settings

	rows endpointRows
	// last is the newest plan.
	last plan.Plan
	// headVersion is the version of the newest plan's head row.
	headVersion uint64
	// loaded means that last and headVersion have been read under the current lease.
	loaded bool
	// lastInputs are the inputs of the last computation whose result equals the plan in force.
	lastInputs planInputs
}

// planInputs identifies the inputs of a plan computation by their versions.
type planInputs struct {
	tableVersion, rowsVersion, viewSeq uint64
	demandVersion                      uint64
	computedAt                         time.Time
}

// PlannerTask is a task for one process of the fleet: the one that holds the planner lease.
type PlannerTask func(ctx context.Context, t table.Table) error

// New returns a planner that competes for the lease l.
func New(st store.TableService, l *lease.Manager, docs *gossip.Store, members *member.Watcher, log *logrus.Entry) *Planner {
	return &Planner{st: st, lease: l, docs: docs, members: members, log: log, factors: factorUpdater{meter: share.NewUsageMeter()}, settings: plan.DefaultSettings()}
}

// AddTask adds a task that runs after each planner step under the lease; it must be called before Run.
func (p *Planner) AddTask(task PlannerTask) { p.tasks = append(p.tasks, task) }

// SetSettings replaces the default plan settings; it must be called before Run.
func (p *Planner) SetSettings(s plan.Settings) { p.settings = s }

// Run competes for the lease and, while it holds it, publishes plans and runs the tasks, until
// the context ends.
func (p *Planner) Run(ctx context.Context) {
	for {
		wait := stepInterval
		err := p.Step(ctx)
		if errors.Is(err, lease.ErrHeld) {
			wait = p.leaseCheckWait()
			p.loaded = false
		} else if err != nil && ctx.Err() == nil {
			p.log.WithError(err).Debug("planner step failed")
		}
		p.runTasks(ctx)
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}

// runTasks updates the share factors and runs the added tasks if the lease is held.
func (p *Planner) runTasks(ctx context.Context) {
	now := time.Now()
	if _, ok := p.lease.Valid(now); !ok {
		return
	}
	t, err := table.Decode(p.docs.Get(gossip.KindTable).Data)
	if err != nil {
		return
	}
	for _, task := range append([]PlannerTask{func(ctx context.Context, t table.Table) error { return p.updateFactors(ctx, t, now) }}, p.tasks...) {
		if err := task(ctx, t); err != nil && ctx.Err() == nil {
			p.log.WithError(err).Debug("planner task failed")
		}
	}
}

// leaseCheckWait returns the time to the next read of a lease that another entry holds.
func (p *Planner) leaseCheckWait() time.Duration {
	wait := time.Duration(p.members.View().Count(store.RoleEntry)) * leaseCheckSpacing
	wait = max(stepInterval, min(wait, maxLeaseCheckWait))
	if wait == stepInterval {
		return wait
	}
	return wait/2 + rand.N(wait)
}

// Step acquires or renews the lease and publishes a new plan if it differs from the one in
// force. It returns lease.ErrHeld while another entry holds the lease.
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
	if err := p.rows.update(ctx, p.st, p.factors.meter); err != nil {
		return err
	}
	if err := p.loadPlan(ctx); err != nil {
		return err
	}
	doc, view := p.docs.Get(gossip.KindTable), p.members.View()
	inputs := planInputs{tableVersion: doc.Version, rowsVersion: p.rows.version, viewSeq: view.Seq(), demandVersion: p.rows.demandVersion, computedAt: p.lastInputs.computedAt}
	if !inputs.due(p.lastInputs, now) {
		return nil
	}
	t, err := table.Decode(doc.Data)
	if err != nil {
		return err
	}
	next := p.settings.Compute(t, p.rows.plannable(view), p.last)
	if !plan.SamePlacement(p.last, next) {
		// Compute again in the next step: a plan may build on the previous one.
		p.lastInputs = planInputs{}
		return p.publish(ctx, next)
	}
	inputs.computedAt = now
	p.lastInputs = inputs
	return nil
}

// due reports whether the inputs differ enough from those of the last computation, or that is
// old enough, to compute the plan again.
func (inputs planInputs) due(prev planInputs, now time.Time) bool {
	age := now.Sub(prev.computedAt)
	if inputs == prev {
		return age >= replanInterval
	}
	inputs.demandVersion = prev.demandVersion
	return inputs != prev || age >= demandInterval
}

// loadPlan reads the newest plan after the lease was taken or a commit failed.
func (p *Planner) loadPlan(ctx context.Context) error {
	if p.loaded {
		return nil
	}
	last, head, err := readPlan(ctx, p.st)
	if err != nil {
		return err
	}
	p.last, p.headVersion, p.loaded, p.lastInputs = last, head, true, planInputs{}
	return nil
}

// publish writes a plan on condition that the previous plan is still the newest and the lease is held.
func (p *Planner) publish(ctx context.Context, next plan.Plan) error {
	if _, ok := p.lease.Valid(time.Now()); !ok {
		return lease.ErrHeld
	}
	// A failed commit may have taken effect, so the plan has to be read again.
	p.loaded = false
	version, err := p.st.Commit(ctx, store.Txn{
		Conds:  []store.Cond{{Key: headKey, Version: p.headVersion}, p.lease.Cond()},
		Writes: rowWrites(p.last, next),
	})
	if err != nil {
		return fmt.Errorf("publish plan: %w", err)
	}
	p.warnUnplaced(next)
	p.logMoves(next)
	p.last, p.headVersion, p.loaded = next, version, true
	p.docs.PutIfNewer(gossip.Document{Kind: gossip.KindPlan, Version: next.Version, Data: plan.Encode(next)})
	p.log.WithFields(logrus.Fields{"version": next.Version, "endpoints": len(next.Endpoints), "unplaced": next.Unplaced}).Info("placement: plan published")
	return nil
}

// warnUnplaced logs models that cannot become resident, once per change of the reason.
func (p *Planner) warnUnplaced(next plan.Plan) {
	for _, name := range next.Unplaced {
		why := next.UnplacedReasons[name]
		if why == plan.ReasonOnDemand || p.last.UnplacedReasons[name] == why {
			continue
		}
		p.log.WithFields(logrus.Fields{"model": name, "reason": why, "remedy": why.Remedy()}).Warn("placement: model has no replica")
	}
}
