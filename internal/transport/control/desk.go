package control

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"chervilhead/internal/coordination/store"
	"chervilhead/internal/coordination/watch"
	"chervilhead/internal/protocol/dgram"
	"chervilhead/internal/state/fleet"
	"chervilhead/internal/state/poison"
	"chervilhead/internal/transport/proxy"
)

// Settings shape a desk.
type Settings struct {
	// GatewayID is the gateway's, Listen its address for datagrams.
	GatewayID, Listen string
	// KeeperPort is the port of keepers for datagrams; they run on the endpoints' hosts.
	KeeperPort int
	// ModelLoadWindow is the time over which the platform counts loads from the weight store.
	ModelLoadWindow time.Duration
	// SubscribeInterval is the pause between subscriptions; SayEvery that between reports of demand.
	SubscribeInterval, DemandInterval time.Duration
}

const (
	// fetchAgain is the pause before an ask for an adapter is sent again.
	fetchAgain = 40 * time.Millisecond
	// silent is the age from which a keeper's report is no longer used.
	silent = 3 * time.Second
	// lately is the age up to which a report goes before the registration, which may be
	// a heartbeat and a poll old.
	lately = 1800 * time.Millisecond
	// quietAfter is the age of a keeper's newest report from which its host is suspected,
	// more than two heartbeats and a lost datagram's wait.
	quietAfter = 650 * time.Millisecond
	// quietFor is how long, as a keeper may be gone while its endpoint lives.
	quietFor = 20 * time.Second
	// asksUnheard is how often, between two asks of all keepers, those are asked that never
	// reported: after a loss of all hosts they start some tenths of a second apart.
	asksUnheard = 4
	// defaultGateways is the number of gateways before a keeper has told one.
	defaultGateways = 8
)

// report is the newest state of one keeper.
type report struct {
	load     fleet.Status
	life     int64
	number   uint64
	doing    order
	endpoint string
	gateways int
	// refused are adapters that the keeper had no place for.
	refused []string
}

// order is a planner's order at a keeper.
type order struct {
	term, id uint64
	done     bool
}

// Plane holds the states of keepers.
type Plane struct {
	cfg  Settings
	view func() *watch.View
	// used returns what was used on an endpoint since the last call, learn takes what other
	// gateways saw there.
	used  func(id string) (adapters []string, read []uint64)
	learn func(e fleet.Endpoint, chains []uint64)
	// marked takes what other gateways know of requests that may crash endpoints.
	marked func(m poison.CrashRecord)
	// hear takes what the planner's gateway read in the store.
	hear func(watch.Observation)
	conn net.PacketConn
	log  *logrus.Entry

	mu sync.Mutex
	// reports are by address of the endpoint.
	reports map[string]*report
	known   map[string]bool
	changed chan struct{}
	demand  *demand
	planner *planner
	snap    atomic.Pointer[[]fleet.State]
	hash    specHash
}

var _ proxy.ControlPlane = (*Plane)(nil)

// New returns a desk that listens for datagrams. used returns what was asked for on an
// endpoint since the last call.
func New(cfg Settings, view func() *watch.View, lease Lease, rows store.TableService, log *logrus.Entry) (*Plane, error) {
	conn, err := net.ListenPacket("udp4", cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen for datagrams on %s: %w; choose a free port", cfg.Listen, err)
	}
	d := &Plane{
		cfg: cfg, view: view, used: func(string) ([]string, []uint64) { return nil, nil }, learn: func(fleet.Endpoint, []uint64) {}, marked: func(poison.CrashRecord) {},
		hear: func(watch.Observation) {}, conn: conn, log: log,
		reports: map[string]*report{}, changed: make(chan struct{}), demand: newDemand(),
	}
	d.planner = newPlanner(d, lease, rows)
	empty := []fleet.State{}
	d.snap.Store(&empty)
	return d, nil
}

// SetHooks sets where the desk learns what was used on an endpoint since it asked last,
// and what takes the prompts that other gateways saw there and the requests that they
// suspect. It must be called before Run.
func (d *Plane) SetHooks(used func(id string) ([]string, []uint64), learn func(fleet.Endpoint, []uint64), marked func(poison.CrashRecord)) {
	d.used, d.learn, d.marked = used, learn, marked
}

