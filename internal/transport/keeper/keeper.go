package keeper

import (
	"context"
	"fmt"
	"net"
	"reflect"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"chervilhead/internal/coordination/watch"
	"chervilhead/internal/protocol/dgram"
	"chervilhead/internal/state/fleet"
	"chervilhead/internal/state/poison"
	"chervilhead/internal/state/resume"
)

// Settings are the settings of a keeper.
type Settings struct {
	// Holder is the name under which the keeper gives orders to the engine.
	Holder string
	// Service is the engine's service in the configuration, Address the address that the
	// endpoint state reports name.
	Service, Address string
	// Listen is the UDP address for datagrams.
	Listen string
	// PollInterval is the pause between reads of the engine's report.
	PollInterval time.Duration
	// HeartbeatInterval is the time between endpoint state reports that differ in the load
	// only, to gateways that ask for no longer one.
	HeartbeatInterval time.Duration
}

const (
	// subscriptionTimeout is how long a gateway stays subscribed after a request; it sends
	// several in that time.
	subscriptionTimeout = 4 * time.Second
	// maxReportInterval bounds the interval between reports that a gateway may ask for, so that
	// its subscription lasts longer.
	maxReportInterval = 2 * time.Second
	// wantedAdapterTTL is how long an adapter stays wanted after a request for it; further
	// requests in that time don't extend it.
	wantedAdapterTTL = 500 * time.Millisecond
	// moveTimeout bounds the execution of a planner's move; a load takes less.
	moveTimeout = 20 * time.Second
	// missedReportLimit is the number of consecutive failed report calls after which the
	// engine counts as dead.
	missedReportLimit = 2
	// refusalTTL is how long gateways are told that an adapter could not be loaded.
	refusalTTL = 300 * time.Millisecond
	// cachedPrefixTTL is how long gateways are told of a cached prefix: for three reports,
	// because one may be lost.
	cachedPrefixTTL = 1300 * time.Millisecond
	// maxCachedPrefixes bounds the cached prefixes of one report.
	maxCachedPrefixes = 128
	// storeLoadTTL is how long gateways are told of a load from the weight store, longer than
	// the window of the platform's rate limit.
	storeLoadTTL = 12 * time.Second
	// storeLoadAgeStep is the resolution of the age of a load from the weight store.
	storeLoadAgeStep = 100 * time.Millisecond
	// configRetryInterval is the pause between attempts to read the configuration.
	configRetryInterval = 400 * time.Millisecond
)

type subscriber struct {
	gateway  string
	addr     net.Addr
	lastSeen time.Time
	// interval is the time between reports that differ in the load only.
	interval   time.Duration
	lastSentAt time.Time
}

// Keeper polls one engine, gives it orders and reports its state to the gateways.
type Keeper struct {
	cfg         Settings
	engine      Engine
	src         watch.Source
	conn        net.PacketConn
	log         *logrus.Entry
	wake        chan struct{}
	incarnation int64

	mu          sync.Mutex
	subscribers map[string]*subscriber
	endpoint    string
	// identified is set while endpoint is the id that the engine itself reported.
	identified    bool
	report        Report
	missedReports int
	spec          *fleet.EngineSpec
	// incarnations are those of the engine that this keeper has met, the latest one last.
	incarnations []int64
	// pausedUntil is the end of the pause that the engine's incarnation asked for.
	pausedUntil time.Time
	// healthPath is the health check's path, or empty until the configuration was read.
	healthPath   string
	fencingToken uint64
	// newestConfig is the highest version of the configuration that a gateway has named, and
	// configHolder the address of the one that did so last.
	newestConfig      uint64
	configHolder      string
	wantedConfigHash  uint64
	configHash        uint64
	wantedAdapters    map[fleet.ModelName]time.Time
	lastUsed          map[fleet.ModelName]time.Time
	move              *dgram.Move
	moveReceivedAt    time.Time
	moveToken, moveID uint64
	moveDone          bool
	refusedAdapters   map[fleet.ModelName]time.Time
	// cachedPrefixes are the hashes of prompt prefixes that the engine prefilled, as gateways
	// report.
	cachedPrefixes map[uint64]time.Time
	// suspects are the crash reports of gateways.
	suspects *poison.Suspects
	// streams are the records of streams that gateways sent.
	streams        *resume.Records
	acceptedOrders []acceptedOrder
	restoreModels  []string
	// engineStartedAt is when this keeper first saw the engine's current incarnation.
	engineStartedAt time.Time
	configWake      chan struct{}
	unanswered      []unansweredOrder
	// storeLoads are the times at which loads from the weight store were ordered.
	storeLoads      []time.Time
	messageSequence uint64
	lastState       dgram.EndpointState
	// reportDue is set while all subscribers are to get a report at once.
	reportDue bool
}

