package agent

import (
	"context"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"chervilhead/internal/coordination/gossip"
	"chervilhead/internal/coordination/lease"
	"chervilhead/internal/coordination/member"
	"chervilhead/internal/coordination/place"
	"chervilhead/internal/coordination/store"
	"chervilhead/internal/standin/engsim"
	"chervilhead/internal/standin/pltsim"
	"chervilhead/internal/state/plan"
	"chervilhead/internal/state/table"
)

// swapFixture is a planner and agents whose engines have room for one model each.
type swapFixture struct {
	engines []*engsim.Engine
	agents  []*Agent
	// docs holds the planner's documents, which reach the agents a second later.
	docs *gossip.Store
}

func newSwapFixture(t *testing.T, engines, models int) *swapFixture {
	ctx, cancel := context.WithCancel(context.Background())
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	log := logger.WithField("test", t.Name())
	faults := &pltsim.Faults{}
	st, hosts, weights := pltsim.NewTable(faults), pltsim.NewHosts(faults, 0), pltsim.NewWeights(faults, 2, 3)
	fx := &swapFixture{docs: gossip.NewStore()}
	var rows []table.Model
	for i := range models {
		rows = append(rows, table.Model{Name: fmt.Sprintf("m%d", i), Version: "1", MemoryBytes: 60, LeastCopies: 1})
	}
	tab := gossip.Document{Kind: gossip.KindTable, Version: 1, Data: table.Encode(table.New(1, nil, rows, nil, nil))}
	fx.docs.PutIfNewer(tab)
	for i := range engines {
		id := fmt.Sprintf("e%d", i)
		hosts.Set(store.Host{ID: id, Role: store.RoleAgent, State: store.HostLive})
		eng := engsim.New(engsim.Settings{MemoryTotalBytes: 100, KVBytes: 10, Slots: 1, LoadBytesPerSecond: 20, ChecksFencingToken: true}, weights)
		docs := gossip.NewStore()
		docs.PutIfNewer(tab)
		fx.docs.Subscribe(func(d gossip.Document) { time.AfterFunc(time.Second, func() { docs.PutIfNewer(d) }) })
		a := New(ctx, Settings{ID: id, Slots: 1}, EngineBackend{}, docs, log)
		l := lease.New(st, lease.Settings{Key: place.EndpointLeasePrefix + id, InfoKey: place.EndpointPrefix + id, Holder: a.Incarnation(), Term: testLeaseTerm, Margin: testOrderDelay, ImmediateTakeover: true})
		c := NewReconciler(a, &engineConn{Engine: eng}, l, docs, ReconcilerSettings{Endpoint: plan.Endpoint{ID: id}, OrderDelay: testOrderDelay, ChecksFencingToken: true}, log)
		fx.engines, fx.agents = append(fx.engines, eng), append(fx.agents, a)
		go c.Run(ctx)
	}
	members := member.NewWatcher(hosts, time.Second, log)
	go members.Run(ctx)
	go place.New(st, lease.New(st, lease.Settings{Key: place.PlannerLeaseKey, Holder: "p", Term: testLeaseTerm}), fx.docs, members, log).Run(ctx)
	t.Cleanup(func() {
		cancel()
		for _, e := range fx.engines {
			e.Close()
		}
	})
	return fx
}

// engineWith returns the index of the engine on which a model is ready, or -1.
func (fx *swapFixture) engineWith(model string) int {
	for i, e := range fx.engines {
		s, _ := e.State()
		for _, m := range s.Residents {
			if m.Model == model && m.Ready {
				return i
			}
		}
	}
	return -1
}

// waitUntil checks a condition every 50 ms until it holds or the limit has passed, and
// returns the time taken.
func (fx *swapFixture) waitUntil(limit time.Duration, cond func() bool) time.Duration {
	began := time.Now()
	for !cond() && time.Since(began) < limit {
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(began)
}

func (fx *swapFixture) request(agent int, model string) {
	a := fx.agents[agent]
	a.mu.Lock()
	defer a.mu.Unlock()
	a.noteArrival(model, time.Now())
}

// maxSwapTime bounds the time from the first waiting request until its model, whose load
// takes 3 s, has replaced an idle one: 2 s until the report, 1 s each to plan and to spread
// the plan, 1 s until the unload is read back, and 0.5 s for the weight store's load rate.
const maxSwapTime = 9 * time.Second

// TestSwap guards against a model that isn't loaded when requests wait for it although a
// replica without demand could make room, against the unload of a replica that was
// requested within the minimum residency, and against overcommitted memory meanwhile.
func TestSwap(t *testing.T) {
	for _, names := range [][2]string{{"m0", "m1"}, {"m1", "m0"}} {
		used, idle := names[0], names[1]
		t.Run(used+" in use", func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fx := newSwapFixture(t, 2, 3)
				fx.waitUntil(time.Minute, func() bool { return fx.engineWith("m0") >= 0 && fx.engineWith("m1") >= 0 })
				time.Sleep(2 * time.Minute)
				kept, gone := fx.engineWith(used), fx.engineWith(idle)
				if kept < 0 || gone < 0 || fx.engineWith("m2") >= 0 {
					t.Fatalf("%s on %d, %s on %d, m2 on %d", used, kept, idle, gone, fx.engineWith("m2"))
				}
				fx.request(kept, used) // not in its agent's row yet
				fx.agents[0].noteAwaited("m2", time.Now())
				took := fx.waitUntil(time.Minute, func() bool { return fx.engineWith("m2") >= 0 })
				t.Logf("m2 was loaded after %s", took)
				if fx.engineWith("m2") != gone || fx.engineWith(used) != kept {
					t.Fatalf("after %s %s is on %d, m2 on %d; want %d and %d", took, used, fx.engineWith(used), fx.engineWith("m2"), kept, gone)
				}
				// The unloaded model is loaded again once the others are no longer requested.
				time.Sleep(2 * time.Minute)
				fx.agents[1].noteAwaited(idle, time.Now())
				took = fx.waitUntil(time.Minute, func() bool { return fx.engineWith(idle) >= 0 })
				t.Logf("%s was loaded after %s", idle, took)
				if took > maxSwapTime {
					t.Fatalf("%s was loaded after %s, more than %s", idle, took, maxSwapTime)
				}
				for _, e := range fx.engines {
					if n := e.Overcommits(); n > 0 {
						t.Fatalf("memory overcommitted %d times", n)
					}
				}
			})
		})
	}
}

// TestSwapRefused guards against the unload of replicas for which requests arrive, and
// against a planner that doesn't report that there is no room.
func TestSwapRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newSwapFixture(t, 2, 3)
		fx.waitUntil(time.Minute, func() bool { return fx.engineWith("m0") >= 0 && fx.engineWith("m1") >= 0 })
		for range 100 {
			fx.request(fx.engineWith("m0"), "m0")
			fx.request(fx.engineWith("m1"), "m1")
			fx.agents[0].noteAwaited("m2", time.Now())
			time.Sleep(2 * time.Second)
			if fx.engineWith("m0") < 0 || fx.engineWith("m1") < 0 {
				t.Fatal("the last replica of a model with demand was unloaded")
			}
		}
		p, err := plan.Decode(fx.docs.Get(gossip.KindPlan).Data)
		if err != nil || p.UnplacedReasons["m2"] != plan.ReasonNoRoom {
			t.Fatalf("plan %+v, error %v", p, err)
		}
	})
}
