package engsim

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"chervilhead/internal/coordination/store"
	"chervilhead/internal/protocol/engine"
	"chervilhead/internal/state/fault"
	"chervilhead/internal/state/ident"
)

// Settings shape one stand-in engine.
type Settings struct {
	ID               string        `yaml:"id"`
	MemoryTotalBytes int64         `yaml:"memory_total_bytes"`
	KVBytes          int64         `yaml:"kv_bytes"`
	Slots            int           `yaml:"slots"`
	TokenInterval    time.Duration `yaml:"token_interval"`
	// PrefillPerToken is the time per prompt token that is not cached.
	PrefillPerToken time.Duration `yaml:"prefill_per_token"`
	// LoadBytesPerSecond is the speed of a load.
	LoadBytesPerSecond int64         `yaml:"load_bytes_per_second"`
	PrefixBlocks       int           `yaml:"prefix_blocks"`
	ChecksFencingToken bool          `yaml:"checks_fence"`
	CrashOn            string        `yaml:"crash_on"`
	RestartDelay       time.Duration `yaml:"restart_delay"`
	// RoleKVBytes is the KV cache of each role; a role without an entry has KVBytes.
	RoleKVBytes map[string]int64 `yaml:"role_kv_bytes"`
	OrderFaults OrderFaults      `yaml:"order_faults"`
	Resume      Resume           `yaml:"resume"`
	// StreamFaults says how connections with answers break.
	StreamFaults StreamFaults `yaml:"stream_faults"`
	// ReportLag is how old the state is that the engine reports.
	ReportLag   time.Duration    `yaml:"report_lag"`
	CacheEvents CacheEventFaults `yaml:"cache_events"`
}

// Execution is one execution in the engine's log.
type Execution struct {
	ID       string
	Model    string
	Prompt   string
	Tokens   int
	Finished bool
}

var errDown = errors.New("engine is down")

// appliedKept is the number of order ids that the engine remembers.
const appliedKept = 256

// Engine is the stand-in's state.
type Engine struct {
	cfg     Settings
	weights store.Weights

	mu          sync.Mutex
	cond        *sync.Cond
	incarnation string
	down        bool
	restarts    int
	fence       uint64
	role        string
	residents   map[string]engine.ResidentModel
	staging     int64
	applied     []string
	running     map[string]*run
	waiting     []*run
	prefixes    *prefixCache
	log         []Execution
	overcommits int
	faults      *orderFaults
	breaks      *breaks
	// records holds the answers that can be resumed, kept those among them that have ended.
	records map[string]*record
	kept    []*record
	// reports is the states that lagging reports still have to show, oldest first.
	reports []report
	// life is cancelled when the engine crashes.
	life   context.Context
	crash  context.CancelFunc
	closed bool
}

type run struct {
	id       string
	priority int
	seq      int
	start    chan struct{}
	cancel   context.CancelFunc
	// life is that of the engine's incarnation.
	life context.Context
}

// New returns a running engine that reads weights from w.
func New(cfg Settings, w store.Weights) *Engine {
	cfg.Resume = cfg.Resume.WithDefaults()
	e := &Engine{
		cfg: cfg, weights: w, prefixes: newPrefixCache(cfg.PrefixBlocks, cfg.CacheEvents),
		faults: newOrderFaults(cfg.OrderFaults), breaks: newBreaks(cfg.StreamFaults),
	}
	e.cond = sync.NewCond(&e.mu)
	e.boot()
	return e
}

// boot empties the engine's memory and starts a new incarnation.
func (e *Engine) boot() {
	e.incarnation = ident.New("eng-")
	e.residents = map[string]engine.ResidentModel{}
	e.staging = 0
	e.applied = nil
	e.running = map[string]*run{}
	e.waiting = nil
	e.records, e.kept = map[string]*record{}, nil
	e.prefixes.reset()
	e.role = "both"
	e.life, e.crash = context.WithCancel(context.Background())
	e.down = false
	e.note()
}