// New returns a keeper that listens for datagrams; Run starts it.
func New(cfg Settings, engine Engine, src watch.Source, log *logrus.Entry) (*Keeper, error) {
	conn, err := net.ListenPacket("udp4", cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen for datagrams on %s: %w; choose a free port", cfg.Listen, err)
	}
	return &Keeper{
		cfg: cfg, engine: engine, src: src, conn: conn, log: log, wake: make(chan struct{}, 1), configWake: make(chan struct{}, 1), incarnation: time.Now().UnixNano(),
		subscribers:    map[string]*subscriber{},
		wantedAdapters: map[fleet.ModelName]time.Time{}, lastUsed: map[fleet.ModelName]time.Time{}, refusedAdapters: map[fleet.ModelName]time.Time{}, cachedPrefixes: map[uint64]time.Time{}, suspects: poison.NewSuspects(), streams: resume.NewRecords(),
	}, nil
}

// Close closes the listener of a keeper that isn't run.
func (k *Keeper) Close() { _ = k.conn.Close() }

// Run polls the engine and handles gateways' requests until the context ends.
func (k *Keeper) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { k.receive(ctx) })
	wg.Go(func() { k.followConfig(ctx) })
	stop := context.AfterFunc(ctx, func() { _ = k.conn.Close() })
	defer stop()
	for ctx.Err() == nil {
		k.poll(ctx)
		for k.runStep(ctx) {
			k.poll(ctx)
		}
		t := time.NewTimer(k.cfg.PollInterval)
		select {
		case <-t.C:
		case <-k.wake:
		case <-ctx.Done():
		}
		t.Stop()
	}
	wg.Wait()
}

// poll reads the engine's report and publishes what changed.
func (k *Keeper) poll(ctx context.Context) {
	if k.paused() {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.publishState()
		return
	}
	r, err := k.engine.Report(ctx)
	k.mu.Lock()
	defer k.mu.Unlock()
	if err != nil && k.recordPause(err) {
		// An engine that asks for a pause is alive.
		k.missedReports = 0
		k.publishState()
		return
	}
	if err != nil {
		k.missedReports++
		k.identified = false
		if k.missedReports == missedReportLimit && ctx.Err() == nil {
			k.log.WithError(err).Warn("the engine doesn't answer")
			k.report.Alive = false
		}
	} else {
		if k.missedReports >= missedReportLimit {
			k.log.WithField("missed", k.missedReports).Info("the engine answers again")
		}
		if r.Incarnation != k.report.Incarnation || r.Sequence < k.report.Sequence {
			k.log.WithFields(logrus.Fields{"born": r.Incarnation, "before": k.report.Incarnation, "sequence": r.Sequence, "in_memory": r.InMemory, "on_disk": r.OnDisk}).Info("the engine started")
			k.pausedUntil = time.Time{}
			k.lastUsed, k.acceptedOrders = map[fleet.ModelName]time.Time{}, nil
			clear(k.cachedPrefixes)
			k.identified, k.engineStartedAt = false, time.Now()
			k.restoreModels = nil
			for _, m := range k.report.Models {
				k.restoreModels = append(k.restoreModels, m.Model)
			}
		}
		if k.engineStartedAt.IsZero() {
			k.engineStartedAt = time.Now()
		}
		if len(r.Models) == 0 && len(k.restoreModels) == 0 {
			// The keeper restarted too; the weights that the host still has were in use before.
			k.restoreModels = append(slices.Clone(r.InMemory), r.OnDisk...)
		}
		if r.NoticeErr != nil && k.report.NoticeErr == nil {
			k.log.WithError(r.NoticeErr).Warn("a notice of the engine is not readable; it counts as none")
		}
		if r.Leaving && !k.report.Leaving {
			k.log.WithField("born", r.Incarnation).Info("the engine says that it leaves")
		}
		k.meet(r.Incarnation)
		k.missedReports, k.report = 0, r
	}
	if r.Alive && !k.identified && !time.Now().Before(k.pausedUntil) {
		k.identify(ctx)
	}
	k.publishState()
}

