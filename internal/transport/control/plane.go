package control

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"chervilhead/internal/coordination/keep"
	"chervilhead/internal/coordination/store"
	"chervilhead/internal/coordination/watch"
	"chervilhead/internal/protocol/dgram"
	"chervilhead/internal/state/fleet"
	"chervilhead/internal/state/notice"
	"chervilhead/internal/state/poison"
	"chervilhead/internal/state/resume"
	"chervilhead/internal/state/sender"
	"chervilhead/internal/transport/proxy"
)

// Settings configure a Plane.
type Settings struct {
	// GatewayID identifies the gateway; Listen is its address for datagrams.
	GatewayID, Listen string
	// KeeperPort is the keepers' datagram port on the endpoints' hosts.
	KeeperPort int
	// ModelLoadWindow is the window over which the platform counts loads from the weight store.
	ModelLoadWindow time.Duration
	// SubscribeInterval is the time between subscriptions to all keepers; DemandInterval is the
	// time between reports of demand.
	SubscribeInterval, DemandInterval time.Duration
}

const (
	// adapterResendInterval is the pause before a request for an adapter is sent again.
	adapterResendInterval = 40 * time.Millisecond
	// maxReportAge is the age from which a keeper's report is no longer used.
	maxReportAge = 3 * time.Second
	// trustedReportAge is the age up to which a report takes precedence over the registration.
	// A registration may be as old as one heartbeat interval and one poll interval.
	trustedReportAge = 1800 * time.Millisecond
	// reportDelay is the time after which a report is of a read of the engine that is later than the
	// read of a registration: the keeper reads it every 0.1 s, and waits 0.4 s for an answer.
	reportDelay = 600 * time.Millisecond
	// keeperSilentAfter is the age of the newest report of a keeper whose engine is in use from
	// which its host is suspected of being frozen: more than two heartbeat intervals and the
	// wait for a lost datagram.
	keeperSilentAfter = 650 * time.Millisecond
	// idleReportInterval is the time between reports on the load of engines that this gateway
	// doesn't use. There are as many of them as the deployment has engines.
	idleReportInterval = time.Second
	// idleKeeperSilentAfter is keeperSilentAfter for the keepers of these engines.
	idleKeeperSilentAfter = idleReportInterval + keeperSilentAfter
	// keeperSilentFor is the age at which the suspicion ends, because a keeper may be gone while
	// its endpoint is alive.
	keeperSilentFor = 20 * time.Second
	// keeperStartupTime is the time after a gateway's start in which keepers may not have
	// reported yet: hosts start within 0.3 s of one another, and restart within about 2 s.
	keeperStartupTime = 3 * time.Second
	// maxSnapshotAge is the age from which the states are computed anew even without a report,
	// because a keeper may have fallen silent.
	maxSnapshotAge = 50 * time.Millisecond
	// ticksPerSubscription divides SubscribeInterval: one tick subscribes to the keepers of all
	// engines in use, each one to those that never reported. After a loss of all hosts, keepers
	// start some tenths of a second apart.
	ticksPerSubscription = 4
	// ticksPerIdleSubscription is the number of ticks between subscriptions to the keeper of an
	// engine that isn't in use; it is several times in a subscription's life.
	ticksPerIdleSubscription = 3 * ticksPerSubscription
)

// report is the newest report of one keeper.
type report struct {
	status   fleet.Status
	order    sender.Order
	move     moveProgress
	endpoint string
	gateways int
	// refusedAdapters are adapters for which the endpoint had no free slot.
	refusedAdapters []string
}

// moveProgress is the newest move that a keeper has received, and whether it has ended.
type moveProgress struct {
	fencingToken, id uint64
	done             bool
}

// Plane holds the newest keeper reports and the gateway's part in planning.
type Plane struct {
	cfg   Settings
	view  func() *watch.View
	hooks Hooks
	// observe takes the planner's observations of the store.
	observe func(watch.Observation)
	conn    net.PacketConn
	log     *logrus.Entry
	// startedAt is when the plane was made.
	startedAt time.Time

	mu sync.Mutex
	// reports holds the keepers' newest reports, by address of the endpoint.
	reports map[string]*report
	// gatewayPeak is the highest number of gateways reported lately.
	gatewayPeak gatewayPeak
	known       map[string]bool
	// usedSince holds, by endpoint id, the time from which this gateway asks for reports at the
	// keeper's own interval.
	usedSince    map[string]time.Time
	changed      chan struct{}
	demand       *demandMeter
	planner      *planner
	configHashes engineConfigHashes
	// streamQueries are the queries for records of streams that wait for keepers.
	streamQueries streamQueries
	// byID holds the endpoints of sortedView in order of their ids.
	byID       []fleet.Endpoint
	sortedView *watch.View
	snapshot   atomic.Pointer[snapshot]
	// leavers are the endpoints that said so in answers to this gateway's requests.
	leavers *notice.Leavers
	// outdated is set once the snapshot lacks a report or the newest view.
	outdated atomic.Bool
	credits  *Credits
	pool     *creditPool
	durable  *durable
}

