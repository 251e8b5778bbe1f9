package control

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"chervilhead/internal/coordination/lease"
	"chervilhead/internal/coordination/store"
	"chervilhead/internal/coordination/watch"
	"chervilhead/internal/protocol/dgram"
	"chervilhead/internal/state/bucket"
	"chervilhead/internal/state/fleet"
	"chervilhead/internal/state/replica"
)

// Lease grants the planner's authority; the holder's name is its address for datagrams.
type Lease interface {
	Refresh(ctx context.Context, info json.RawMessage) error
	// Valid returns the fencing token while the lease is in force, which it is until Until.
	Valid(now time.Time) (uint64, bool)
	Until() time.Time
	// Holder returns the holder at the last refresh.
	Holder() string
	Release(ctx context.Context) error
	// Yield gives the lease up while the store is out of reach, and Yielded takes over that
	// another holder did.
	Yield() (fence uint64, held bool)
	ObserveYield(fence uint64, now time.Time)
	// Cond requires of a transaction that the lease is still this holder's.
	Cond() store.Cond
}

const (
	// leaseEvery is the pause between refreshes, less than half of the lease's term.
	leaseEvery = 1600 * time.Millisecond
	// lookEvery is the pause between looks whether the lease has to be read.
	lookEvery = 200 * time.Millisecond
	// awayAfter is the silence from which the planner may be gone: it announces itself each
	// time it has read the endpoints, every 0.6 s.
	awayAfter = 900 * time.Millisecond
	// freeEvery is the pause while nobody holds the lease.
	freeEvery = 600 * time.Millisecond
	// renewAgain is the pause after a refresh that failed.
	renewAgain = 400 * time.Millisecond
	// yieldAfter is the number of refreshes that fail in a row before a planner yields the
	// lease: the store may serve other gateways.
	yieldAfter = 2
	// yieldLeft is the time left of the lease below which it is yielded then.
	yieldLeft = 1500 * time.Millisecond
	// planEvery is the pause between decisions.
	planEvery = 150 * time.Millisecond
	// moveTimeout is how long an order under way keeps its endpoint from another one.
	moveTimeout = 20 * time.Second
	// moveAgain is the pause before an order that the keeper hasn't confirmed is sent again.
	moveAgain = 150 * time.Millisecond
	// demandFor is how long a gateway's report of demand counts.
	demandFor = 4 * time.Second
	// loadShare is the share of the weight store's rate that is used; the platform's
	// bound is over sliding windows, and an order may start late.
	loadShare = 0.9
)

type gatewayDemand struct {
	at time.Time
	// from is the gateway's address for datagrams, empty for this gateway itself.
	from   string
	life   int64
	number uint64
	models []dgram.ModelDemand
}

type underway struct {
	move replica.Move
	id   uint64
	at   time.Time
	sent time.Time
}

// planner decides while this gateway holds the lease.
type planner struct {
	desk  *Plane
	lease Lease
	rows  store.TableService
	life  int64

	mu     sync.Mutex
	heard  map[string]gatewayDemand
	moves  map[string]*underway
	since  time.Time
	term   uint64
	until  time.Time
	holder string
	lastID uint64
	// loads are the loads from the weight store that may begin, by service.
	loads  map[string]bucket.Bucket
	number uint64
	// stored is the demand that the planner before wrote down.
	stored   map[modelKey]dgram.ModelDemand
	storedAt time.Time
	// wrote is when the demand was last written down.
	wrote time.Time
	// heardAt is when another gateway last announced that it plans; look is signalled when
	// one says that it no longer does.
	heardAt time.Time
	look    chan struct{}
	// failures counts the refreshes of the lease in a row that got no answer.
	failures int
	// yielded is the token of a lease that its holder said it yielded.
	yielded uint64
	// resigned ends the planner's hold on the lease.
	resigned chan struct{}
	resign   sync.Once
}

