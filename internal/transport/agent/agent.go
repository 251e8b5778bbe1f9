package agent

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"chervilhead/internal/coordination/gossip"
	"chervilhead/internal/protocol/engine"
	"chervilhead/internal/protocol/wire"
	"chervilhead/internal/state/fairq"
	"chervilhead/internal/state/fault"
	"chervilhead/internal/state/ident"
	"chervilhead/internal/state/jitter"
	"chervilhead/internal/state/plan"
	"chervilhead/internal/state/share"
	"chervilhead/internal/state/table"
	"chervilhead/internal/transport/peer"
)

// Settings shape one agent.
type Settings struct {
	ID            string
	FailureDomain string
	// Slots is the number of attempts that run at once on the endpoint.
	Slots int
	// KeptSlots is the most slots left free for groups below their share while another floods the endpoint.
	KeptSlots int
	// ExtraSlots is how many more attempts the engine batches when a group below its share needs them.
	ExtraSlots int
	// QueueBound is the longest queue over all groups.
	QueueBound int
	// AnswerRetention is how long an ended answer can be resumed.
	AnswerRetention time.Duration
	// ReconnectGrace is how long an attempt waits for its entry to come back after its connection broke.
	ReconnectGrace time.Duration
	// MaxAnswerBytes bounds the answers that the agent holds in total.
	MaxAnswerBytes int64
	// Metrics counts attempts; nil counts nothing.
	Metrics *Metrics
	// Random is the source of random choices.
	Random jitter.Random
}

const (
	// defaultFollowerGrace exceeds the time for which an entry looks for a lost agent.
	defaultFollowerGrace = 5 * time.Second
	defaultAnswerBytes   = 64 << 20
)

// defaultGroupQueue bounds a group's queue when its row sets no bound.
const defaultGroupQueue = 256

// Agent runs the attempts of one endpoint.
type Agent struct {
	cfg         Settings
	backend     Backend
	docs        *gossip.Store
	log         *logrus.Entry
	incarnation string
	epoch       time.Time
	// ctx ends when the process stops for good; attempts run under it.
	ctx context.Context

	mu       sync.Mutex
	attempts map[string]*attempt
	queue    *fairq.Queue[*attempt]
	running  map[string]*attempt
	parked   map[string][]*attempt
	ready    map[string]bool
	wanted   map[string]bool
	table    table.Table
	leaving  bool
	left     chan struct{}
	// meanRun is a moving average of how long an attempt runs.
	meanRun time.Duration
	// meters measure the demand for each model that attempts arrived for.
	meters map[string]plan.DemandMeter
	// asked is when an attempt for a model or an adapter on it last arrived, awaited when
	// an entry last said that requests wait for a model without a copy, and readySince
	// when a model became resident.
	asked, awaited, readySince map[string]time.Time
	// engine is the newest state read back from the engine; it is nil while the engine is away.
	engine  *engine.State
	outs    map[*peer.Conn]*outbox
	watch   watch
	prompts prompts
	// used is the accelerator time that each group has used, factors corrects their weights.
	used    map[string]float64
	factors share.Factors

	// held counts the bytes of all answers held.
	held atomic.Int64
}

// New returns an agent that starts a new incarnation.
func New(ctx context.Context, cfg Settings, backend Backend, docs *gossip.Store, log *logrus.Entry) *Agent {
	if cfg.ReconnectGrace == 0 {
		cfg.ReconnectGrace = defaultFollowerGrace
	}
	if cfg.MaxAnswerBytes == 0 {
		cfg.MaxAnswerBytes = defaultAnswerBytes
	}
	a := &Agent{
		cfg: cfg, backend: backend, docs: docs, log: log, ctx: ctx,
		incarnation: ident.New("inc-"), epoch: time.Now(),
		attempts: map[string]*attempt{}, queue: fairq.New[*attempt]().WithPolicy(cfg.rule()), running: map[string]*attempt{},
		parked: map[string][]*attempt{}, ready: map[string]bool{}, wanted: map[string]bool{}, meters: map[string]plan.DemandMeter{},
		asked: map[string]time.Time{}, awaited: map[string]time.Time{}, readySince: map[string]time.Time{},
		used: map[string]float64{}, outs: map[*peer.Conn]*outbox{}, left: make(chan struct{}),
	}
	a.prompts = newPrompts()
	a.newWatch()
	docs.Subscribe(a.document)
	return a
}

func (s Settings) rule() fairq.Policy {
	r := fairq.DefaultPolicy
	r.KeptSlots, r.ExtraSlots = s.KeptSlots, s.ExtraSlots
	return r
}

// Incarnation returns the id of this run of the agent.
func (a *Agent) Incarnation() string { return a.incarnation }

func (a *Agent) document(d gossip.Document) {
	if d.Kind == gossip.KindShare {
		a.setShares(d.Data)
	}
	if d.Kind != gossip.KindTable {
		return
	}
	t, err := table.Decode(d.Data)
	if err != nil {
		a.log.WithError(err).Error("table document does not decode; the previous one stays in force")
		return
	}
	a.mu.Lock()
	a.table = t
	a.mu.Unlock()
}

