package agent

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"chervilhead/internal/coordination/gossip"
	"chervilhead/internal/coordination/lease"
	"chervilhead/internal/protocol/engine"
	"chervilhead/internal/standin/engsim"
	"chervilhead/internal/standin/pltsim"
	"chervilhead/internal/state/memory"
	"chervilhead/internal/state/plan"
	"chervilhead/internal/state/table"
)

const (
	testTerm   = 10 * time.Second
	testDelay  = 2 * time.Second
	testLag    = 400 * time.Millisecond
	testMemory = 100
	testKV     = 10
	// testLargestKV is the KV cache of the largest role.
	testLargestKV = 25
)

// TestMain fixes rapid's seed and number of checks unless the command line names others.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261203")
	_ = flag.Set("rapid.checks", "40")
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}

// line is an agent's connection to the stand-in engine; a pause holds the agent up
// between reading the state and ordering, and between its lease check and the send.
type line struct {
	*engsim.Engine
	mu     sync.Mutex
	paused time.Time
	// deliver replaces the stand-in's way of delivering an order when it is set.
	deliver func(context.Context, engine.Order) error
}

func (l *line) pause(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.paused = time.Now().Add(d)
}

func (l *line) by(deliver func(context.Context, engine.Order) error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.deliver = deliver
}

func (l *line) wait() {
	l.mu.Lock()
	until := l.paused
	l.mu.Unlock()
	time.Sleep(time.Until(until))
}

func (l *line) State(context.Context) (engine.State, error) {
	s, err := l.Engine.State()
	l.wait()
	return s, err
}

func (l *line) Order(ctx context.Context, o engine.Order) error {
	l.wait()
	if err := ctx.Err(); err != nil {
		return err
	}
	l.mu.Lock()
	deliver := l.deliver
	l.mu.Unlock()
	if deliver != nil {
		return deliver(ctx, o)
	}
	return l.Submit(o)
}

func (l *line) Run(context.Context, engine.Request, engine.Sink) (engine.Result, error) {
	return engine.Result{}, nil
}

func (l *line) Resume(_ context.Context, _ engine.Request, got engine.Result, _ engine.Sink) (engine.Result, error) {
	return got, nil
}
func (l *line) Cancel(context.Context, string) error { return nil }
func (l *line) CacheEvents(context.Context, uint64) (engine.CacheEventPage, error) {
	return engine.CacheEventPage{}, nil
}

type process struct {
	line *line
	docs *gossip.Store
	kill context.CancelFunc
	done chan struct{}
}

// world is one engine, the table service and the agents that were started beside the engine.
type world struct {
	checks, takeover bool
	// margin is the longest time that an order can be under way, as the lease knows it.
	margin   time.Duration
	engine   *engsim.Engine
	faults   *pltsim.Faults
	table    *pltsim.Table
	agents   []*process
	models   []table.Model
	revision uint64
	plan     plan.Plan
}

func newWorld(checks, takeover bool, f engsim.OrderFaults) *world {
	return newLaggingWorld(checks, takeover, f, 0)
}

// newLaggingWorld returns a world whose engine reports its state as it was some time ago.
func newLaggingWorld(checks, takeover bool, f engsim.OrderFaults, lag time.Duration) *world {
	faults := &pltsim.Faults{}
	w := &world{checks: checks, takeover: takeover, margin: testDelay, faults: faults, table: pltsim.NewTable(faults)}
	w.engine = engsim.New(engsim.Settings{
		MemoryTotalBytes: testMemory, KVBytes: testKV, Slots: 1, LoadBytesPerSecond: 60, ChecksFencingToken: checks,
		RestartDelay: 300 * time.Millisecond, OrderFaults: f, ReportLag: lag,
		RoleKVBytes: map[string]int64{"both": testKV, "decode": testLargestKV, "prefill": 5},
	}, pltsim.NewWeights(&pltsim.Faults{}, 2, 3))
	for i := range 8 {
		w.models = append(w.models, table.Model{Name: fmt.Sprintf("m%d", i), Version: "1", MemoryBytes: int64(20 + 12*(i%4))})
	}
	w.models = append(w.models, table.Model{Name: "a0", Base: "m0", Version: "1", MemoryBytes: 5})
	return w
}

func (w *world) start() {
	ctx, cancel := context.WithCancel(context.Background())
	log := logrus.New()
	log.SetOutput(io.Discard)
	p := &process{line: &line{Engine: w.engine}, docs: gossip.NewStore(), kill: cancel, done: make(chan struct{})}
	a := New(ctx, Settings{ID: "e"}, EngineBackend{Engine: p.line}, p.docs, log.WithField("t", ""))
	l := lease.New(w.table, lease.Settings{Key: "l", Holder: a.Incarnation(), Term: testTerm, Margin: w.margin, ImmediateTakeover: w.takeover})
	c := NewReconciler(a, p.line, l, p.docs, ReconcilerSettings{Endpoint: plan.Endpoint{ID: "e"}, OrderDelay: testDelay, ChecksFencingToken: w.checks}, log.WithField("t", ""))
	w.agents = append(w.agents, p)
	w.offer(p)
	n := len(w.agents)
	go func() {
		defer close(p.done)
		time.Sleep(time.Duration(n) * time.Millisecond) // no two agents act at the same instant
		c.Run(ctx)
		_ = l.Release(context.Background())
	}()
}

func (w *world) newest() *process { return w.agents[len(w.agents)-1] }

