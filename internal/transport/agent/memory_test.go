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
	testLeaseTerm   = 10 * time.Second
	testOrderDelay  = 2 * time.Second
	testReportLag   = 400 * time.Millisecond
	testMemoryBytes = 100
	testKVBytes     = 10
	// testLargestKVBytes is the KV cache of the role with the largest one.
	testLargestKVBytes = 25
)

// TestMain fixes rapid's seed and number of checks unless the command line sets them.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261203")
	_ = flag.Set("rapid.checks", "40")
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}

// engineConn is an agent's connection to the stand-in engine. A pause blocks the agent
// between reading the state and sending an order, and between its lease check and the send.
type engineConn struct {
	*engsim.Engine
	mu          sync.Mutex
	pausedUntil time.Time
	// deliver, if set, delivers orders instead of the stand-in.
	deliver func(context.Context, engine.Order) error
}

func (c *engineConn) pause(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pausedUntil = time.Now().Add(d)
}

func (c *engineConn) setDeliver(deliver func(context.Context, engine.Order) error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deliver = deliver
}

func (c *engineConn) waitPaused() {
	c.mu.Lock()
	until := c.pausedUntil
	c.mu.Unlock()
	time.Sleep(time.Until(until))
}

func (c *engineConn) State(context.Context) (engine.State, error) {
	s, err := c.Engine.State()
	c.waitPaused()
	return s, err
}

func (c *engineConn) Order(ctx context.Context, o engine.Order) error {
	c.waitPaused()
	if err := ctx.Err(); err != nil {
		return err
	}
	c.mu.Lock()
	deliver := c.deliver
	c.mu.Unlock()
	if deliver != nil {
		return deliver(ctx, o)
	}
	return c.DeliverOrder(o)
}

func (c *engineConn) Run(context.Context, engine.Request, engine.Sink) (engine.Result, error) {
	return engine.Result{}, nil
}

func (c *engineConn) Resume(_ context.Context, _ engine.Request, got engine.Result, _ engine.Sink) (engine.Result, error) {
	return got, nil
}
func (c *engineConn) Cancel(context.Context, string) error { return nil }
func (c *engineConn) CacheEvents(context.Context, uint64) (engine.CacheEventPage, error) {
	return engine.CacheEventPage{}, nil
}

type agentProcess struct {
	conn *engineConn
	docs *gossip.Store
	kill context.CancelFunc
	done chan struct{}
}

// fixture is one engine, the table service and the agents that were started beside the engine.
type fixture struct {
	checksToken, immediateTakeover bool
	// margin is the lease's margin: the longest time that an order can be in transit.
	margin   time.Duration
	engine   *engsim.Engine
	faults   *pltsim.Faults
	table    *pltsim.Table
	agents   []*agentProcess
	models   []table.Model
	revision uint64
	plan     plan.Plan
}

func newFixture(checks, takeover bool, f engsim.OrderFaults) *fixture {
	return newLaggingFixture(checks, takeover, f, 0)
}

// newLaggingFixture returns a fixture whose engine reports its state as of lag ago.
func newLaggingFixture(checks, takeover bool, f engsim.OrderFaults, lag time.Duration) *fixture {
	faults := &pltsim.Faults{}
	fx := &fixture{checksToken: checks, immediateTakeover: takeover, margin: testOrderDelay, faults: faults, table: pltsim.NewTable(faults)}
	fx.engine = engsim.New(engsim.Settings{
		MemoryTotalBytes: testMemoryBytes, KVBytes: testKVBytes, Slots: 1, LoadBytesPerSecond: 60, ChecksFencingToken: checks,
		RestartDelay: 300 * time.Millisecond, OrderFaults: f, ReportLag: lag,
		RoleKVBytes: map[string]int64{"both": testKVBytes, "decode": testLargestKVBytes, "prefill": 5},
	}, pltsim.NewWeights(&pltsim.Faults{}, 2, 3))
	for i := range 8 {
		fx.models = append(fx.models, table.Model{Name: fmt.Sprintf("m%d", i), Version: "1", MemoryBytes: int64(20 + 12*(i%4))})
	}
	fx.models = append(fx.models, table.Model{Name: "a0", Base: "m0", Version: "1", MemoryBytes: 5})
	return fx
}

func (fx *fixture) start() {
	ctx, cancel := context.WithCancel(context.Background())
	log := logrus.New()
	log.SetOutput(io.Discard)
	p := &agentProcess{conn: &engineConn{Engine: fx.engine}, docs: gossip.NewStore(), kill: cancel, done: make(chan struct{})}
	a := New(ctx, Settings{ID: "e"}, EngineBackend{Engine: p.conn}, p.docs, log.WithField("t", ""))
	l := lease.New(fx.table, lease.Settings{Key: "l", Holder: a.Incarnation(), Term: testLeaseTerm, Margin: fx.margin, ImmediateTakeover: fx.immediateTakeover})
	c := NewReconciler(a, p.conn, l, p.docs, ReconcilerSettings{Endpoint: plan.Endpoint{ID: "e"}, OrderDelay: testOrderDelay, ChecksFencingToken: fx.checksToken}, log.WithField("t", ""))
	fx.agents = append(fx.agents, p)
	fx.publish(p)
	index := len(fx.agents)
	go func() {
		defer close(p.done)
		time.Sleep(time.Duration(index) * time.Millisecond) // no two agents act at the same time
		c.Run(ctx)
		_ = l.Release(context.Background())
	}()
}

func (fx *fixture) newest() *agentProcess { return fx.agents[len(fx.agents)-1] }

