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

// Settings configures an Agent.
type Settings struct {
	ID            string
	FailureDomain string
	// Slots is the number of attempts that may run at once on the endpoint.
	Slots int
	// KeptSlots is the maximum number of slots kept free for groups below their share while another group floods the endpoint.
	KeptSlots int
	// ExtraSlots is the number of attempts that groups below their share may run beyond Slots.
	ExtraSlots int
	// QueueBound is the maximum number of waiting attempts over all groups.
	QueueBound int
	// AnswerRetention is how long an answer can be resumed after its end.
	AnswerRetention time.Duration
	// ReconnectGrace is how long an attempt waits for its entry to reconnect; 0 means 5 s.
	ReconnectGrace time.Duration
	// MaxAnswerBytes bounds the answers that the agent holds in total; 0 means 64 MiB.
	MaxAnswerBytes int64
	// Metrics counts attempts; nil disables metrics.
	Metrics *Metrics
	// Random is the source of random choices.
	Random jitter.Random
}

const (
	// defaultReconnectGrace exceeds the time for which an entry tries to reconnect to an agent.
	defaultReconnectGrace = 5 * time.Second
	defaultMaxAnswerBytes = 64 << 20
)

// defaultGroupQueueBound is a group's queue bound, in attempts, when its row sets none.
const defaultGroupQueueBound = 256

// Agent queues and runs the attempts of one endpoint. It is safe for concurrent use.
type Agent struct {
	cfg         Settings
	backend     Backend
	docs        *gossip.Store
	log         *logrus.Entry
	incarnation string
	epoch       time.Time
	// ctx ends when the process stops; attempts run under it.
	ctx context.Context

	mu             sync.Mutex
	attempts       map[string]*attempt
	queue          *fairq.Queue[*attempt]
	running        map[string]*attempt
	pendingLoad    map[string][]*attempt
	ready          map[string]bool
	placed         map[string]bool
	table          table.Table
	leaving        bool
	leaveRequested chan struct{}
	// meanRun is the moving average of the run time of attempts.
	meanRun time.Duration
	// demandMeters measures the demand for each model for which attempts arrived.
	demandMeters map[string]plan.DemandMeter
	// By model, lastArrival is when an attempt for it or for an adapter on it last arrived,
	// lastAwaited when an entry last reported that requests wait for it without a replica,
	// and readySince when it was first read back as usable.
	lastArrival, lastAwaited, readySince map[string]time.Time
	// engine is the latest state read from the engine; nil while the engine does not answer.
	engine   *engine.State
	outboxes map[*peer.Conn]*outbox
	poison   poisonState
	prefill  prefillState
	// used is the accelerator time that each group has used, in token units; factors
	// correct the groups' weights for their use of the whole fleet.
	used    map[string]float64
	factors share.Factors

	// answerBytes is the size of all answers held.
	answerBytes atomic.Int64
}

// New returns an agent with a new incarnation id; its attempts run until ctx ends.
func New(ctx context.Context, cfg Settings, backend Backend, docs *gossip.Store, log *logrus.Entry) *Agent {
	if cfg.ReconnectGrace == 0 {
		cfg.ReconnectGrace = defaultReconnectGrace
	}
	if cfg.MaxAnswerBytes == 0 {
		cfg.MaxAnswerBytes = defaultMaxAnswerBytes
	}
	a := &Agent{
		cfg: cfg, backend: backend, docs: docs, log: log, ctx: ctx,
		incarnation: ident.New("inc-"), epoch: time.Now(),
		attempts: map[string]*attempt{}, queue: fairq.New[*attempt]().WithPolicy(cfg.policy()), running: map[string]*attempt{},
		pendingLoad: map[string][]*attempt{}, ready: map[string]bool{}, placed: map[string]bool{}, demandMeters: map[string]plan.DemandMeter{},
		lastArrival: map[string]time.Time{}, lastAwaited: map[string]time.Time{}, readySince: map[string]time.Time{},
		used: map[string]float64{}, outboxes: map[*peer.Conn]*outbox{}, leaveRequested: make(chan struct{}),
	}
	a.prefill = newPrefillState()
	a.initPoison()
	docs.Subscribe(a.applyDocument)
	return a
}