// identify asks the engine for its endpoint id, which changes at most restarts while the
// registration under the old id stays for some seconds. The caller holds mu, which is
// released during the call.
func (k *Keeper) identify(ctx context.Context) {
	path := k.healthPath
	k.mu.Unlock()
	id, err := k.engine.Identify(ctx, path)
	k.mu.Lock()
	if err != nil {
		k.recordPause(err)
	}
	if id == "" {
		k.log.WithError(err).Debug("the engine's id could not be read")
		return
	}
	if id != k.endpoint {
		k.log.WithFields(logrus.Fields{"endpoint": id, "before": k.endpoint}).Info("the engine reported a new id")
	}
	k.endpoint, k.identified = id, true
}

// publishState sends the endpoint state report to the gateways if it changed or a
// heartbeat is due.
func (k *Keeper) publishState() {
	st := dgram.EndpointState{
		Address: k.cfg.Address, Incarnation: k.report.Incarnation,
		Alive: k.report.Alive, Leaving: k.report.Leaving, Running: k.report.Running, Waiting: k.report.Waiting, Prefilling: k.report.Prefilling,
		KVUsedTokens: k.report.KVUsedTokens, KVTotalTokens: k.report.KVTotalTokens, OrderSequence: k.report.Sequence, ExecutingOrder: k.report.ExecutingOrder,
		InMemory: k.report.InMemory, OnDisk: k.report.OnDisk, MoveFencingToken: k.moveToken, MoveID: k.moveID, MoveDone: k.moveDone,
	}
	if k.identified {
		st.Endpoint = k.endpoint
	}
	for _, m := range k.report.Models {
		if k.unloadingForMove(m.Model) {
			// New requests for the model would wait for the unload and be rejected.
			continue
		}
		st.Models = append(st.Models, dgram.Model{Name: m.Model, Version: m.Version, Adapters: m.Adapters})
	}
	for _, p := range k.report.LoadingAdapters {
		st.LoadingAdapters = append(st.LoadingAdapters, p.String())
	}
	now := time.Now()
	for _, o := range k.acceptedOrders {
		if !o.unload && o.name.Adapter == "" && !o.ended(k.report, now) {
			st.LoadingModels = append(st.LoadingModels, o.name.Model)
		}
	}
	s := snapshot{report: k.report, spec: k.spec, unanswered: k.unanswered, endpoint: st.Endpoint, now: now}
	st.ReservedMB, st.WeightStoreLoadAges = s.reservedMB(), k.storeLoadAges(s)
	for n, at := range k.refusedAdapters {
		if now.Sub(at) > refusalTTL {
			delete(k.refusedAdapters, n)
			continue
		}
		st.RefusedAdapters = append(st.RefusedAdapters, n.String())
	}
	slices.Sort(st.RefusedAdapters)
	for c, at := range k.cachedPrefixes {
		if now.Sub(at) > cachedPrefixTTL {
			delete(k.cachedPrefixes, c)
			continue
		}
		if len(st.CachedPrefixes) < maxCachedPrefixes {
			st.CachedPrefixes = append(st.CachedPrefixes, c)
		}
	}
	slices.Sort(st.CachedPrefixes)
	for _, n := range heldAdapters(k.report) {
		if now.Sub(k.lastUsed[n]) < adapterUseTTL {
			st.AdaptersInUse++
		}
	}
	for a, s := range k.subscribers {
		if now.Sub(s.lastSeen) > subscriptionTimeout {
			delete(k.subscribers, a)
		}
	}
	st.Gateways = len(k.subscribers)
	st.ConfigVersion, st.ConfigHolder = k.newestConfig, k.configHolder
	k.sendReport(st, now)
}