func newPlanner(d *Plane, l Lease, rows store.TableService) *planner {
	return &planner{desk: d, lease: l, rows: rows, life: time.Now().UnixNano(), heard: map[string]gatewayDemand{}, moves: map[string]*underway{}, look: make(chan struct{}, 1), resigned: make(chan struct{})}
}

func (p *planner) run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { p.hold(ctx) })
	wg.Go(func() {
		tick := time.NewTicker(p.desk.cfg.DemandInterval)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				p.desk.say()
			case <-ctx.Done():
				return
			}
		}
	})
	tick := time.NewTicker(planEvery)
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

// hold keeps the lease or waits for it, until the context ends or the gateway resigns.
func (p *planner) hold(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-p.resigned:
			cancel()
		case <-ctx.Done():
		}
	}()
	var asked time.Time
	for ctx.Err() == nil {
		if now := time.Now(); p.due(asked, now) {
			asked = now
			err := p.refresh(ctx)
			if err == nil {
				p.remember(ctx, time.Now())
			}
			if err != nil && !errors.Is(err, lease.ErrHeld) && ctx.Err() == nil {
				p.desk.log.WithError(err).Debug("the planner's lease was not refreshed")
				p.yield(time.Now())
			}
		}
		t := time.NewTimer(lookEvery)
		select {
		case <-t.C:
		case <-p.look:
		case <-ctx.Done():
		}
		t.Stop()
	}
	release, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	p.mu.Lock()
	held := time.Now().Before(p.until)
	p.until = time.Time{}
	p.mu.Unlock()
	if err := p.lease.Release(release); err != nil {
		p.desk.log.WithError(err).Info("the planner's lease was not given up; another gateway waits for its term")
		return
	}
	if held {
		p.tell(&dgram.PlannerStatus{Resigned: true}, time.Now())
	}
}

// yield gives the lease up if it will run out before the store answers again, and tells
// the other gateways, so that one that the store serves takes it at once.
func (p *planner) yield(now time.Time) {
	p.mu.Lock()
	left := p.until.Sub(now)
	due := left > 0 && left < yieldLeft && p.failures >= yieldAfter
	if due {
		p.until, p.holder = time.Time{}, ""
	}
	p.mu.Unlock()
	if !due {
		return
	}
	if fence, held := p.lease.Yield(); held {
		p.desk.log.WithFields(logrus.Fields{"term": fence, "left_ms": left.Milliseconds()}).Info("this gateway yields planning: the store doesn't answer it")
		p.tell(&dgram.PlannerStatus{Resigned: true, YieldedToken: fence}, now)
	}
}