func (w *world) offer(p *process) {
	p.docs.PutIfNewer(gossip.Document{Kind: gossip.KindTable, Version: w.revision, Data: table.Encode(table.New(w.revision, nil, w.models, nil, nil))})
	if w.plan.Version > 0 {
		p.docs.PutIfNewer(gossip.Document{Kind: gossip.KindPlan, Version: w.plan.Version, Data: plan.Encode(w.plan)})
	}
}

// place plans the models whose bit is set, as far as they fit beside the largest role.
func (w *world) place(bits int) {
	left, e := int64(testMemory-testLargestKV), plan.Endpoint{ID: "e", Role: []string{"", "both", "decode", "prefill"}[bits>>9&3]}
	held := map[string]bool{"": true}
	for i, m := range w.models {
		if need := m.MemoryBytes + memory.StagingBytes(m.MemoryBytes); bits>>i&1 == 1 && need <= left && held[m.Base] {
			left -= need
			held[m.Name] = true
			e.Models = append(e.Models, m.Name)
		} else {
			e.Evict = append(e.Evict, m.Name)
		}
	}
	w.revision++
	w.plan = plan.Plan{Version: w.plan.Version + 1, Endpoints: []plan.Endpoint{e}}
	w.offer(w.newest())
}

func (w *world) act(kind string, n int) {
	switch kind {
	case "run": // shorter than an order can be under way, so that actions meet orders
		time.Sleep(time.Duration(n) * time.Millisecond / 2)
	case "wait":
		time.Sleep(time.Duration(n) * 10 * time.Millisecond)
	case "plan":
		w.place(n)
	case "version":
		w.models[n%len(w.models)].Version = strconv.Itoa(n)
		w.revision++
		w.offer(w.newest())
	case "crash":
		w.engine.Crash()
	case "replace": // the old agent dies in the middle of what it does
		w.newest().kill()
		w.start()
	case "second": // the old agent pauses past its lease and goes on beside the new one
		w.newest().line.pause(time.Duration(n) * 40 * time.Millisecond)
		w.start()
	case "pause":
		w.newest().line.pause(time.Duration(n) * 20 * time.Millisecond)
	case "away":
		w.faults.SetAway(n%4 == 0)
	case "reply":
		w.faults.LoseReplies(1)
	}
}

// settle ends all faults and all agents but the newest and returns what is wrong then.
func (w *world) settle() string {
	w.engine.SetOrderFaults(engsim.OrderFaults{})
	w.faults.SetAway(false)
	w.faults.LoseReplies(0)
	for _, p := range w.agents[:len(w.agents)-1] {
		p.kill()
	}
	w.offer(w.newest())
	time.Sleep(3 * time.Minute)
	s, err := w.engine.State()
	if err != nil {
		return err.Error()
	}
	ready := map[string]bool{}
	for _, r := range s.Residents {
		ready[r.Model] = r.Ready
	}
	for _, e := range w.plan.Endpoints {
		for _, m := range e.Models {
			if !ready[m] {
				return fmt.Sprintf("model %s is in the plan and not ready; engine %+v", m, s)
			}
		}
		if e.Role != "" && s.Role != e.Role {
			return fmt.Sprintf("role is %q, the plan says %q", s.Role, e.Role)
		}
	}
	return ""
}

func (w *world) close() {
	for _, p := range w.agents {
		p.kill()
	}
	for _, p := range w.agents {
		<-p.done
	}
	w.engine.Close()
}

type step struct {
	kind string
	n    int
}

// TestMemory guards against memory overcommitted when orders are lost, late, repeated
// or reordered, when agents die, pause or act beside each other, when the engine
// restarts, when its reports lag and when the table service is away; and against an
// agent that gives up. The order delay of the settings covers an order and a report.
func TestMemory(t *testing.T) {
	kinds := []string{"run", "run", "run", "run", "run", "wait", "plan", "plan", "plan", "version", "crash", "crash", "replace", "second", "pause", "away", "reply"}
	steps := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) step {
		n := rapid.Uint32().Draw(rt, "n") // rapid prefers small numbers; the product spreads them
		return step{rapid.SampledFrom(kinds).Draw(rt, "kind"), int(n * 0x9e3779b1 >> 21)}
	}), 20, 100)
	for _, kind := range []struct {
		checks bool
		lag    time.Duration
	}{{true, 0}, {false, 0}, {true, testLag}, {false, testLag}} {
		checks, lag := kind.checks, kind.lag
		t.Run(fmt.Sprintf("checks fence %v, reports lag %s", checks, lag), func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) {
				todo := steps.Draw(rt, "steps")
				f := engsim.OrderFaults{
					Seed: rapid.Uint64().Draw(rt, "seed"), MaxDelay: testDelay - lag - 10*time.Millisecond,
					Lose: 0.15, Late: rapid.Float64Range(0, 0.6).Draw(rt, "late"), Repeat: rapid.Float64Range(0, 0.6).Draw(rt, "repeat"),
				}
				wrong := ""
				synctest.Test(t, func(*testing.T) {
					w := newLaggingWorld(checks, checks, f, lag)
					w.start()
					w.place(0x1ff)
					for _, s := range todo {
						w.act(s.kind, s.n)
					}
					wrong = w.settle()
					if n := w.engine.Overcommits(); n > 0 {
						wrong = fmt.Sprintf("memory overcommitted %d times", n)
					}
					w.close()
				})
				if wrong != "" {
					rt.Fatal(wrong)
				}
			})
		})
	}
}