// Crash kills the engine; it comes back empty after its restart delay.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down || e.closed {
		return
	}
	e.down = true
	e.crash()
	time.AfterFunc(e.cfg.RestartDelay, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.closed {
			return
		}
		e.restarts++
		e.boot()
	})
}

// Close ends the engine for good.
func (e *Engine) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	e.down = true
	e.crash()
}

// Executions returns the executions so far, including unfinished ones.
func (e *Engine) Executions() []Execution {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.log)
}

// Overcommits returns how often memory use exceeded the total.
func (e *Engine) Overcommits() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.overcommits
}

func (e *Engine) used() int64 {
	used := e.kv(e.role) + e.staging
	for _, r := range e.residents {
		used += r.MemoryBytes
	}
	return used
}

// kv returns the KV cache of a role.
func (e *Engine) kv(role string) int64 {
	if b, ok := e.cfg.RoleKVBytes[role]; ok {
		return b
	}
	return e.cfg.KVBytes
}

// checkMemory counts an overcommit; mu is held.
func (e *Engine) checkMemory() {
	if e.used() > e.cfg.MemoryTotalBytes {
		e.overcommits++
	}
}

// ApplyOrder applies an order; a load finishes later.
func (e *Engine) ApplyOrder(o engine.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return errDown
	}
	if slices.Contains(e.applied, o.ID) {
		return nil
	}
	if e.cfg.ChecksFencingToken && o.FencingToken < e.fence {
		return fault.New(fault.Conflict, "stale_fence", fmt.Sprintf("fencing number %d is older than %d", o.FencingToken, e.fence), "acquire the endpoint's lease again")
	}
	defer e.note()
	e.fence = max(e.fence, o.FencingToken)
	e.applied = append(e.applied, o.ID)
	if len(e.applied) > appliedKept {
		e.applied = e.applied[1:]
	}
	switch o.Kind {
	case engine.OrderLoad:
		e.load(o)
	case engine.OrderUnload:
		delete(e.residents, o.Model)
	case engine.OrderRole:
		e.role = o.Role
		e.checkMemory()
	case engine.OrderFence:
	default:
		return fault.New(fault.Invalid, "unknown_order", fmt.Sprintf("order kind %q is not known", o.Kind), "send load, unload, role or fence")
	}
	return nil
}

// StagingBytes is the extra space that a load needs while it runs.
func StagingBytes(modelBytes int64) int64 { return modelBytes / 10 }

// load starts loading a model; mu is held. A resident copy of another version
// stays in memory and answers until the new one is ready, so both count.
func (e *Engine) load(o engine.Order) {
	staging, serves := StagingBytes(o.MemoryBytes), ""
	if old, ok := e.residents[o.Model]; ok {
		if old.Version == o.Version {
			return
		}
		staging += old.MemoryBytes
		if serves = old.ServingVersion; old.Ready {
			serves = old.Version
		}
	}
	e.residents[o.Model] = engine.ResidentModel{Model: o.Model, Base: o.Base, Version: o.Version, MemoryBytes: o.MemoryBytes, ServingVersion: serves}
	e.staging += staging
	e.checkMemory()
	go e.finishLoad(e.life, o, staging)
}

func (e *Engine) finishLoad(life context.Context, o engine.Order, staging int64) {
	rc, err := e.weights.Open(life, o.Model)
	for err != nil && life.Err() == nil {
		if !sleep(life, time.Second) {
			return
		}
		rc, err = e.weights.Open(life, o.Model)
	}
	if life.Err() != nil {
		return
	}
	ok := sleep(life, time.Duration(float64(o.MemoryBytes)/float64(e.cfg.LoadBytesPerSecond)*float64(time.Second)))
	_ = rc.Close()
	if !ok {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if life.Err() != nil {
		return
	}
	defer e.note()
	e.staging -= staging
	r, ok := e.residents[o.Model]
	switch {
	case !ok:
		return
	case r.Version == o.Version:
		r.Ready, r.ServingVersion = true, ""
	case !r.Ready:
		r.ServingVersion = o.Version // a still newer version loads over this one
	}
	e.residents[o.Model] = r
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
