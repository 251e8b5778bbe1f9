package keeper

import (
	"context"
	"fmt"
	"net"
	"reflect"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"chervilhead/internal/coordination/watch"
	"chervilhead/internal/protocol/dgram"
	"chervilhead/internal/state/fleet"
)

// Settings shape a keeper.
type Settings struct {
	// Holder names the host to the engine.
	Holder string
	// Service and Address are those of the engine.
	Service, Address string
	// Listen is the address for datagrams.
	Listen string
	// PollInterval is the pause between reports of the engine.
	PollInterval time.Duration
	// MinStateInterval is the pause between states sent to gateways while only the load changes,
	// Heartbeat the longest pause.
	MinStateInterval, HeartbeatInterval time.Duration
}

const (
	// subscription is how long a gateway's ask counts; it asks several times in that time.
	subscription = 4 * time.Second
	// wantFor is how long an adapter is wanted after the last ask for it.
	wantFor = 500 * time.Millisecond
	// moveFor is how long a planner's order is followed; a load takes less.
	moveFor = 20 * time.Second
	// misses is the number of reports in a row without an answer after which the engine
	// counts as dead.
	misses = 2
	// refusedFor is how long gateways are told that an adapter found no place.
	refusedFor = 300 * time.Millisecond
	// keptFor is how long gateways are told of a part of a prompt: three states, as one may
	// be lost; maxKept bounds the parts of one state.
	keptFor, maxKept = 1300 * time.Millisecond, 128
	// markFor is how long gateways are told of a mark, maxMarks bounds those of one state.
	markFor, maxMarks = 2 * time.Second, 16
	// begunFor is how long gateways are told of a load from the weight store, longer than
	// the platform's window; begunStep is the step of its age.
	begunFor, begunStep = 12 * time.Second, 100 * time.Millisecond
	// configRetry is the pause between questions for the configuration.
	configRetry = 400 * time.Millisecond
)

// marked is a mark and when it came.
type marked struct {
	mark dgram.CrashRecord
	at   time.Time
}

type subscriber struct {
	name string
	seen time.Time
}

// Keeper is the keeper of one engine.
type Keeper struct {
	cfg    Settings
	engine Engine
	src    watch.Source
	conn   net.PacketConn
	log    *logrus.Entry
	wake   chan struct{}
	life   int64

	mu       sync.Mutex
	subs     map[string]subscriber
	addrs    map[string]net.Addr
	endpoint string
	// told is set once the engine itself has said its id.
	told   bool
	report Report
	missed int
	spec   *fleet.EngineSpec
	// healthPath is that of the configuration once it was read.
	healthPath string
	fence      uint64
	specWant   uint64
	specHave   uint64
	wants      map[fleet.ModelName]time.Time
	used       map[fleet.ModelName]time.Time
	move       *dgram.Move
	moveAt     time.Time
	term, id   uint64
	done       bool
	refused    map[fleet.ModelName]time.Time
	// kept are the chains of prompt parts that gateways saw the engine read.
	kept map[uint64]time.Time
	// marks are what gateways sent lately of requests that may crash endpoints.
	marks   map[string]marked
	taken   []taken
	restore []string
	// bornAt is when this keeper saw the engine start.
	bornAt   time.Time
	specWake chan struct{}
	doubts   []doubt
	// begun are the times of loads from the weight store.
	begun  []time.Time
	number uint64
	sent   dgram.EndpointState
	sentAt time.Time
}

// New returns a keeper that listens for datagrams.
func New(cfg Settings, engine Engine, src watch.Source, log *logrus.Entry) (*Keeper, error) {
	conn, err := net.ListenPacket("udp4", cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen for datagrams on %s: %w; choose a free port", cfg.Listen, err)
	}
	return &Keeper{
		cfg: cfg, engine: engine, src: src, conn: conn, log: log, wake: make(chan struct{}, 1), specWake: make(chan struct{}, 1), life: time.Now().UnixNano(),
		subs: map[string]subscriber{}, addrs: map[string]net.Addr{},
		wants: map[fleet.ModelName]time.Time{}, used: map[fleet.ModelName]time.Time{}, refused: map[fleet.ModelName]time.Time{}, kept: map[uint64]time.Time{}, marks: map[string]marked{},
	}, nil
}