// snapshot holds all endpoints with their newest reports at a time, in order of their ids.
type snapshot struct {
	at     time.Time
	states []fleet.State
}

var _ proxy.ControlPlane = (*Plane)(nil)

// New returns a Plane that listens for datagrams on cfg.Listen. SetHooks and OnObservation
// connect it to the rest of the gateway, and Run serves it.
func New(cfg Settings, view func() *watch.View, lease Lease, table store.TableService, log *logrus.Entry) (*Plane, error) {
	conn, err := net.ListenPacket("udp4", cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen for datagrams on %s: %w; choose a free port", cfg.Listen, err)
	}
	p := &Plane{
		cfg: cfg, view: view,
		hooks: Hooks{
			TakeUsage: func(string) ([]string, []uint64) { return nil, nil }, RecentlyUsed: func(string) bool { return false },
			AddPrefixes: func(fleet.Endpoint, []uint64) {}, MergeCrashReport: func(poison.CrashReport) bool { return false },
			RestoreStreams: func([]resume.Record) {}, RestoreCrashes: func([]poison.CrashReport) {}, KeptCrashes: func(time.Time) []poison.CrashReport { return nil },
		},
		observe: func(watch.Observation) {}, conn: conn, log: log,
		startedAt: time.Now(), reports: map[string]*report{}, usedSince: map[string]time.Time{}, changed: make(chan struct{}), demand: newDemandMeter(), leavers: notice.NewLeavers(),
	}
	p.planner = newPlanner(p, lease, table)
	p.credits, p.pool = newCredits(p), &creditPool{plane: p}
	p.durable = &durable{plane: p, streams: keep.NewStreams(table, cfg.GatewayID, log), crashes: keep.NewCrashes(table, cfg.GatewayID, log), flushWanted: make(chan struct{}, 1)}
	p.snapshot.Store(&snapshot{})
	return p, nil
}

// Hooks connect a Plane to the part of the gateway that handles requests.
type Hooks struct {
	// TakeUsage returns the adapters and the hashes of the prompt prefixes used on an endpoint
	// since the last call.
	TakeUsage func(id string) (adapters []string, prefixes []uint64)
	// RecentlyUsed reports whether the gateway has sent an endpoint a request lately.
	RecentlyUsed func(id string) bool
	// AddPrefixes takes hashes of prompt prefixes, MergeCrashReport crash reports, from other
	// gateways; the latter reports whether they are news.
	AddPrefixes      func(e fleet.Endpoint, prefixes []uint64)
	MergeCrashReport func(r poison.CrashReport) bool
	// RestoreStreams and RestoreCrashes take what earlier processes kept in the store, and KeptCrashes
	// returns the reports to keep there. They may be nil.
	RestoreStreams func(recs []resume.Record)
	RestoreCrashes func(reports []poison.CrashReport)
	KeptCrashes    func(now time.Time) []poison.CrashReport
	// RestoreVersions takes the software versions that the store's row names, once; it may be nil.
	RestoreVersions func(resume.Row)
}

// SetHooks sets the hooks. It must be called before Run.
func (p *Plane) SetHooks(h Hooks) {
	if h.RestoreStreams == nil {
		h.RestoreStreams = p.hooks.RestoreStreams
	}
	if h.RestoreCrashes == nil {
		h.RestoreCrashes = p.hooks.RestoreCrashes
	}
	if h.KeptCrashes == nil {
		h.KeptCrashes = p.hooks.KeptCrashes
	}
	p.hooks = h
}

// OnObservation sets the function that takes the planner's observations of the store. It must
// be called before Run.
func (p *Plane) OnObservation(observe func(watch.Observation)) { p.observe = observe }

// Run receives and sends datagrams, and plans while it holds the lease, until the context ends.
func (p *Plane) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = p.conn.Close() })
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() { p.receive(ctx) })
	wg.Go(func() { p.planner.run(ctx) })
	wg.Go(func() { p.credits.run(ctx) })
	wg.Go(func() { p.restoreVersions(ctx) })
	wg.Go(func() { p.durable.run(ctx) })
	wg.Go(func() {
		tick := time.NewTicker(p.cfg.SubscribeInterval / ticksPerSubscription)
		defer tick.Stop()
		for n := 0; ; n++ {
			p.subscribeDue(n, time.Now())
			select {
			case <-tick.C:
			case <-ctx.Done():
				return
			}
		}
	})
	wg.Wait()
}

