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

// Settings configures one stand-in engine.
type Settings struct {
	ID               string        `yaml:"id"`
	MemoryTotalBytes int64         `yaml:"memory_total_bytes"`
	KVBytes          int64         `yaml:"kv_bytes"`
	Slots            int           `yaml:"slots"`
	TokenInterval    time.Duration `yaml:"token_interval"`
	// PrefillPerToken is the prefill time per prompt token that is not cached.
	PrefillPerToken time.Duration `yaml:"prefill_per_token"`
	// LoadBytesPerSecond is the speed at which a model loads.
	LoadBytesPerSecond int64         `yaml:"load_bytes_per_second"`
	PrefixBlocks       int           `yaml:"prefix_blocks"`
	ChecksFencingToken bool          `yaml:"checks_fence"`
	CrashOn            string        `yaml:"crash_on"`
	RestartDelay       time.Duration `yaml:"restart_delay"`
	// RoleKVBytes is the size of the KV cache in each role; a role without an entry has KVBytes.
	RoleKVBytes map[string]int64 `yaml:"role_kv_bytes"`
	OrderFaults OrderFaults      `yaml:"order_faults"`
	Resume      Resume           `yaml:"resume"`
	// StreamFaults configures how connections break while an answer is sent.
	StreamFaults StreamFaults `yaml:"stream_faults"`
	// ReportLag is the age of the state that the engine reports.
	ReportLag   time.Duration    `yaml:"report_lag"`
	CacheEvents CacheEventFaults `yaml:"cache_events"`
}

// Execution is the engine's record of one request that it ran.
type Execution struct {
	ID       string
	Model    string
	Prompt   string
	Tokens   int
	Finished bool
}

var errDown = errors.New("engine is down")

// maxAppliedOrders bounds the order ids kept to detect duplicates.
const maxAppliedOrders = 256

// Engine is a simulated model engine.
type Engine struct {
	cfg     Settings
	weights store.Weights

	mu           sync.Mutex
	cond         *sync.Cond
	incarnation  string
	down         bool
	restarts     int
	fencingToken uint64
	role         string
	residents    map[string]engine.ResidentModel
	staging      int64
	applied      []string
	running      map[string]*run
	waiting      []*run
	prefixCache  *prefixCache
	executions   []Execution
	overcommits  int
	orderFaults  *orderFaults
	streamFaults *streamFaults
	// responses holds the answers that can be resumed, retained the complete ones among them.
	responses map[string]*response
	retained  []*response
	// reports holds the states that lagging reports still have to show, oldest first.
	reports []report
	// incarnationCtx is cancelled when the engine crashes or is closed.
	incarnationCtx    context.Context
	cancelIncarnation context.CancelFunc
	closed            bool
}

type run struct {
	id       string
	priority int
	seq      int
	started  chan struct{}
	cancel   context.CancelFunc
	// incarnationCtx is cancelled when the incarnation that runs the request ends.
	incarnationCtx context.Context
}

// New returns a running engine without models that reads weights from w.
func New(cfg Settings, w store.Weights) *Engine {
	cfg.Resume = cfg.Resume.WithDefaults()
	e := &Engine{
		cfg: cfg, weights: w, prefixCache: newPrefixCache(cfg.PrefixBlocks, cfg.CacheEvents),
		orderFaults: newOrderFaults(cfg.OrderFaults), streamFaults: newStreamFaults(cfg.StreamFaults),
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
	e.responses, e.retained = map[string]*response{}, nil
	e.prefixCache.reset()
	e.role = "both"
	e.incarnationCtx, e.cancelIncarnation = context.WithCancel(context.Background())
	e.down = false
	e.recordState()
}

// Crash ends the engine's incarnation; a new one without models starts after the restart delay.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down || e.closed {
		return
	}
	e.down = true
	e.cancelIncarnation()
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

// Close stops the engine for good.
func (e *Engine) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	e.down = true
	e.cancelIncarnation()
}

// Executions returns the requests run so far, unfinished ones included, in the order of their start.
func (e *Engine) Executions() []Execution {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.executions)
}

// Overcommits returns how many load and role orders took memory use above the total.
func (e *Engine) Overcommits() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.overcommits
}

func (e *Engine) memoryUsed() int64 {
	used := e.kvBytes(e.role) + e.staging
	for _, r := range e.residents {
		used += r.MemoryBytes
	}
	return used
}

// kvBytes returns the size of the KV cache in a role.
func (e *Engine) kvBytes(role string) int64 {
	if b, ok := e.cfg.RoleKVBytes[role]; ok {
		return b
	}
	return e.cfg.KVBytes
}

// checkMemory counts an overcommit; mu is held.
func (e *Engine) checkMemory() {
	if e.memoryUsed() > e.cfg.MemoryTotalBytes {
		e.overcommits++
	}
}

// ApplyOrder applies an order; a load completes asynchronously. A duplicate has no effect.
func (e *Engine) ApplyOrder(o engine.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return errDown
	}
	if slices.Contains(e.applied, o.ID) {
		return nil
	}
	if e.cfg.ChecksFencingToken && o.FencingToken < e.fencingToken {
		return fault.New(fault.Conflict, "stale_fence", fmt.Sprintf("fencing token %d is older than %d", o.FencingToken, e.fencingToken), "acquire the endpoint's lease again")
	}
	defer e.recordState()
	e.fencingToken = max(e.fencingToken, o.FencingToken)
	e.applied = append(e.applied, o.ID)
	if len(e.applied) > maxAppliedOrders {
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

// StagingBytes returns the additional memory that a load needs while it runs.
func StagingBytes(modelBytes int64) int64 { return modelBytes / 10 }

// load starts loading a model; mu is held. A resident replica of another version
// stays in memory and serves until the new one is ready, so both count.
func (e *Engine) load(o engine.Order) {
	staging, serving := StagingBytes(o.MemoryBytes), ""
	if old, ok := e.residents[o.Model]; ok {
		if old.Version == o.Version {
			return
		}
		staging += old.MemoryBytes
		if serving = old.ServingVersion; old.Ready {
			serving = old.Version
		}
	}
	e.residents[o.Model] = engine.ResidentModel{Model: o.Model, Base: o.Base, Version: o.Version, MemoryBytes: o.MemoryBytes, ServingVersion: serving}
	e.staging += staging
	e.checkMemory()
	go e.finishLoad(e.incarnationCtx, o, staging)
}

func (e *Engine) finishLoad(incCtx context.Context, o engine.Order, staging int64) {
	rc, err := e.weights.Open(incCtx, o.Model)
	for err != nil && incCtx.Err() == nil {
		if !sleep(incCtx, time.Second) {
			return
		}
		rc, err = e.weights.Open(incCtx, o.Model)
	}
	if incCtx.Err() != nil {
		return
	}
	ok := sleep(incCtx, time.Duration(float64(o.MemoryBytes)/float64(e.cfg.LoadBytesPerSecond)*float64(time.Second)))
	_ = rc.Close()
	if !ok {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if incCtx.Err() != nil {
		return
	}
	defer e.recordState()
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