// OnObservation sets what takes the planner's word of what it read in the store. It must be called
// before Run.
func (d *Plane) OnObservation(hear func(watch.Observation)) { d.hear = hear }

// Run serves the desk until the context ends.
func (d *Plane) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = d.conn.Close() })
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() { d.receive(ctx) })
	wg.Go(func() { d.planner.run(ctx) })
	wg.Go(func() {
		tick := time.NewTicker(d.cfg.SubscribeInterval / asksUnheard)
		defer tick.Stop()
		for n := 0; ; n++ {
			if n%asksUnheard == 0 {
				d.askAll()
			} else {
				d.askUnheard()
			}
			select {
			case <-tick.C:
			case <-ctx.Done():
				return
			}
		}
	})
	wg.Wait()
}

// ResignPlanner gives up planning for good, so that a gateway that stops neither keeps other
// gateways waiting for its lease nor takes it.
func (d *Plane) ResignPlanner() { d.planner.resign.Do(func() { close(d.planner.resigned) }) }

// States returns all endpoints with the newest reports of their keepers.
func (d *Plane) States() []fleet.State { return *d.snap.Load() }

// UpdateView takes over a new view of the store. Keepers that are new are asked at once.
func (d *Plane) UpdateView(v *watch.View) {
	d.mu.Lock()
	var fresh []fleet.Endpoint
	for id, e := range v.Endpoints {
		if !d.known[id] {
			fresh = append(fresh, e)
		}
	}
	d.known = make(map[string]bool, len(v.Endpoints))
	for id := range v.Endpoints {
		d.known[id] = true
	}
	d.rebuild(true)
	d.mu.Unlock()
	if v.HasConfig {
		d.askThese(v, fresh)
	}
	d.planner.announce(v, time.Now())
}

// rebuild makes the snapshot anew; holdings says whether waiting requests should look again.
func (d *Plane) rebuild(holdings bool) {
	v := d.view()
	now := time.Now()
	out := make([]fleet.State, 0, len(v.Endpoints))
	addrs := make(map[string]bool, len(v.Endpoints))
	for _, e := range v.Endpoints {
		addrs[e.Address] = true
		s := fleet.State{Endpoint: e}
		if r, ok := d.reports[e.Address]; ok {
			age := now.Sub(r.load.ReceivedAt)
			s.KeeperSilent = age > quietAfter && age < quietFor
		}
		if r, ok := d.reports[e.Address]; ok && newer(r.load, e, now) {
			if r.endpoint != "" && r.endpoint != e.ID {
				// The host runs another incarnation; this one is gone.
				continue
			}
			s.Status, s.Reported = r.load, true
		}
		out = append(out, s)
	}
	for a := range d.reports {
		if !addrs[a] && now.Sub(d.reports[a].load.ReceivedAt) > quietFor {
			delete(d.reports, a)
		}
	}
	slices.SortFunc(out, func(a, b fleet.State) int { return compare(a.ID, b.ID) })
	d.snap.Store(&out)
	if holdings {
		close(d.changed)
		d.changed = make(chan struct{})
	}
}

// newer reports whether a keeper's report says more of an endpoint than its registration.
// A registration is written about once a second; a report that is older than that may be
// of before the endpoint's restart.
func newer(l fleet.Status, e fleet.Endpoint, now time.Time) bool {
	age := now.Sub(l.ReceivedAt)
	switch {
	case age >= silent || l.Incarnation < e.Incarnation:
		return false
	case age < lately:
		return true
	default:
		return l.Sequence >= e.Sequence
	}
}