func (s Settings) policy() fairq.Policy {
	p := fairq.DefaultPolicy
	p.KeptSlots, p.ExtraSlots = s.KeptSlots, s.ExtraSlots
	return p
}

// Incarnation returns the id of this run of the agent's process.
func (a *Agent) Incarnation() string { return a.incarnation }

func (a *Agent) applyDocument(d gossip.Document) {
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

// clockMillis returns the agent's monotonic clock, in milliseconds since its start.
func (a *Agent) clockMillis() int64 { return time.Since(a.epoch).Milliseconds() }

// Serve handles calls from entries and other agents; it implements peer.Handler.
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
		return wire.StartReply{Refused: a.accept(c, s), Versions: a.docs.Versions()}, nil
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
		a.noteAwaited(s.Model, time.Now())
		return struct{}{}, nil
	case wire.MethodPermit:
		s, err := peer.Decode[wire.Permit](params)
		if err != nil {
			return nil, err
		}
		return a.handlePermit(c, s), nil
	case wire.MethodSuspect:
		s, err := peer.Decode[wire.CrashRecordList](params)
		if err != nil {
			return nil, err
		}
		a.poison.tracker.Receive(s.Records)
		a.poison.tracker.ReceiveReports(s.Reports)
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
		ClockMillis: a.clockMillis(), Versions: a.docs.Versions(),
	})
}

// probe reports the load that a new request for a model would meet.
func (a *Agent) probe(p wire.Probe) wire.ProbeReply {
	// The document store calls the agent's subscriptions with its lock held, so calling
	// it with mu held could deadlock.
	versions := a.docs.Versions()
	a.mu.Lock()
	defer a.mu.Unlock()
	return wire.ProbeReply{
		Endpoint: a.cfg.ID, Resident: a.backend.alwaysReady() || a.ready[p.Model],
		Running: len(a.running), Slots: a.cfg.Slots, Queued: a.queue.Len(),
		WaitMillis: (a.expectedWait() + a.prefillWait()).Milliseconds(), Leaving: a.leaving, Versions: versions,
		CachedTokens: a.prefill.cache.CachedTokens(p.Prefix), PrefillPerTokenNanos: a.prefill.timePerToken.Nanoseconds(),
	}
}

// expectedWait estimates the queueing time of a new attempt; mu is held.
func (a *Agent) expectedWait() time.Duration {
	ahead := a.queue.Len()
	if len(a.running) < a.cfg.Slots && ahead == 0 {
		return 0
	}
	return a.meanRun * time.Duration(ahead+1) / time.Duration(a.cfg.Slots)
}

// Leave starts draining: new attempts are rejected, accepted ones run to their end.
func (a *Agent) Leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.leaving {
		a.leaving = true
		close(a.leaveRequested)
	}
}

// LeaveRequested returns a channel that is closed when draining starts.
func (a *Agent) LeaveRequested() <-chan struct{} { return a.leaveRequested }

// Leaving reports whether the agent is draining.
func (a *Agent) Leaving() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.leaving
}

// Idle reports whether no attempt is queued or running and every answer was delivered or
// abandoned by its entry.
func (a *Agent) Idle() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, at := range a.attempts {
		if !at.done(a.cfg.ReconnectGrace) {
			return false
		}
	}
	return true
}

// SetEngineState applies the state read from the engine, or nil if the engine did not
// answer, and queues the attempts whose models have become usable.
func (a *Agent) SetEngineState(state *engine.State) {
	usable := map[string]bool{}
	if state != nil {
		for _, r := range state.Residents {
			if r.Usable() {
				usable[r.Model] = true
			}
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.engine = state
	a.ready = usable
	a.updateReadySince(time.Now())
	a.observeCache(state)
	for model, waiting := range a.pendingLoad {
		if !usable[model] {
			continue
		}
		delete(a.pendingLoad, model)
		for _, at := range waiting {
			a.enqueue(at)
		}
	}
	a.fillSlots()
}

// SetPlacedModels replaces the set of models that the plan places on the endpoint;
// attempts for them are accepted before they are loaded.
func (a *Agent) SetPlacedModels(models map[string]bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.placed = models
}

func rejectionError(kind fault.Kind, code, msg string, after time.Duration) *fault.Error {
	return fault.New(kind, code, msg, "send the request to another endpoint or retry later").WithRetryAfter(after).WithOutcome(fault.OutcomeNotRun)
}