func (p *planner) refresh(ctx context.Context) error {
	p.mu.Lock()
	yielded := p.yielded
	p.yielded = 0
	p.mu.Unlock()
	if yielded != 0 {
		p.lease.ObserveYield(yielded, time.Now())
	}
	err := p.lease.Refresh(ctx, nil)
	term, held := p.lease.Valid(time.Now())
	p.mu.Lock()
	known := p.term
	if p.failures++; err == nil || errors.Is(err, lease.ErrHeld) {
		p.failures = 0
	}
	p.mu.Unlock()
	if held && term != known {
		p.recall(ctx)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.holder, p.until = p.lease.Holder(), time.Time{}
	if held {
		p.until = p.lease.Until()
	}
	if held && term != p.term {
		p.desk.log.WithField("term", term).Info("this gateway plans")
		p.term, p.since = term, time.Now()
		p.moves = map[string]*underway{}
		// The planner before may have begun loads just now.
		p.loads = map[string]bucket.Bucket{}
	}
	return err
}

// take takes over what a gateway says of its demand.
func (p *planner) take(m *dgram.Demand, from string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.heard[m.Gateway]
	if m.GatewayIncarnation < old.life || m.GatewayIncarnation == old.life && m.MessageSequence <= old.number {
		return
	}
	p.heard[m.Gateway] = gatewayDemand{at: time.Now(), from: from, life: m.GatewayIncarnation, number: m.MessageSequence, models: m.Models}
}

// say tells the planner the demand at this gateway.
func (d *Plane) say() {
	p := d.planner
	p.mu.Lock()
	p.number++
	m := &dgram.Demand{Gateway: d.cfg.GatewayID, GatewayIncarnation: p.life, MessageSequence: p.number, Models: d.demand.list(time.Now())}
	holder := p.holder
	p.mu.Unlock()
	if holder == "" || holder == d.cfg.Listen {
		p.take(m, "")
		return
	}
	addr, err := net.ResolveUDPAddr("udp4", holder)
	if err == nil {
		var data []byte
		if data, err = dgram.Encode(m); err == nil {
			_, err = d.conn.WriteTo(data, addr)
		}
	}
	if err != nil {
		d.log.WithError(err).WithField("planner", holder).Debug("the demand was not told")
	}
}

// plan gives the next orders.
func (p *planner) plan(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !now.Before(p.until) {
		return
	}
	v := p.desk.view()
	reports := p.desk.reportsNow()
	p.confirm(reports, now)
	if !v.HasConfig || !replica.EnoughReports(now.Sub(p.since), len(reports), p.engineHosts(v)) {
		return
	}
	for name, svc := range v.Config.Services() {
		if svc.Engine == nil {
			continue
		}
		loads := p.loads[name].WithRate(now, svc.Engine.LoadsPerSecond*loadShare)
		demand := replica.WithSlotOccupancy(p.total(name, now), svc.Engine.Slots)
		begun, waiting := p.starts(name, reports)
		starts := replica.LoadLimit{Rate: svc.Engine.LoadsPerSecond, Window: p.desk.cfg.ModelLoadWindow}
		for range maxMoves {
			after, _, may := loads.Take(now, 1)
			may = may && starts.Allows(begun, waiting, now)
			m, ok := replica.NextMove(svc.Engine, p.hosts(name, svc.Engine, reports, now), demand, may)
			if !ok {
				break
			}
			if m.FromStore {
				loads = after
				waiting++
			}
			p.lastID++
			u := &underway{move: m, id: p.lastID, at: now}
			p.moves[m.Endpoint] = u
			p.desk.log.WithFields(logrus.Fields{
				"term": p.term, "move": u.id, "endpoint": m.Endpoint, "drop": m.Unload, "load": m.Load, "from_store": m.FromStore,
				"reason": m.Reason, "work": demand[m.Load].OfferedLoad, "waiting": demand[m.Load].Waiting,
			}).Info("a model moves")
			p.send(u, now)
		}
		p.loads[name] = loads
	}
}

// starts returns the times at which loads of a service's models from the weight store
// began, and the number of those that were ordered and haven't begun. The order of a
// planner before may need the weight store too.
func (p *planner) starts(service string, reports map[string]keeperState) (begun []time.Time, waiting int) {
	for id, r := range reports {
		if r.state.Service != service {
			continue
		}
		begun = append(begun, r.state.Status.StoreLoadStarts...)
		u, own := p.moves[id]
		switch {
		case own && u.move.FromStore && !slices.ContainsFunc(r.state.Status.StoreLoadStarts, func(at time.Time) bool { return at.After(u.at) }):
			waiting++
		case !own && r.doing.term != 0 && r.doing.term < p.term && !r.doing.done && len(r.state.Status.StoreLoadStarts) == 0:
			waiting++
		}
	}
	return begun, waiting
}

// engineHosts counts the hosts on which engines are registered.
func (p *planner) engineHosts(v *watch.View) int {
	// Registrations of incarnations that are gone lie beside the new ones for a while.
	hosts := map[string]bool{}
	for _, e := range v.Endpoints {
		if p.desk.engineOf(v, e) != nil {
			hosts[e.Address] = true
		}
	}
	return len(hosts)
}

// maxMoves bounds the orders of one decision.
const maxMoves = 8

func (p *planner) total(service string, now time.Time) map[string]replica.Demand {
	out := map[string]replica.Demand{}
	for g, h := range p.heard {
		if now.Sub(h.at) > demandFor {
			delete(p.heard, g)
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
	// Until the gateways have measured the demand, that from before the takeover counts.
	if age := now.Sub(p.storedAt); age < storedFor {
		for k, m := range p.stored {
			if k.service == service {
				d := out[k.model]
				d.OfferedLoad = max(d.OfferedLoad, m.OfferedLoad*(1-float64(age)/float64(storedFor)))
				out[k.model] = d
			}
		}
	}
	return out
}

// confirm ends orders that keepers have carried out and repeats those that none has confirmed.
func (p *planner) confirm(reports map[string]keeperState, now time.Time) {
	for id, u := range p.moves {
		r, ok := reports[id]
		if ok && r.doing.term == p.term && r.doing.id >= u.id {
			if r.doing.done || r.doing.id > u.id {
				delete(p.moves, id)
			}
			continue
		}
		if now.Sub(u.at) > moveTimeout || !ok {
			delete(p.moves, id)
			continue
		}
		if now.Sub(u.sent) > moveAgain {
			p.send(u, now)
		}
	}
}

func (p *planner) send(u *underway, now time.Time) {
	u.sent = now
	v := p.desk.view()
	e, ok := v.Endpoints[u.move.Endpoint]
	spec := p.desk.engineOf(v, e)
	if !ok || spec == nil {
		return
	}
	p.desk.ask(e, &dgram.KeeperRequest{
		EngineConfigHash: p.desk.specHash(v.Config.Version, e.Service, spec),
		Move:             &dgram.Move{FencingToken: p.term, ID: u.id, Unload: u.move.Unload, Load: u.move.Load},
	})
}

// keeperState is an endpoint with its keeper's newest state.
type keeperState struct {
	state fleet.State
	doing order
}

// reportsNow returns the endpoints whose keepers reported lately, by id.
func (d *Plane) reportsNow() map[string]keeperState {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := map[string]keeperState{}
	for _, s := range *d.snap.Load() {
		if r, ok := d.reports[s.Address]; ok && s.Reported {
			out[s.ID] = keeperState{state: s, doing: r.doing}
		}
	}
	return out
}

func (p *planner) hosts(service string, spec *fleet.EngineSpec, reports map[string]keeperState, now time.Time) []replica.Endpoint {
	var out []replica.Endpoint
	for _, s := range p.desk.States() {
		if s.Service != service {
			continue
		}
		_, reported := reports[s.ID]
		h := replica.Endpoint{ID: s.ID, Leaving: s.Leaving, Usable: reported && s.Status.Alive && now.Sub(s.Status.ReceivedAt) < silent}
		if reported && !s.Status.Alive {
			// What a dead engine held is gone.
			h.Leaving = true
		}
		for _, m := range s.Residents() {
			h.Models = append(h.Models, m.Model)
			h.ReservedMB += float64(len(m.Adapters)) * spec.Models[m.Model].AdapterMB
		}
		if reported {
			h.Models = append(h.Models, s.Status.LoadingModels...)
			h.LoadingModels = slices.Clone(s.Status.LoadingModels)
			h.ReservedMB = max(h.ReservedMB, s.Status.ReservedMB)
		}
		h.LocalWeights = append(slices.Clone(s.Status.InMemory), s.Status.OnDisk...)
		if u, ok := p.moves[s.ID]; ok {
			h.Usable = false
			h.Models = slices.DeleteFunc(h.Models, func(m string) bool { return slices.Contains(u.move.Unload, m) })
			if !slices.Contains(h.Models, u.move.Load) {
				h.Models = append(h.Models, u.move.Load)
				h.LoadingModels = append(h.LoadingModels, u.move.Load)
			}
		}
		out = append(out, h)
	}
	return out
}