func compare(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// keeperAddr returns the address of the keeper beside an endpoint.
func (d *Plane) keeperAddr(e fleet.Endpoint) (net.Addr, error) {
	ap, err := netip.ParseAddrPort(e.Address)
	if err != nil {
		return nil, fmt.Errorf("the address of endpoint %s: %w", e.ID, err)
	}
	return net.UDPAddrFromAddrPort(netip.AddrPortFrom(ap.Addr(), uint16(d.cfg.KeeperPort))), nil
}

// engineOf returns the engine of an endpoint's service, nil for a plain one.
func (d *Plane) engineOf(v *watch.View, e fleet.Endpoint) *fleet.EngineSpec {
	if !v.HasConfig {
		return nil
	}
	s, ok := v.Config.Service(e.Service)
	if !ok {
		return nil
	}
	return s.Engine
}

func (d *Plane) askAll() {
	v := d.view()
	d.askThese(v, slices.Collect(maps.Values(v.Endpoints)))
}

// askUnheard asks the keepers that never reported.
func (d *Plane) askUnheard() {
	v := d.view()
	var list []fleet.Endpoint
	d.mu.Lock()
	for _, e := range v.Endpoints {
		if _, heard := d.reports[e.Address]; !heard {
			list = append(list, e)
		}
	}
	d.mu.Unlock()
	d.askThese(v, list)
}

func (d *Plane) askThese(v *watch.View, list []fleet.Endpoint) {
	for _, e := range list {
		if spec := d.engineOf(v, e); spec != nil {
			used, read := d.used(e.ID)
			d.ask(e, &dgram.KeeperRequest{UsedAdapters: used, CachedPrefixes: read, EngineConfigHash: d.specHash(v.Config.Version, e.Service, spec)})
		}
	}
}

func (d *Plane) ask(e fleet.Endpoint, a *dgram.KeeperRequest) {
	a.Gateway, a.Endpoint, a.Incarnation = d.cfg.GatewayID, e.ID, e.Incarnation
	addr, err := d.keeperAddr(e)
	if err == nil {
		var data []byte
		if data, err = dgram.Encode(a); err == nil {
			_, err = d.conn.WriteTo(data, addr)
		}
	}
	if err != nil {
		d.log.WithError(err).WithField("endpoint", e.ID).Debug("an ask was not sent")
	}
}

func (d *Plane) receive(ctx context.Context) {
	buf := make([]byte, dgram.MaxBytes)
	for {
		n, from, err := d.conn.ReadFrom(buf)
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			d.log.WithError(err).Warn("a datagram could not be read")
			time.Sleep(10 * time.Millisecond)
			continue
		}
		m, err := dgram.Decode(buf[:n])
		if err != nil {
			d.log.WithError(err).WithField("from", from.String()).Debug("a datagram was dropped")
			continue
		}
		switch m := m.(type) {
		case *dgram.EndpointState:
			d.take(m)
		case *dgram.Demand:
			d.planner.take(m, from.String())
		case *dgram.PlannerStatus:
			d.planner.announced(m, from.String(), time.Now())
			if !m.Resigned && d.reported() {
				d.hear(watch.Observation{StoreVersion: m.StoreVersion, EndpointsDigest: m.EndpointsDigest, ConfigVersion: m.ConfigVersion, ConfigConfirmedAt: time.Now().Add(-m.ConfigAge)})
			}
		}
	}
}

// reported reports whether all engines' keepers tell what the registrations would. If one
// doesn't, the gateway reads the registrations itself.
func (d *Plane) reported() bool {
	v := d.view()
	for _, s := range d.States() {
		if !s.Reported && d.engineOf(v, s.Endpoint) != nil {
			return false
		}
	}
	return true
}

