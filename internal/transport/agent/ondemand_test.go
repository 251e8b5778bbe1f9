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

// swapRig is a planner and agents with engines of which each has room for one model.
type swapRig struct {
	engines []*engsim.Engine
	agents  []*Agent
	// docs holds the planner's documents, which reach the agents a second later.
	docs *gossip.Store
}

func newSwapRig(t *testing.T, engines, models int) *swapRig {
	ctx, cancel := context.WithCancel(context.Background())
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	log := logger.WithField("test", t.Name())
	faults := &pltsim.Faults{}
	st, hosts, weights := pltsim.NewTable(faults), pltsim.NewHosts(faults, 0), pltsim.NewWeights(faults, 2, 3)
	r := &swapRig{docs: gossip.NewStore()}
	var rows []table.Model
	for i := range models {
		rows = append(rows, table.Model{Name: fmt.Sprintf("m%d", i), Version: "1", MemoryBytes: 60, LeastCopies: 1})
	}
	tab := gossip.Document{Kind: gossip.KindTable, Version: 1, Data: table.Encode(table.New(1, nil, rows, nil, nil))}
	r.docs.PutIfNewer(tab)
	for i := range engines {
		id := fmt.Sprintf("e%d", i)
		hosts.Set(store.Host{ID: id, Role: store.RoleAgent, State: store.HostLive})
		eng := engsim.New(engsim.Settings{MemoryTotalBytes: 100, KVBytes: 10, Slots: 1, LoadBytesPerSecond: 20, ChecksFencingToken: true}, weights)
		docs := gossip.NewStore()
		docs.PutIfNewer(tab)
		r.docs.Subscribe(func(d gossip.Document) { time.AfterFunc(time.Second, func() { docs.PutIfNewer(d) }) })
		a := New(ctx, Settings{ID: id, Slots: 1}, EngineBackend{}, docs, log)
		l := lease.New(st, lease.Settings{Key: place.EndpointLeasePrefix + id, InfoKey: place.EndpointPrefix + id, Holder: a.Incarnation(), Term: testTerm, Margin: testDelay, ImmediateTakeover: true})
		c := NewReconciler(a, &line{Engine: eng}, l, docs, ReconcilerSettings{Endpoint: plan.Endpoint{ID: id}, OrderDelay: testDelay, ChecksFencingToken: true}, log)
		r.engines, r.agents = append(r.engines, eng), append(r.agents, a)
		go c.Run(ctx)
	}
	members := member.NewWatcher(hosts, time.Second, log)
	go members.Run(ctx)
	go place.New(st, lease.New(st, lease.Settings{Key: place.PlannerLeaseKey, Holder: "p", Term: testTerm}), r.docs, members, log).Run(ctx)
	t.Cleanup(func() {
		cancel()
		for _, e := range r.engines {
			e.Close()
		}
	})
	return r
}

// at returns the engine on which a model is ready, or -1.
func (r *swapRig) at(model string) int {
	for i, e := range r.engines {
		s, _ := e.State()
		for _, m := range s.Residents {
			if m.Model == model && m.Ready {
				return i
			}
		}
	}
	return -1
}

// until returns the time until a condition holds, looked at every 50 ms.
func (r *swapRig) until(limit time.Duration, cond func() bool) time.Duration {
	began := time.Now()
	for !cond() && time.Since(began) < limit {
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(began)
}

func (r *swapRig) ask(agent int, model string) {
	a := r.agents[agent]
	a.mu.Lock()
	defer a.mu.Unlock()
	a.demanded(model, time.Now())
}

// swapBound is the time from the first waiting request to a load of 3 s in the place of
// an idle copy: 2 s to the report, 1 s each to plan and to spread, 1 s for the unload to
// be read back, and half a second for the store's place.
const swapBound = 9 * time.Second

// TestSwap guards against a model that isn't loaded when requests wait for it although a
// copy without demand could make room, against a copy that goes although it was asked for
// within the minimum residency, and against memory overcommitted meanwhile.
func TestSwap(t *testing.T) {
	for _, names := range [][2]string{{"m0", "m1"}, {"m1", "m0"}} {
		used, idle := names[0], names[1]
		t.Run(used+" in use", func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newSwapRig(t, 2, 3)
				r.until(time.Minute, func() bool { return r.at("m0") >= 0 && r.at("m1") >= 0 })
				time.Sleep(2 * time.Minute)
				kept, gone := r.at(used), r.at(idle)
				if kept < 0 || gone < 0 || r.at("m2") >= 0 {
					t.Fatalf("%s on %d, %s on %d, m2 on %d", used, kept, idle, gone, r.at("m2"))
				}
				r.ask(kept, used) // which its agent's row doesn't say yet
				r.agents[0].await("m2", time.Now())
				took := r.until(time.Minute, func() bool { return r.at("m2") >= 0 })
				t.Logf("m2 was loaded after %s", took)
				if r.at("m2") != gone || r.at(used) != kept {
					t.Fatalf("after %s %s is on %d, m2 on %d; want %d and %d", took, used, r.at(used), r.at("m2"), kept, gone)
				}
				// The evicted model takes its turn once the others are no longer asked for.
				time.Sleep(2 * time.Minute)
				r.agents[1].await(idle, time.Now())
				took = r.until(time.Minute, func() bool { return r.at(idle) >= 0 })
				t.Logf("%s was loaded after %s", idle, took)
				if took > swapBound {
					t.Fatalf("%s was loaded after %s, more than %s", idle, took, swapBound)
				}
				for _, e := range r.engines {
					if n := e.Overcommits(); n > 0 {
						t.Fatalf("memory overcommitted %d times", n)
					}
				}
			})
		})
	}
}

// TestSwapRefused guards against copies that go although requests arrive for them, and
// against a planner that doesn't say that there is no room.
func TestSwapRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newSwapRig(t, 2, 3)
		r.until(time.Minute, func() bool { return r.at("m0") >= 0 && r.at("m1") >= 0 })
		for range 100 {
			r.ask(r.at("m0"), "m0")
			r.ask(r.at("m1"), "m1")
			r.agents[0].await("m2", time.Now())
			time.Sleep(2 * time.Second)
			if r.at("m0") < 0 || r.at("m1") < 0 {
				t.Fatal("the last copy of a model with demand is gone")
			}
		}
		p, err := plan.Decode(r.docs.Get(gossip.KindPlan).Data)
		if err != nil || p.UnplacedReasons["m2"] != plan.ReasonNoRoom {
			t.Fatalf("plan %+v, error %v", p, err)
		}
	})
}