// clock returns the agent's monotonic clock in milliseconds.
func (a *Agent) clock() int64 { return time.Since(a.epoch).Milliseconds() }

// Serve handles calls from entries; it implements peer.Handler.
func (a *Agent) Serve(ctx context.Context, c *peer.Conn, method string, params json.RawMessage) (any, error) {
	switch method {
	case wire.MethodHello:
		return a.hello(c, params)
	case wire.MethodStart:
		s, err := peer.Decode[wire.Start](params)
		if err != nil {
			return nil, err
		}
		c.ObserveVersions(s)
		return wire.StartReply{Refused: a.start(c, s), Versions: a.docs.Versions()}, nil
	case wire.MethodCancel:
		s, err := peer.Decode[wire.Cancel](params)
		if err != nil {
			return nil, err
		}
		return wire.CancelReply{State: a.cancel(s)}, nil
	case wire.MethodResume:
		s, err := peer.Decode[wire.Resume](params)
		if err != nil {
			return nil, err
		}
		return wire.ResumeReply{State: a.resume(c, s)}, nil
	case wire.MethodProbe:
		s, err := peer.Decode[wire.Probe](params)
		if err != nil {
			return nil, err
		}
		c.ObserveVersions(s)
		return a.probe(s), nil
	case wire.MethodAwait:
		s, err := peer.Decode[wire.AwaitReport](params)
		if err != nil {
			return nil, err
		}
		c.ObserveVersions(s)
		a.await(s.Model, time.Now())
		return struct{}{}, nil
	case wire.MethodPermit:
		s, err := peer.Decode[wire.Permit](params)
		if err != nil {
			return nil, err
		}
		return a.permit(c, s), nil
	case wire.MethodSuspect:
		s, err := peer.Decode[wire.CrashRecordList](params)
		if err != nil {
			return nil, err
		}
		a.watch.suspects.Receive(s.Records)
		return nil, nil
	case wire.MethodStatus:
		return a.Status(), nil
	case wire.MethodLeave:
		a.Leave()
		return a.Status(), nil
	}
	return nil, peer.UnknownMethod(method)
}

func (a *Agent) hello(c *peer.Conn, params json.RawMessage) (any, error) {
	return peer.AcceptHello(c, params, wire.HelloReply{
		Node: a.cfg.ID, Role: "agent", Incarnation: a.incarnation, FailureDomain: a.cfg.FailureDomain,
		ClockMillis: a.clock(), Versions: a.docs.Versions(),
	})
}

// probe reports the load that a model's next request would meet.
func (a *Agent) probe(p wire.Probe) wire.ProbeReply {
	// The store calls the agent under its own lock, so it is not called under the agent's.
	versions := a.docs.Versions()
	a.mu.Lock()
	defer a.mu.Unlock()
	return wire.ProbeReply{
		Endpoint: a.cfg.ID, Resident: a.backend.alwaysReady() || a.ready[p.Model],
		Running: len(a.running), Slots: a.cfg.Slots, Queued: a.queue.Len(),
		WaitMillis: (a.expectedWait() + a.promptWait()).Milliseconds(), Leaving: a.leaving, Versions: versions,
		CachedTokens: a.prompts.held.CachedTokens(p.Prefix), PromptTokenNanos: a.prompts.perToken.Nanoseconds(),
	}
}

// expectedWait estimates how long a new attempt queues; mu is held.
func (a *Agent) expectedWait() time.Duration {
	ahead := a.queue.Len()
	if len(a.running) < a.cfg.Slots && ahead == 0 {
		return 0
	}
	return a.meanRun * time.Duration(ahead+1) / time.Duration(a.cfg.Slots)
}

// Leave makes the agent refuse new attempts; attempts accepted before run to their end.
func (a *Agent) Leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.leaving {
		a.leaving = true
		close(a.left)
	}
}

// LeaveRequested is closed when the agent leaves.
func (a *Agent) LeaveRequested() <-chan struct{} { return a.left }

// Leaving reports whether the agent refuses new attempts.
func (a *Agent) Leaving() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.leaving
}

// Idle reports whether no attempt is queued or running and every answer has been sent.
func (a *Agent) Idle() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, at := range a.attempts {
		if !at.settled(a.cfg.ReconnectGrace) {
			return false
		}
	}
	return true
}

// SetEngineState takes the engine's state as it was read back, or nil while the engine is away.
func (a *Agent) SetEngineState(s *engine.State) {
	models := map[string]bool{}
	if s != nil {
		for _, r := range s.Residents {
			if r.Usable() {
				models[r.Model] = true
			}
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.engine = s
	a.ready = models
	a.noteReady(time.Now())
	a.observeCache(s)
	for model, list := range a.parked {
		if !models[model] {
			continue
		}
		delete(a.parked, model)
		for _, at := range list {
			a.enqueue(at)
		}
	}
	a.fill()
}

// SetPlacedModels replaces the set of models that the plan places here; attempts for them wait for their load.
func (a *Agent) SetPlacedModels(models map[string]bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.wanted = models
}

func refuse(kind fault.Kind, code, msg string, after time.Duration) *fault.Error {
	return fault.New(kind, code, msg, "send it to another endpoint or retry later").WithRetryAfter(after).WithOutcome(fault.OutcomeNotRun)
}
