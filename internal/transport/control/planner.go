package control

import (
	"context"
	"encoding/json"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"chervilhead/internal/coordination/lease"
	"chervilhead/internal/coordination/store"
	"chervilhead/internal/coordination/watch"
	"chervilhead/internal/protocol/dgram"
	"chervilhead/internal/state/bucket"
	"chervilhead/internal/state/fleet"
	"chervilhead/internal/state/replica"
	"chervilhead/internal/state/sender"
)

// Lease is the planner lease; the holder's name is its address for datagrams.
type Lease interface {
	Refresh(ctx context.Context, info json.RawMessage) error
	// Valid returns the fencing token, and whether the lease is in force; it is until Until.
	Valid(now time.Time) (uint64, bool)
	Until() time.Time
	// Holder returns the holder at the last refresh.
	Holder() string
	Release(ctx context.Context) error
	// Yield gives the lease up while the store is unreachable.
	Yield() (token uint64, held bool)
	// ObserveYield records that another holder yielded the lease.
	ObserveYield(token uint64, now time.Time)
	// Cond makes a transaction conditional on this holder still having the lease.
	Cond() store.Cond
}

const (
	// leaseRefreshInterval is the time between refreshes, less than half of the lease's term.
	leaseRefreshInterval = 1600 * time.Millisecond
	// leaseCheckInterval is the time between checks whether a refresh is due.
	leaseCheckInterval = 200 * time.Millisecond
	// plannerSilentAfter is the silence from which the planner may be gone: it announces itself
	// each time it has read the endpoints, every 0.6 s.
	plannerSilentAfter = 900 * time.Millisecond
	// freeLeaseInterval is the time between refreshes while nobody holds the lease.
	freeLeaseInterval = 600 * time.Millisecond
	// leaseRetryInterval is the time until the next refresh after one that failed.
	leaseRetryInterval = 400 * time.Millisecond
	// yieldFailures is the number of refreshes in a row that fail before a planner yields the
	// lease, because the store may serve other gateways.
	yieldFailures = 2
	// yieldTimeLeft is the remaining time of the lease below which a planner yields it after
	// yieldFailures failed refreshes.
	yieldTimeLeft = 1500 * time.Millisecond
	// planInterval is the time between two plans.
	planInterval = 150 * time.Millisecond
	// moveTimeout is how long an unconfirmed move prevents another move on its endpoint.
	moveTimeout = 20 * time.Second
	// moveResendInterval is the pause before a move that the keeper hasn't confirmed is sent again.
	moveResendInterval = 150 * time.Millisecond
	// demandTTL is how long a gateway's report of demand counts.
	demandTTL = 4 * time.Second
	// loadRateShare is the share of the weight store's rate that is used, because the platform's
	// bound applies to sliding windows and an order may start late.
	loadRateShare = 0.9
)

type gatewayDemand struct {
	receivedAt time.Time
	// addr is the gateway's address for datagrams, empty for this gateway itself.
	addr   string
	order  sender.Order
	models []dgram.ModelDemand
}

type pendingMove struct {
	move      replica.Move
	id        uint64
	orderedAt time.Time
	sentAt    time.Time
}

// planner decides on moves while this gateway holds the lease.
type planner struct {
	plane       *Plane
	lease       Lease
	table       store.TableService
	incarnation int64
	// gateways is the number of gateways that the planner last announced, or 0. It is read for
	// each request, without waiting for a plan.
	gateways atomic.Int64

	mu           sync.Mutex
	demands      map[string]gatewayDemand
	pending      map[string]*pendingMove
	heldSince    time.Time
	fencingToken uint64
	leaseUntil   time.Time
	// suspended returns the time for which the machine has been suspended; suspendedAtRefresh is
	// what it returned when leaseUntil was set.
	suspended          func() time.Duration
	suspendedAtRefresh time.Duration
	holder             string
	lastMoveID         uint64
	// loadBuckets limit the loads from the weight store, by service.
	loadBuckets map[string]bucket.Bucket
	sequence    uint64
	// inherited is the demand that the previous planner saved.
	inherited   map[modelKey]dgram.ModelDemand
	inheritedAt time.Time
	// savedAt is when the demand was last saved.
	savedAt time.Time
	// announcedAt is when another gateway last announced itself as the planner.
	announcedAt    time.Time
	versionsWriter versionsWriter
	// wake is signalled when another gateway announces that it resigned or yielded the lease.
	wake chan struct{}
	// refreshFailures counts the refreshes of the lease in a row that got no answer.
	refreshFailures int
	// yieldedToken is the fencing token of a lease that its holder announced as yielded.
	yieldedToken uint64
	// resigned is closed when this gateway gives up planning for good.
	resigned chan struct{}
	resign   sync.Once
}

func newPlanner(plane *Plane, l Lease, table store.TableService) *planner {
	return &planner{plane: plane, lease: l, table: table, incarnation: time.Now().UnixNano(), demands: map[string]gatewayDemand{}, pending: map[string]*pendingMove{}, wake: make(chan struct{}, 1), resigned: make(chan struct{}), suspended: lease.SuspendedTime}
}