// Run keeps the engine until the context ends.
func (k *Keeper) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { k.receive(ctx) })
	wg.Go(func() { k.followSpec(ctx) })
	stop := context.AfterFunc(ctx, func() { _ = k.conn.Close() })
	defer stop()
	for ctx.Err() == nil {
		k.poll(ctx)
		for k.act(ctx) {
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

// poll reads the engine's report and tells the gateways what changed.
func (k *Keeper) poll(ctx context.Context) {
	r, err := k.engine.Report(ctx)
	k.mu.Lock()
	defer k.mu.Unlock()
	if err != nil {
		k.missed++
		k.told = false
		if k.missed == misses && ctx.Err() == nil {
			k.log.WithError(err).Warn("the engine doesn't answer")
			k.report.Alive = false
		}
	} else {
		if k.missed >= misses {
			k.log.WithField("missed", k.missed).Info("the engine answers again")
		}
		if r.Incarnation != k.report.Incarnation || r.Sequence < k.report.Sequence {
			k.log.WithFields(logrus.Fields{"born": r.Incarnation, "before": k.report.Incarnation, "sequence": r.Sequence, "in_memory": r.InMemory, "on_disk": r.OnDisk}).Info("the engine started")
			k.used, k.taken = map[fleet.ModelName]time.Time{}, nil
			clear(k.kept)
			k.told, k.bornAt = false, time.Now()
			k.restore = nil
			for _, m := range k.report.Models {
				k.restore = append(k.restore, m.Model)
			}
		}
		if k.bornAt.IsZero() {
			k.bornAt = time.Now()
		}
		if len(r.Models) == 0 && len(k.restore) == 0 {
			// The keeper started anew too; what the host keeps was in use before.
			k.restore = append(slices.Clone(r.InMemory), r.OnDisk...)
		}
		k.missed, k.report = 0, r
	}
	if r.Alive && !k.told {
		k.identify(ctx)
	}
	k.tell()
}

// identify asks the engine for its id, which is new after most restarts; registrations
// under the old one stay for some seconds.
func (k *Keeper) identify(ctx context.Context) {
	path := k.healthPath
	k.mu.Unlock()
	id, err := k.engine.Identify(ctx, path)
	k.mu.Lock()
	if err != nil {
		k.log.WithError(err).Debug("the engine did not say its id")
		return
	}
	if id != k.endpoint {
		k.log.WithFields(logrus.Fields{"endpoint": id, "before": k.endpoint}).Info("the engine said its id")
	}
	k.endpoint, k.told = id, true
}

// tell sends the state to the gateways if it changed or the heartbeat is due.
func (k *Keeper) tell() {
	st := dgram.EndpointState{
		Address: k.cfg.Address, Incarnation: k.report.Incarnation,
		Alive: k.report.Alive, Running: k.report.Running, Waiting: k.report.Waiting, Prefilling: k.report.Prefilling,
		KVUsedTokens: k.report.KVUsedTokens, KVTotalTokens: k.report.KVTotalTokens, OrderSequence: k.report.Sequence, ExecutingOrder: k.report.ExecutingOrder,
		InMemory: k.report.InMemory, OnDisk: k.report.OnDisk, MoveFencingToken: k.term, MoveID: k.id, MoveDone: k.done,
	}
	if k.told {
		st.Endpoint = k.endpoint
	}
	for _, m := range k.report.Models {
		if k.leaving(m.Model) {
			// Requests that come now would wait for the unload and be turned away.
			continue
		}
		st.Models = append(st.Models, dgram.Model{Name: m.Model, Version: m.Version, Adapters: m.Adapters})
	}
	for _, p := range k.report.LoadingAdapters {
		st.LoadingAdapters = append(st.LoadingAdapters, p.String())
	}
	now := time.Now()
	for _, t := range k.taken {
		if !t.unload && t.name.Adapter == "" && !t.ended(k.report, now) {
			st.LoadingModels = append(st.LoadingModels, t.name.Model)
		}
	}
	s := situation{report: k.report, spec: k.spec, doubts: k.doubts, endpoint: st.Endpoint, now: now}
	st.ReservedMB, st.WeightStoreLoadAges = s.reserved(), k.begunLately(s)
	for n, at := range k.refused {
		if now.Sub(at) > refusedFor {
			delete(k.refused, n)
			continue
		}
		st.RefusedAdapters = append(st.RefusedAdapters, n.String())
	}
	slices.Sort(st.RefusedAdapters)
	for c, at := range k.kept {
		if now.Sub(at) > keptFor {
			delete(k.kept, c)
			continue
		}
		if len(st.CachedPrefixes) < maxKept {
			st.CachedPrefixes = append(st.CachedPrefixes, c)
		}
	}
	slices.Sort(st.CachedPrefixes)
	for f, m := range k.marks {
		if now.Sub(m.at) > markFor {
			delete(k.marks, f)
			continue
		}
		st.CrashRecords = append(st.CrashRecords, m.mark)
	}
	slices.SortFunc(st.CrashRecords, func(a, b dgram.CrashRecord) int { return strings.Compare(a.Fingerprint, b.Fingerprint) })
	for _, n := range adapters(k.report) {
		if now.Sub(k.used[n]) < inUse {
			st.AdaptersInUse++
		}
	}
	for a, s := range k.subs {
		if now.Sub(s.seen) > subscription {
			delete(k.subs, a)
			delete(k.addrs, a)
		}
	}
	st.Gateways = len(k.subs)
	if since := now.Sub(k.sentAt); since < k.cfg.MinStateInterval && sameHoldings(st, k.sent) || since < k.cfg.HeartbeatInterval && reflect.DeepEqual(st, k.sent) {
		return
	}
	k.sent, k.sentAt = st, now
	k.number++
	st.KeeperIncarnation, st.MessageSequence = k.life, k.number
	data, err := dgram.Encode(&st)
	if err != nil {
		k.log.WithError(err).Error("the state could not be encoded")
		return
	}
	for _, a := range k.addrs {
		if _, err := k.conn.WriteTo(data, a); err != nil {
			k.log.WithError(err).WithField("gateway", a.String()).Debug("a state was not sent")
		}
	}
}

// sameHoldings reports whether two states differ in the load only.
func sameHoldings(a, b dgram.EndpointState) bool {
	return a.Alive == b.Alive && a.Endpoint == b.Endpoint && a.Incarnation == b.Incarnation && a.OrderSequence == b.OrderSequence && a.ExecutingOrder == b.ExecutingOrder && a.MoveDone == b.MoveDone && a.MoveID == b.MoveID &&
		a.Gateways == b.Gateways && slices.Equal(a.RefusedAdapters, b.RefusedAdapters) && slices.Equal(a.LoadingModels, b.LoadingModels) && reflect.DeepEqual(a.Models, b.Models)
}

// leaving reports whether the planner's order drops a model.
func (k *Keeper) leaving(model string) bool {
	return k.move != nil && slices.Contains(k.move.Unload, model)
}

func (k *Keeper) situation(now time.Time) situation {
	s := situation{report: k.report, spec: k.spec, used: k.used, move: k.move, taken: k.taken, restore: k.restore, born: k.bornAt, planned: k.moveAt.After(k.bornAt), doubts: k.doubts, now: now}
	if k.told {
		s.endpoint = k.endpoint
	}
	for n, at := range k.wants {
		_, whole := fleet.Holds(k.report.Models, n)
		if now.Sub(at) > wantFor || whole {
			delete(k.wants, n)
			continue
		}
		s.wants = append(s.wants, n)
	}
	slices.SortFunc(s.wants, func(a, b fleet.ModelName) int { return k.wants[a].Compare(k.wants[b]) })
	return s
}

// act takes the next step; it returns true if the engine's state may have changed.
func (k *Keeper) act(ctx context.Context) bool {
	k.mu.Lock()
	now := time.Now()
	if k.move != nil && now.Sub(k.moveAt) > moveFor {
		k.endMove("expired")
	}
	k.taken = slices.DeleteFunc(k.taken, func(t taken) bool { return t.ended(k.report, now) })
	k.doubts = slices.DeleteFunc(k.doubts, func(d doubt) bool { return now.Sub(d.at) > doubtFor })
	st := next(k.situation(now))
	o := Order{ExpectedSequence: k.report.Sequence, Holder: k.cfg.Holder, FencingToken: k.fence, ExpectedEndpoint: k.endpoint}
	switch st := st.(type) {
	case idle:
		k.mu.Unlock()
		return false
	case moved:
		k.endMove(st.why)
		k.mu.Unlock()
		return true
	case unfit:
		if _, told := k.refused[st.name]; !told {
			k.log.WithFields(logrus.Fields{"adapter": st.name.String(), "why": st.why}).Info("an adapter was not loaded")
		}
		k.refused[st.name] = now
		delete(k.wants, st.name)
		k.mu.Unlock()
		return true
	case order:
		o.Name, o.Unload = st.name, st.unload
	}
	k.mu.Unlock()

	began := time.Now()
	v, err := k.engine.Order(ctx, o)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.log.WithFields(logrus.Fields{
		"name": o.Name.String(), "unload": o.Unload, "sequence": o.ExpectedSequence, "fence": o.FencingToken,
		"verdict": v.String(), "took_ms": time.Since(began).Milliseconds(),
	}).WithError(err).Info("order given")
	switch v {
	case Unanswered:
		if !o.Unload {
			k.noteLoad(o.Name, now)
			k.doubts = append(k.doubts, doubt{name: o.Name, sequence: o.ExpectedSequence, at: now, endpoint: o.ExpectedEndpoint})
		}
	case Rejected:
		switch {
		case o.Name.Adapter == "":
		case o.Unload:
			// It is in use; the next one makes way.
			k.used[o.Name] = now
		default:
			// Each ask would bring the same order again.
			k.refused[o.Name] = now
			delete(k.wants, o.Name)
		}
		return false
	case Accepted, AlreadyApplied:
		if v == Accepted && !o.Unload {
			k.noteLoad(o.Name, now)
		}
		switch {
		case v == Accepted && (o.Unload || o.Name.Adapter == ""):
			k.taken = append(k.taken, taken{name: o.Name, unload: o.Unload, at: now})
		case o.Name.Adapter != "":
			k.used[o.Name] = now
		}
	}
	return true
}

// noteLoad notes a load that needs the weight store.
func (k *Keeper) noteLoad(n fleet.ModelName, now time.Time) {
	if n.Adapter == "" && !slices.Contains(k.report.InMemory, n.Model) && !slices.Contains(k.report.OnDisk, n.Model) {
		k.begun = append(k.begun, now)
	}
}

// begunLately returns the ages of loads from the weight store, rounded so that the state
// doesn't change all the time. A load whose order got no answer may begin yet.
func (k *Keeper) begunLately(s situation) []time.Duration {
	k.begun = slices.DeleteFunc(k.begun, func(at time.Time) bool { return s.now.Sub(at) > begunFor })
	var ages []time.Duration
	for _, at := range k.begun {
		ages = append(ages, s.now.Sub(at).Truncate(begunStep))
	}
	for _, d := range s.doubts {
		if d.name.Adapter == "" && s.open(d) {
			ages = append(ages, 0)
		}
	}
	return ages
}

func (k *Keeper) endMove(why string) {
	k.log.WithFields(logrus.Fields{"term": k.term, "move": k.id, "why": why}).Info("the planner's order ended")
	k.move, k.done = nil, true
}

// String returns the verdict's name in logs.
func (v OrderResult) String() string {
	return [...]string{"unanswered", "accepted", "holds", "rejected"}[v]
}