func (fx *fixture) publish(p *agentProcess) {
	p.docs.PutIfNewer(gossip.Document{Kind: gossip.KindTable, Version: fx.revision, Data: table.Encode(table.New(fx.revision, nil, fx.models, nil, nil))})
	if fx.plan.Version > 0 {
		p.docs.PutIfNewer(gossip.Document{Kind: gossip.KindPlan, Version: fx.plan.Version, Data: plan.Encode(fx.plan)})
	}
}

// place plans the models whose bit is set, as far as they fit beside the largest KV cache.
func (fx *fixture) place(bits int) {
	left, e := int64(testMemoryBytes-testLargestKVBytes), plan.Endpoint{ID: "e", Role: []string{"", "both", "decode", "prefill"}[bits>>9&3]}
	held := map[string]bool{"": true}
	for i, m := range fx.models {
		if need := m.MemoryBytes + memory.StagingBytes(m.MemoryBytes); bits>>i&1 == 1 && need <= left && held[m.Base] {
			left -= need
			held[m.Name] = true
			e.Models = append(e.Models, m.Name)
		} else {
			e.Evict = append(e.Evict, m.Name)
		}
	}
	fx.revision++
	fx.plan = plan.Plan{Version: fx.plan.Version + 1, Endpoints: []plan.Endpoint{e}}
	fx.publish(fx.newest())
}

func (fx *fixture) do(kind string, n int) {
	switch kind {
	case "run": // shorter than an order can be in transit, so that actions overlap orders
		time.Sleep(time.Duration(n) * time.Millisecond / 2)
	case "wait":
		time.Sleep(time.Duration(n) * 10 * time.Millisecond)
	case "plan":
		fx.place(n)
	case "version":
		fx.models[n%len(fx.models)].Version = strconv.Itoa(n)
		fx.revision++
		fx.publish(fx.newest())
	case "crash":
		fx.engine.Crash()
	case "replace": // the old agent dies at an arbitrary point
		fx.newest().kill()
		fx.start()
	case "second": // the old agent may pause past its lease and resume beside the new one
		fx.newest().conn.pause(time.Duration(n) * 40 * time.Millisecond)
		fx.start()
	case "pause":
		fx.newest().conn.pause(time.Duration(n) * 20 * time.Millisecond)
	case "away":
		fx.faults.SetUnavailable(n%4 == 0)
	case "reply":
		fx.faults.LoseReplies(1)
	}
}

// quiesce ends all faults and all agents but the newest, waits and returns how the engine
// then differs from the plan, or "".
func (fx *fixture) quiesce() string {
	fx.engine.SetOrderFaults(engsim.OrderFaults{})
	fx.faults.SetUnavailable(false)
	fx.faults.LoseReplies(0)
	for _, p := range fx.agents[:len(fx.agents)-1] {
		p.kill()
	}
	fx.publish(fx.newest())
	time.Sleep(3 * time.Minute)
	s, err := fx.engine.State()
	if err != nil {
		return err.Error()
	}
	ready := map[string]bool{}
	for _, r := range s.Residents {
		ready[r.Model] = r.Ready
	}
	for _, e := range fx.plan.Endpoints {
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

func (fx *fixture) close() {
	for _, p := range fx.agents {
		p.kill()
	}
	for _, p := range fx.agents {
		<-p.done
	}
	fx.engine.Close()
}

type step struct {
	kind string
	n    int
}

// TestMemoryNotOvercommitted guards against overcommitted memory when orders are lost,
// late, duplicated or reordered, when agents die, pause or act side by side, when the
// engine restarts, when its reports lag and when the table service is unreachable; and
// against an agent that does not reach the plan afterwards. OrderDelay covers the delay of
// an order and the lag of a report.
func TestMemoryNotOvercommitted(t *testing.T) {
	kinds := []string{"run", "run", "run", "run", "run", "wait", "plan", "plan", "plan", "version", "crash", "crash", "replace", "second", "pause", "away", "reply"}
	steps := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) step {
		n := rapid.Uint32().Draw(rt, "n") // rapid prefers small numbers; the multiplication spreads them
		return step{rapid.SampledFrom(kinds).Draw(rt, "kind"), int(n * 0x9e3779b1 >> 21)}
	}), 20, 100)
	for _, kind := range []struct {
		checks bool
		lag    time.Duration
	}{{true, 0}, {false, 0}, {true, testReportLag}, {false, testReportLag}} {
		checks, lag := kind.checks, kind.lag
		t.Run(fmt.Sprintf("checks fencing token %v, reports lag %s", checks, lag), func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) {
				todo := steps.Draw(rt, "steps")
				f := engsim.OrderFaults{
					Seed: rapid.Uint64().Draw(rt, "seed"), MaxDelay: testOrderDelay - lag - 10*time.Millisecond,
					LossProbability: 0.15, LateProbability: rapid.Float64Range(0, 0.6).Draw(rt, "late"), DuplicateProbability: rapid.Float64Range(0, 0.6).Draw(rt, "repeat"),
				}
				problem := ""
				synctest.Test(t, func(*testing.T) {
					fx := newLaggingFixture(checks, checks, f, lag)
					fx.start()
					fx.place(0x1ff)
					for _, s := range todo {
						fx.do(s.kind, s.n)
					}
					problem = fx.quiesce()
					if n := fx.engine.Overcommits(); n > 0 {
						problem = fmt.Sprintf("memory overcommitted %d times", n)
					}
					fx.close()
				})
				if problem != "" {
					rt.Fatal(problem)
				}
			})
		})
	}
}