// take takes over a keeper's state.
func (d *Plane) take(m *dgram.EndpointState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r, ok := d.reports[m.Address]
	if !ok {
		r = &report{}
		d.reports[m.Address] = r
	}
	if m.KeeperIncarnation < r.life || m.KeeperIncarnation == r.life && m.MessageSequence <= r.number {
		return
	}
	load := fleet.Status{
		ReceivedAt: time.Now(), Incarnation: m.Incarnation, Alive: m.Alive, Running: m.Running, Waiting: m.Waiting, Prefilling: m.Prefilling,
		KVUsedTokens: m.KVUsedTokens, KVTotalTokens: m.KVTotalTokens, Sequence: m.OrderSequence, ExecutingOrder: m.ExecutingOrder, InMemory: m.InMemory, OnDisk: m.OnDisk, AdaptersInUse: m.AdaptersInUse, LoadingModels: m.LoadingModels, ReservedMB: m.ReservedMB,
	}
	for _, x := range m.Models {
		load.Models = append(load.Models, fleet.Resident{Model: x.Name, Version: x.Version, Adapters: x.Adapters})
	}
	for _, age := range m.WeightStoreLoadAges {
		load.StoreLoadStarts = append(load.StoreLoadStarts, load.ReceivedAt.Add(-age))
	}
	for _, p := range m.LoadingAdapters {
		load.LoadingAdapters = append(load.LoadingAdapters, fleet.ParseModelName(p))
	}
	holdings := load.Sequence != r.load.Sequence || load.Alive != r.load.Alive || load.ExecutingOrder != r.load.ExecutingOrder || len(load.Models) != len(r.load.Models) || len(load.LoadingAdapters) > 0 || len(m.RefusedAdapters) > 0
	r.life, r.number, r.load, r.endpoint, r.gateways, r.refused = m.KeeperIncarnation, m.MessageSequence, load, m.Endpoint, m.Gateways, m.RefusedAdapters
	r.doing = order{m.MoveFencingToken, m.MoveID, m.MoveDone}
	d.rebuild(holdings)
	for _, mark := range m.CrashRecords {
		d.marked(fromWire(mark))
	}
	if len(m.CachedPrefixes) > 0 {
		for _, s := range *d.snap.Load() {
			if s.Address == m.Address {
				d.learn(s.Endpoint, m.CachedPrefixes)
			}
		}
	}
}

// An adapter did not come, or the keeper has no place for it.
var (
	errFetch   = errors.New("the adapter was not loaded in time")
	errNoPlace = errors.New("the endpoint has no place for the adapter now")
)

// LoadAdapter asks the keeper of an endpoint for an adapter and waits until it is there.
func (d *Plane) LoadAdapter(ctx context.Context, e fleet.Endpoint, name fleet.ModelName) error {
	v := d.view()
	spec := d.engineOf(v, e)
	if spec == nil {
		return errFetch
	}
	asked := time.Now()
	for {
		d.mu.Lock()
		changed := d.changed
		r := d.reports[e.Address]
		refused := r != nil && r.load.ReceivedAt.After(asked) && slices.Contains(r.refused, name.String())
		d.mu.Unlock()
		if refused {
			return errNoPlace
		}
		for _, s := range d.States() {
			if s.ID == e.ID {
				if _, whole := fleet.Holds(s.Residents(), name); whole {
					return nil
				}
			}
		}
		d.ask(e, &dgram.KeeperRequest{WantedAdapters: []string{name.String()}, EngineConfigHash: d.specHash(v.Config.Version, e.Service, spec)})
		if err := wait(ctx, changed, fetchAgain); err != nil {
			return fmt.Errorf("%w: %w", errFetch, err)
		}
	}
}

// AwaitStateChange waits until what endpoints hold changes, for some time at most, and tells the
// planner that a request waits for a model.
func (d *Plane) AwaitStateChange(ctx context.Context, service, model string) error {
	d.mu.Lock()
	changed := d.changed
	d.mu.Unlock()
	defer d.demand.wait(service, model)()
	d.say()
	if err := wait(ctx, changed, d.cfg.DemandInterval); err != nil {
		return fmt.Errorf("wait for model %s: %w", model, err)
	}
	return nil
}

// wait waits for a change, for some time at most; it fails only when the context ends.
func wait(ctx context.Context, changed <-chan struct{}, most time.Duration) error {
	t := time.NewTimer(most)
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

// RecordDemand notes demand for a model.
func (d *Plane) RecordDemand(service, model string, read, made int) {
	d.demand.add(service, model, read, made, time.Now())
}

// TrackRunning notes that an endpoint has a request for a model until the returned function is
// called.
func (d *Plane) TrackRunning(service, model string) func() { return d.demand.run(service, model) }

// RecordNoCapacity notes that a request for a model found no place for itself or its adapter.
func (d *Plane) RecordNoCapacity(service, model string) { d.demand.crowded(service, model, time.Now()) }

// GatewayCount returns the number of gateways that keepers see.
func (d *Plane) GatewayCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, r := range d.reports {
		n = max(n, r.gateways)
	}
	if n == 0 {
		return defaultGateways
	}
	return n
}