// ResignPlanner gives up planning for good, so that a gateway that drains neither makes others
// wait for its lease to expire nor takes the lease again.
func (p *Plane) ResignPlanner() { p.planner.resign.Do(func() { close(p.planner.resigned) }) }

// States returns all endpoints with their newest keeper reports.
func (p *Plane) States() []fleet.State {
	if s := p.snapshot.Load(); !p.outdated.Load() && time.Since(s.at) < maxSnapshotAge {
		return s.states
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.statesLocked()
}

// statesLocked is States for a caller that holds mu.
func (p *Plane) statesLocked() []fleet.State {
	now := time.Now()
	if s := p.snapshot.Load(); !p.outdated.Load() && now.Sub(s.at) < maxSnapshotAge {
		return s.states
	}
	p.outdated.Store(false)
	states := p.buildStates(now)
	p.snapshot.Store(&snapshot{now, states})
	return states
}

// UpdateView applies a new view of the store. It subscribes to the keepers of new endpoints at
// once and, on the planner, announces the observation.
func (p *Plane) UpdateView(v *watch.View) {
	p.mu.Lock()
	var fresh []fleet.Endpoint
	for id, e := range v.Endpoints {
		if !p.known[id] {
			fresh = append(fresh, e)
		}
	}
	p.known = make(map[string]bool, len(v.Endpoints))
	for id := range v.Endpoints {
		p.known[id] = true
	}
	p.outdated.Store(true)
	p.wakeWaiting()
	p.dropOldReports(v, time.Now())
	p.forgetLeavers(v, time.Now())
	p.mu.Unlock()
	if v.HasConfig {
		p.subscribe(v, fresh)
	}
	p.planner.announce(v, time.Now())
}

// wakeWaiting wakes the requests that wait for a change of the states.
func (p *Plane) wakeWaiting() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// dropOldReports drops the reports of keepers that are silent and beside no listed endpoint.
func (p *Plane) dropOldReports(v *watch.View, now time.Time) {
	listed := make(map[string]bool, len(v.Endpoints))
	for _, e := range v.Endpoints {
		listed[e.Address] = true
	}
	for a, r := range p.reports {
		if !listed[a] && now.Sub(r.status.ReceivedAt) > keeperSilentFor {
			delete(p.reports, a)
		}
	}
}

// buildStates combines the endpoints of the view with the newest reports.
func (p *Plane) buildStates(now time.Time) []fleet.State {
	if v := p.view(); v != p.sortedView {
		p.sortedView = v
		p.byID = slices.SortedFunc(maps.Values(v.Endpoints), func(a, b fleet.Endpoint) int { return strings.Compare(a.ID, b.ID) })
	}
	out := make([]fleet.State, 0, len(p.byID))
	for _, e := range p.byID {
		s := fleet.State{Endpoint: e}
		r, ok := p.reports[e.Address]
		if ok {
			s.KeeperSilent = p.keeperSilent(e.ID, r.status.ReceivedAt, now)
		}
		if ok && supersedes(r.status, e, now) {
			if r.endpoint != "" && r.endpoint != e.ID {
				// The host runs another incarnation; the registered one is gone.
				continue
			}
			s.Status, s.StatusSupersedes = r.status, true
			if r.status.Incarnation == e.Incarnation && r.status.ReceivedAt.After(e.ListedAt) {
				s.Unconfirmed = false
			}
		}
		out = append(out, p.withLeaving(s, now))
	}
	return out
}

// keeperSilent reports whether the keeper of an endpoint last reported so long ago that its host
// may be frozen.
func (p *Plane) keeperSilent(id string, reportedAt, now time.Time) bool {
	age := now.Sub(reportedAt)
	if age >= keeperSilentFor {
		return false
	}
	if since, used := p.usedSince[id]; used && now.Sub(since) > keeperSilentAfter {
		return age > keeperSilentAfter
	}
	return age > idleKeeperSilentAfter
}

// supersedes reports whether a keeper's report is used in place of the endpoint's registration.
// A registration is written about once a second; a report that is older than that may date
// from before the endpoint's restart.
func supersedes(st fleet.Status, e fleet.Endpoint, now time.Time) bool {
	age := now.Sub(st.ReceivedAt)
	other := st.Incarnation != e.Incarnation
	switch {
	case age >= maxReportAge:
		return false
	case other && (!st.Alive || st.ReceivedAt.Before(e.ListedAt.Add(reportDelay))):
		// The registration was read after the keeper had read the engine. A keeper whose engine doesn't
		// answer goes on reporting the last incarnation that did.
		return false
	case other:
		return age < trustedReportAge
	case age < trustedReportAge:
		return true
	default:
		return st.Sequence >= e.Sequence
	}
}

// keeperAddr returns the address of the keeper beside an endpoint.
func (p *Plane) keeperAddr(e fleet.Endpoint) (net.Addr, error) {
	ap, err := netip.ParseAddrPort(e.Address)
	if err != nil {
		return nil, fmt.Errorf("the address of endpoint %s: %w", e.ID, err)
	}
	return net.UDPAddrFromAddrPort(netip.AddrPortFrom(ap.Addr(), uint16(p.cfg.KeeperPort))), nil
}

// engineSpec returns the engine of an endpoint's service, or nil for a plain service.
func (p *Plane) engineSpec(v *watch.View, e fleet.Endpoint) *fleet.EngineSpec {
	if !v.HasConfig {
		return nil
	}
	s, ok := v.Config.Service(e.Service)
	if !ok {
		return nil
	}
	return s.Engine
}

var (
	errAdapterNotLoaded = errors.New("the adapter was not loaded in time")
	errNoAdapterSlot    = errors.New("the endpoint has no free adapter slot")
)

// LoadAdapter asks the keeper of an endpoint to load an adapter and waits until it is loaded. It
// fails when the keeper has no free slot for the adapter or the context ends.
func (p *Plane) LoadAdapter(ctx context.Context, e fleet.Endpoint, name fleet.ModelName) error {
	v := p.view()
	spec := p.engineSpec(v, e)
	if spec == nil {
		return errAdapterNotLoaded
	}
	asked := time.Now()
	for {
		p.mu.Lock()
		changed := p.changed
		r := p.reports[e.Address]
		refused := r != nil && r.status.ReceivedAt.After(asked) && slices.Contains(r.refusedAdapters, name.String())
		p.mu.Unlock()
		if refused {
			return errNoAdapterSlot
		}
		for _, s := range p.States() {
			if s.ID == e.ID {
				if _, nameHeld := fleet.Holds(s.Residents(), name); nameHeld {
					return nil
				}
			}
		}
		p.send(e, &dgram.KeeperRequest{WantedAdapters: []string{name.String()}, EngineConfigHash: p.engineConfigHash(v.Config.Version, e.Service, spec)})
		if err := waitForChange(ctx, changed, adapterResendInterval); err != nil {
			return fmt.Errorf("%w: %w", errAdapterNotLoaded, err)
		}
	}
}

// AwaitStateChange waits, for DemandInterval at most, until the models or adapters of an endpoint
// change, and tells the planner that a request waits for a model. It fails only when the
// context ends.
func (p *Plane) AwaitStateChange(ctx context.Context, service, model string) error {
	p.mu.Lock()
	changed := p.changed
	p.mu.Unlock()
	defer p.demand.wait(service, model)()
	p.reportDemand()
	if err := waitForChange(ctx, changed, p.cfg.DemandInterval); err != nil {
		return fmt.Errorf("wait for model %s: %w", model, err)
	}
	return nil
}

// waitForChange waits for a change or the timeout; it fails only when the context ends.
func waitForChange(ctx context.Context, changed <-chan struct{}, timeout time.Duration) error {
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case <-changed:
		return nil
	case <-t.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// RecordDemand records a request for a model with its prefill and output tokens.
func (p *Plane) RecordDemand(service, model string, prefillTokens, outputTokens int) {
	p.demand.add(service, model, prefillTokens, outputTokens, time.Now())
}

// TrackRunning counts a request for a model as running until the returned function is called.
func (p *Plane) TrackRunning(service, model string) func() { return p.demand.run(service, model) }

// RecordNoCapacity records that a request for a model found no free slot or adapter slot.
func (p *Plane) RecordNoCapacity(service, model string) { p.demand.noSlot(service, model, time.Now()) }

// KeepersAbsent reports whether no keeper of a service's endpoints has reported lately, so that
// no model or adapter can be loaded there. It is false until keepers have had time to start.
func (p *Plane) KeepersAbsent(service string) bool {
	now := time.Now()
	if now.Sub(p.startedAt) < keeperStartupTime {
		return false
	}
	v := p.view()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range v.Endpoints {
		if e.Service != service {
			continue
		}
		if r, ok := p.reports[e.Address]; ok && now.Sub(r.status.ReceivedAt) < keeperSilentFor {
			return false
		}
	}
	return true
}