// holdsLease reports whether this gateway is the planner at a time. The lease ends earlier by
// the time for which the machine was suspended, in which the monotonic clock stands still.
func (p *planner) holdsLease(now time.Time) bool {
	if p.leaseUntil.IsZero() {
		return false
	}
	return now.Add(p.suspended() - p.suspendedAtRefresh).Before(p.leaseUntil)
}

func (p *planner) run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { p.holdLease(ctx) })
	wg.Go(func() {
		tick := time.NewTicker(p.plane.cfg.DemandInterval)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				p.plane.reportDemand()
			case <-ctx.Done():
				return
			}
		}
	})
	tick := time.NewTicker(planInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			p.plan(time.Now())
		case <-ctx.Done():
			wg.Wait()
			return
		}
	}
}

// handleDemand applies a gateway's report of demand, unless a newer one has arrived.
func (p *planner) handleDemand(m *dgram.Demand, from string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	order, newer := p.demands[m.Gateway].order.With(m.GatewayIncarnation, m.MessageSequence, now)
	if !newer {
		return
	}
	p.demands[m.Gateway] = gatewayDemand{receivedAt: now, addr: from, order: order, models: m.Models}
}

// reportDemand sends the demand at this gateway to the planner.
func (p *Plane) reportDemand() {
	pl := p.planner
	pl.mu.Lock()
	pl.sequence++
	m := &dgram.Demand{Gateway: p.cfg.GatewayID, GatewayIncarnation: pl.incarnation, MessageSequence: pl.sequence, Models: p.demand.list(time.Now())}
	holder := pl.holder
	pl.mu.Unlock()
	if holder == "" || holder == p.cfg.Listen {
		pl.handleDemand(m, "")
		return
	}
	addr, err := net.ResolveUDPAddr("udp4", holder)
	if err == nil {
		var data []byte
		if data, err = dgram.Encode(m); err == nil {
			_, err = p.conn.WriteTo(data, addr)
		}
	}
	if err != nil {
		p.log.WithError(err).WithField("planner", holder).Debug("the demand report was not sent")
	}
}

// plan ends or repeats pending moves and starts the next ones.
func (p *planner) plan(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.holdsLease(now) {
		return
	}
	v := p.plane.view()
	reports := p.plane.currentReports()
	p.confirmMoves(reports, now)
	if !v.HasConfig || !replica.EnoughReports(now.Sub(p.heldSince), len(reports), p.engineHostCount(v)) {
		return
	}
	for name, svc := range v.Config.Services() {
		if svc.Engine == nil {
			continue
		}
		loads := p.loadBuckets[name].WithRate(now, svc.Engine.LoadsPerSecond*loadRateShare)
		demand := replica.WithSlotOccupancy(p.totalDemand(name, now), svc.Engine.Slots)
		begun, notBegun := p.storeLoadStarts(name, reports)
		limit := replica.LoadLimit{Rate: svc.Engine.LoadsPerSecond, Window: p.plane.cfg.ModelLoadWindow}
		for range maxMovesPerPlan {
			after, _, allowed := loads.Take(now, 1)
			allowed = allowed && limit.Allows(begun, notBegun, now)
			m, ok := replica.NextMove(svc.Engine, p.replicaEndpoints(name, svc.Engine, reports, now), demand, allowed)
			if !ok {
				break
			}
			if m.FromStore {
				loads = after
				notBegun++
			}
			p.lastMoveID++
			pm := &pendingMove{move: m, id: p.lastMoveID, orderedAt: now}
			p.pending[m.Endpoint] = pm
			p.plane.log.WithFields(logrus.Fields{
				"term": p.fencingToken, "move": pm.id, "endpoint": m.Endpoint, "drop": m.Unload, "load": m.Load, "from_store": m.FromStore,
				"reason": m.Reason, "work": demand[m.Load].OfferedLoad, "waiting": demand[m.Load].Waiting,
			}).Info("a move was ordered")
			p.sendMove(pm, now)
		}
		p.loadBuckets[name] = loads
	}
}

// storeLoadStarts returns the times at which loads of a service's models from the weight store
// began, and the number of loads that were ordered and haven't begun. A pending move of the
// previous planner counts too, because it may need the weight store.
func (p *planner) storeLoadStarts(service string, reports map[string]endpointReport) (begun []time.Time, notBegun int) {
	for id, r := range reports {
		if r.state.Service != service {
			continue
		}
		begun = append(begun, r.state.Status.StoreLoadStarts...)
		pm, own := p.pending[id]
		switch {
		case own && pm.move.FromStore && !slices.ContainsFunc(r.state.Status.StoreLoadStarts, func(at time.Time) bool { return at.After(pm.orderedAt) }):
			notBegun++
		case !own && r.move.fencingToken != 0 && r.move.fencingToken < p.fencingToken && !r.move.done && len(r.state.Status.StoreLoadStarts) == 0:
			notBegun++
		}
	}
	return begun, notBegun
}