// sendReport sends an endpoint state report to the gateways that are due one: all of them if
// more than the load has changed.
func (k *Keeper) sendReport(st dgram.EndpointState, now time.Time) {
	all := k.reportDue || !equalExceptLoad(st, k.lastState)
	k.lastState, k.reportDue = st, false
	var due []*subscriber
	for _, s := range k.subscribers {
		if all || now.Sub(s.lastSentAt) >= s.interval {
			due = append(due, s)
		}
	}
	if len(due) == 0 {
		return
	}
	k.messageSequence++
	st.KeeperIncarnation, st.MessageSequence = k.incarnation, k.messageSequence
	data, err := dgram.Encode(&st)
	if err != nil {
		k.log.WithError(err).Error("the endpoint state report could not be encoded")
		return
	}
	for _, s := range due {
		s.lastSentAt = now
		if _, err := k.conn.WriteTo(data, s.addr); err != nil {
			k.log.WithError(err).WithField("gateway", s.gateway).Debug("an endpoint state report could not be sent")
		}
	}
}

// equalExceptLoad reports whether two reports agree in all that must be sent at once; the
// rest, mostly the load, may wait for each subscriber's interval.
func equalExceptLoad(a, b dgram.EndpointState) bool {
	return a.Alive == b.Alive && a.Leaving == b.Leaving && a.Endpoint == b.Endpoint && a.Incarnation == b.Incarnation && a.OrderSequence == b.OrderSequence && a.ExecutingOrder == b.ExecutingOrder && a.MoveDone == b.MoveDone && a.MoveID == b.MoveID &&
		slices.Equal(a.RefusedAdapters, b.RefusedAdapters) && slices.Equal(a.LoadingModels, b.LoadingModels) && reflect.DeepEqual(a.Models, b.Models)
}

// unloadingForMove reports whether the planner's current move unloads a model.
func (k *Keeper) unloadingForMove(model string) bool {
	return k.move != nil && slices.Contains(k.move.Unload, model)
}

func (k *Keeper) snapshot(now time.Time) snapshot {
	s := snapshot{report: k.report, spec: k.spec, lastUsed: k.lastUsed, move: k.move, acceptedOrders: k.acceptedOrders, restoreModels: k.restoreModels, engineStartedAt: k.engineStartedAt, movedSinceStart: k.moveReceivedAt.After(k.engineStartedAt), unanswered: k.unanswered, now: now}
	if k.identified {
		s.endpoint = k.endpoint
	}
	for n, at := range k.wantedAdapters {
		_, held := fleet.Holds(k.report.Models, n)
		if now.Sub(at) > wantedAdapterTTL || held {
			delete(k.wantedAdapters, n)
			continue
		}
		s.wantedAdapters = append(s.wantedAdapters, n)
	}
	slices.SortFunc(s.wantedAdapters, func(a, b fleet.ModelName) int { return k.wantedAdapters[a].Compare(k.wantedAdapters[b]) })
	return s
}

// runStep takes the next step. It returns true if another step may follow at once.
func (k *Keeper) runStep(ctx context.Context) bool {
	k.mu.Lock()
	now := time.Now()
	if now.Before(k.pausedUntil) {
		k.mu.Unlock()
		return false
	}
	if k.move != nil && now.Sub(k.moveReceivedAt) > moveTimeout {
		k.endMove("expired")
	}
	k.acceptedOrders = slices.DeleteFunc(k.acceptedOrders, func(o acceptedOrder) bool { return o.ended(k.report, now) })
	k.unanswered = slices.DeleteFunc(k.unanswered, func(o unansweredOrder) bool { return now.Sub(o.sentAt) > unansweredOrderTimeout })
	st := nextStep(k.snapshot(now))
	o := Order{ExpectedSequence: k.report.Sequence, Holder: k.cfg.Holder, FencingToken: k.fencingToken, ExpectedEndpoint: k.endpoint}
	switch st := st.(type) {
	case idle:
		k.mu.Unlock()
		return false
	case moveEnded:
		k.endMove(st.reason)
		k.mu.Unlock()
		return true
	case adapterRefused:
		if _, known := k.refusedAdapters[st.name]; !known {
			k.log.WithFields(logrus.Fields{"adapter": st.name.String(), "why": st.reason}).Info("an adapter was not loaded")
		}
		k.refusedAdapters[st.name] = now
		delete(k.wantedAdapters, st.name)
		k.mu.Unlock()
		return true
	case order:
		o.Name, o.Unload = st.name, st.unload
	}
	k.mu.Unlock()

	began := time.Now()
	result, err := k.engine.Order(ctx, o)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.recordPause(err)
	k.log.WithFields(logrus.Fields{
		"name": o.Name.String(), "unload": o.Unload, "sequence": o.ExpectedSequence, "fence": o.FencingToken,
		"verdict": result.String(), "took_ms": time.Since(began).Milliseconds(),
	}).WithError(err).Info("order given")
	switch result {
	case Unanswered:
		if !o.Unload {
			k.recordStoreLoad(o.Name, now)
			k.unanswered = append(k.unanswered, unansweredOrder{name: o.Name, sequence: o.ExpectedSequence, sentAt: now, endpoint: o.ExpectedEndpoint})
		}
	case Rejected:
		switch {
		case o.Name.Adapter == "":
		case o.Unload:
			// The adapter is in use; the next choice is another one.
			k.lastUsed[o.Name] = now
		default:
			// Otherwise each request for the adapter would repeat the order.
			k.refusedAdapters[o.Name] = now
			delete(k.wantedAdapters, o.Name)
		}
		return false
	case Accepted, AlreadyApplied:
		if result == Accepted && !o.Unload {
			k.recordStoreLoad(o.Name, now)
		}
		switch {
		case result == Accepted && (o.Unload || o.Name.Adapter == ""):
			k.acceptedOrders = append(k.acceptedOrders, acceptedOrder{name: o.Name, unload: o.Unload, acceptedAt: now})
		case o.Name.Adapter != "":
			k.lastUsed[o.Name] = now
		}
	}
	return true
}

// recordStoreLoad records a load if it has to read the weight store.
func (k *Keeper) recordStoreLoad(n fleet.ModelName, now time.Time) {
	if n.Adapter == "" && !slices.Contains(k.report.InMemory, n.Model) && !slices.Contains(k.report.OnDisk, n.Model) {
		k.storeLoads = append(k.storeLoads, now)
	}
}

// storeLoadAges returns the ages of loads from the weight store, rounded so that the report
// doesn't change at each poll. A load whose order is unanswered may yet begin: its age is 0.
func (k *Keeper) storeLoadAges(s snapshot) []time.Duration {
	k.storeLoads = slices.DeleteFunc(k.storeLoads, func(at time.Time) bool { return s.now.Sub(at) > storeLoadTTL })
	var ages []time.Duration
	for _, at := range k.storeLoads {
		ages = append(ages, s.now.Sub(at).Truncate(storeLoadAgeStep))
	}
	for _, o := range s.unanswered {
		if o.name.Adapter == "" && s.mayStillApply(o) {
			ages = append(ages, 0)
		}
	}
	return ages
}

func (k *Keeper) endMove(why string) {
	k.log.WithFields(logrus.Fields{"term": k.moveToken, "move": k.moveID, "why": why}).Info("the planner's move ended")
	k.move, k.moveDone = nil, true
}

// String returns the result's name in logs.
func (v OrderResult) String() string {
	return [...]string{"unanswered", "accepted", "holds", "rejected"}[v]
}