// engineHostCount returns the number of addresses at which engines are registered.
func (p *planner) engineHostCount(v *watch.View) int {
	// Registrations of earlier incarnations remain beside the new ones for a while.
	hosts := map[string]bool{}
	for _, e := range v.Endpoints {
		if p.plane.engineSpec(v, e) != nil {
			hosts[e.Address] = true
		}
	}
	return len(hosts)
}

// maxMovesPerPlan bounds the moves of a service in one plan.
const maxMovesPerPlan = 8

func (p *planner) totalDemand(service string, now time.Time) map[string]replica.Demand {
	out := map[string]replica.Demand{}
	for g, h := range p.demands {
		if now.Sub(h.receivedAt) > demandTTL {
			delete(p.demands, g)
			continue
		}
		for _, m := range h.models {
			if m.Service == service {
				d := out[m.Model]
				d.OfferedLoad += m.OfferedLoad
				d.Waiting += m.Waiting
				d.Running += m.Running
				out[m.Model] = d
			}
		}
	}
	// Until the gateways have measured the demand, that of the previous planner counts.
	if age := now.Sub(p.inheritedAt); age < savedDemandTTL {
		for k, m := range p.inherited {
			if k.service == service {
				d := out[k.model]
				d.OfferedLoad = max(d.OfferedLoad, m.OfferedLoad*(1-float64(age)/float64(savedDemandTTL)))
				out[k.model] = d
			}
		}
	}
	return out
}

// confirmMoves drops moves that have ended or timed out and resends those that are unconfirmed.
func (p *planner) confirmMoves(reports map[string]endpointReport, now time.Time) {
	for id, pm := range p.pending {
		r, ok := reports[id]
		if ok && r.move.fencingToken == p.fencingToken && r.move.id >= pm.id {
			if r.move.done || r.move.id > pm.id {
				delete(p.pending, id)
			}
			continue
		}
		if now.Sub(pm.orderedAt) > moveTimeout || !ok {
			delete(p.pending, id)
			continue
		}
		if now.Sub(pm.sentAt) > moveResendInterval {
			p.sendMove(pm, now)
		}
	}
}

func (p *planner) sendMove(pm *pendingMove, now time.Time) {
	pm.sentAt = now
	v := p.plane.view()
	e, ok := v.Endpoints[pm.move.Endpoint]
	spec := p.plane.engineSpec(v, e)
	if !ok || spec == nil {
		return
	}
	p.plane.send(e, &dgram.KeeperRequest{
		EngineConfigHash: p.plane.engineConfigHash(v.Config.Version, e.Service, spec),
		Move:             &dgram.Move{FencingToken: p.fencingToken, ID: pm.id, Unload: pm.move.Unload, Load: pm.move.Load},
	})
}

// endpointReport is an endpoint with the progress of its newest move.
type endpointReport struct {
	state fleet.State
	move  moveProgress
}

// currentReports returns the endpoints whose keeper reports are in use, by id.
func (p *Plane) currentReports() map[string]endpointReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string]endpointReport{}
	for _, s := range p.statesLocked() {
		if r, ok := p.reports[s.Address]; ok && s.StatusSupersedes {
			out[s.ID] = endpointReport{state: s, move: r.move}
		}
	}
	return out
}

func (p *planner) replicaEndpoints(service string, spec *fleet.EngineSpec, reports map[string]endpointReport, now time.Time) []replica.Endpoint {
	var out []replica.Endpoint
	for _, s := range p.plane.States() {
		if s.Service != service {
			continue
		}
		_, reported := reports[s.ID]
		re := replica.Endpoint{ID: s.ID, Leaving: s.Leaving, Usable: reported && s.Status.Alive && now.Sub(s.Status.ReceivedAt) < maxReportAge}
		if reported && !s.Status.Alive {
			// The models of a dead engine are lost.
			re.Leaving = true
		}
		for _, m := range s.Residents() {
			re.Models = append(re.Models, m.Model)
			re.ReservedMB += float64(len(m.Adapters)) * spec.Models[m.Model].AdapterMB
		}
		if reported {
			re.Models = append(re.Models, s.Status.LoadingModels...)
			re.LoadingModels = slices.Clone(s.Status.LoadingModels)
			re.ReservedMB = max(re.ReservedMB, s.Status.ReservedMB)
		}
		re.LocalWeights = append(slices.Clone(s.Status.InMemory), s.Status.OnDisk...)
		if pm, ok := p.pending[s.ID]; ok {
			re.Usable = false
			re.Models = slices.DeleteFunc(re.Models, func(m string) bool { return slices.Contains(pm.move.Unload, m) })
			if !slices.Contains(re.Models, pm.move.Load) {
				re.Models = append(re.Models, pm.move.Load)
				re.LoadingModels = append(re.LoadingModels, pm.move.Load)
			}
		}
		out = append(out, re)
	}
	return out
}
