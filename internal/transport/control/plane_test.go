package control

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"chervilhead/internal/coordination/lease"
	"chervilhead/internal/coordination/store"
	"chervilhead/internal/coordination/watch"
	"chervilhead/internal/state/fleet"
	"chervilhead/internal/state/poison"
	"chervilhead/internal/state/sets"
	"chervilhead/internal/transport/keeper"
)

// rows is a table service in memory.
type rows struct {
	mu      sync.Mutex
	rows    map[string]store.Row
	version uint64
}

func (r *rows) Read(_ context.Context, prefix string) (store.Snapshot, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out store.Snapshot
	for key, row := range r.rows {
		if strings.HasPrefix(key, prefix) {
			row.Key = key
			out.Rows = append(out.Rows, row)
		}
	}
	return out, nil
}

func (r *rows) Get(_ context.Context, key string) (store.Row, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	row := r.rows[key]
	row.Key = key
	return row, nil
}

func (r *rows) Commit(_ context.Context, txn store.Txn) (uint64, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range txn.Conds {
		if r.rows[c.Key].Version != c.Version {
			return 0, store.ErrConflict
		}
	}
	r.version++
	for _, w := range txn.Writes {
		if w.Delete {
			delete(r.rows, w.Key)
			continue
		}
		r.rows[w.Key] = store.Row{Key: w.Key, Value: w.Value, Version: r.version}
	}
	return r.version, nil
}

// fakeEngine executes orders at once and checks their sequence, fencing token and memory use.
type fakeEngine struct {
	mu         sync.Mutex
	id         string
	report     keeper.Report
	loads      []time.Time
	violations []string
	// unloadsAt is when accepted unloads take effect; until then the models' requests run on.
	unloadsAt      time.Time
	pendingUnloads []string
	// crashOnLoad makes the engine restart at the next order to load a model, which gets no
	// result.
	crashOnLoad bool
}

func (e *fakeEngine) Report(context.Context) (keeper.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.pendingUnloads) > 0 && !time.Now().Before(e.unloadsAt) {
		e.report.Models = slices.DeleteFunc(slices.Clone(e.report.Models), func(r fleet.Resident) bool { return slices.Contains(e.pendingUnloads, r.Model) })
		e.pendingUnloads = nil
	}
	r := e.report
	r.Models = slices.Clone(r.Models)
	return r, nil
}

func (e *fakeEngine) Identify(context.Context, string) (string, error) { return e.id, nil }

func (e *fakeEngine) Order(_ context.Context, o keeper.Order) (keeper.OrderResult, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.ExpectedSequence != e.report.Sequence {
		return keeper.Rejected, fmt.Errorf("sequence is %d", e.report.Sequence)
	}
	if o.FencingToken == 0 || o.ExpectedEndpoint != e.id {
		e.violations = append(e.violations, fmt.Sprintf("order with fencing token %d for endpoint %q", o.FencingToken, o.ExpectedEndpoint))
	}
	if e.crashOnLoad && o.Name.Adapter == "" {
		e.crashOnLoad, e.report.Sequence = false, 0
		e.report.Incarnation++
		return keeper.Unanswered, errors.New("no answer")
	}
	e.report.Sequence++
	i := slices.IndexFunc(e.report.Models, func(r fleet.Resident) bool { return r.Model == o.Name.Model })
	switch {
	case o.Name.Adapter != "" && !o.Unload && i >= 0:
		e.report.Models[i].Adapters = append(slices.Clone(e.report.Models[i].Adapters), o.Name.Adapter)
	case o.Unload && time.Now().Before(e.unloadsAt):
		e.pendingUnloads = append(e.pendingUnloads, o.Name.Model)
	case o.Unload && i >= 0:
		e.report.Models = slices.Delete(slices.Clone(e.report.Models), i, i+1)
	case !o.Unload && o.Name.Adapter == "":
		e.report.Models = append(slices.Clone(e.report.Models), fleet.Resident{Model: o.Name.Model})
		e.loads = append(e.loads, time.Now())
		if len(e.report.Models) > 2 {
			e.violations = append(e.violations, fmt.Sprintf("the engine holds %v", e.report.Models))
		}
	}
	return keeper.Accepted, nil
}

type staticSource struct{ cfg fleet.Config }

func (s staticSource) Config(context.Context, store.Version, time.Duration) (watch.ConfigChange, error) {
	return watch.ConfigChange{Version: 5, Config: s.cfg, Changed: true}, nil
}

func (s staticSource) Endpoints(context.Context, store.Version) (watch.EndpointChange, error) {
	return watch.EndpointChange{}, nil
}

func (s staticSource) DecodeConfig([]byte) (watch.ConfigChange, error) {
	return watch.ConfigChange{Config: s.cfg, Changed: true}, nil
}

// loadWindow is the window over which the cluster's weight store counts loads.
const loadWindow = time.Second

// cluster is a Plane with keepers, each on a loopback address of its own.
type cluster struct {
	plane   *Plane
	engines []*fakeEngine
	view    atomic.Pointer[watch.View]
	store   *rows
	// crashReports receives the reports that keepers relay to the gateway.
	crashReports chan poison.CrashReport
	// adapterInUse is set while adapter a/x is in use on the first endpoint.
	adapterInUse atomic.Bool
}

func startCluster(t *testing.T, cfg fleet.Config, held ...[]string) *cluster {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	log := logrus.New()
	log.SetOutput(io.Discard)
	entry := logrus.NewEntry(log)
	var wg sync.WaitGroup
	t.Cleanup(func() { cancel(); wg.Wait() })

	free, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	port := free.LocalAddr().(*net.UDPAddr).Port
	_ = free.Close()
	c := &cluster{crashReports: make(chan poison.CrashReport, 64), store: &rows{rows: map[string]store.Row{}}}
	view := &watch.View{HasConfig: true, Config: cfg, Endpoints: map[string]fleet.Endpoint{}}
	for i, models := range held {
		ip := fmt.Sprintf("127.0.0.%d", 11+i)
		e := &fakeEngine{id: "e" + strconv.Itoa(i), report: keeper.Report{Status: fleet.Status{Alive: true}}}
		for _, m := range models {
			e.report.Models = append(e.report.Models, fleet.Resident{Model: m})
		}
		c.engines = append(c.engines, e)
		ep := fleet.Endpoint{ID: e.id, Service: "s", Address: ip + ":9", FailureDomain: "z", Models: e.report.Models}
		view.Endpoints[ep.ID] = ep
		k, err := keeper.New(keeper.Settings{
			Holder: "h" + e.id, Service: "s", Address: ep.Address, Listen: net.JoinHostPort(ip, strconv.Itoa(port)),
			PollInterval: 10 * time.Millisecond, HeartbeatInterval: 10 * time.Millisecond,
		}, e, staticSource{cfg}, entry)
		if err != nil {
			t.Skipf("loopback addresses beside 127.0.0.1 are needed: %v", err)
		}
		wg.Go(func() { k.Run(ctx) })
	}
	c.view.Store(view)
	const self = "127.0.0.1:0"
	c.plane, err = New(Settings{GatewayID: "g", Listen: self, KeeperPort: port, SubscribeInterval: 50 * time.Millisecond, DemandInterval: 50 * time.Millisecond, ModelLoadWindow: loadWindow},
		c.view.Load, lease.New(c.store, lease.Settings{Key: "planner", Holder: self, Term: 4 * time.Second, Margin: 500 * time.Millisecond}), c.store, entry)
	if err != nil {
		t.Fatal(err)
	}
	c.plane.SetHooks(Hooks{
		TakeUsage: func(id string) ([]string, []uint64) {
			if id == "e0" && c.adapterInUse.Load() {
				return []string{"a/x"}, nil
			}
			return nil, nil
		},
		RecentlyUsed:     func(string) bool { return true },
		AddPrefixes:      func(fleet.Endpoint, []uint64) {},
		MergeCrashReport: func(r poison.CrashReport) bool { c.crashReports <- r; return true },
	})
	wg.Go(func() { c.plane.Run(ctx) })
	return c
}

// until waits for a condition.
func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for range 600 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("timed out waiting until %s", what)
}

func clusterConfig(models ...string) fleet.Config {
	e := &fleet.EngineSpec{Slots: 4, AdapterSlots: 1, WeightsMB: 150, LoadsPerSecond: 4, Models: map[string]fleet.Model{}}
	for _, m := range models {
		e.Models[m] = fleet.Model{Name: m, WeightsMB: 70, AdapterMB: 1, StoreLoadTime: time.Second}
	}
	return fleet.NewConfig(1, nil, []fleet.Service{{Name: "s", Engine: e}}, fleet.Limits{})
}

func (c *cluster) checkOrders(t *testing.T) {
	t.Helper()
	for _, e := range c.engines {
		e.mu.Lock()
		for _, b := range e.violations {
			t.Errorf("%s: %s", e.id, b)
		}
		e.mu.Unlock()
	}
}

func TestAdapterAndModelLoads(t *testing.T) {
	c := startCluster(t, clusterConfig("a", "b", "c"), []string{"a", "b"}, []string{"a"})
	until(t, "all keepers have reported", func() bool {
		n := 0
		for _, s := range c.plane.States() {
			if s.StatusSupersedes && s.Status.Alive {
				n++
			}
		}
		return n == len(c.engines)
	})
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	e := c.view.Load().Endpoints["e0"]
	if err := c.plane.LoadAdapter(ctx, e, fleet.ParseModelName("a/x")); err != nil {
		t.Fatal(err)
	}
	// The only adapter slot is in use now.
	c.adapterInUse.Store(true)
	time.Sleep(120 * time.Millisecond)
	if err := c.plane.LoadAdapter(ctx, e, fleet.ParseModelName("a/y")); err == nil {
		t.Error("an adapter was loaded although the only slot is in use")
	}
	// Model c has no replica; the planner loads one without unloading the last of another model.
	until(t, "every model has a replica", func() bool {
		held := map[string]bool{}
		for _, s := range c.plane.States() {
			for _, r := range s.Residents() {
				held[r.Model] = true
			}
		}
		return held["a"] && held["b"] && held["c"]
	})
	c.checkOrders(t)
}

// loads returns the times of all loads in order.
func (c *cluster) loads() []time.Time {
	var out []time.Time
	for _, e := range c.engines {
		e.mu.Lock()
		out = append(out, e.loads...)
		e.mu.Unlock()
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}

// checkLoadRate checks the number of loads that began within any loadWindow.
func (c *cluster) checkLoadRate(t *testing.T) {
	t.Helper()
	loads := c.loads()
	for i := range loads {
		n := 0
		for _, at := range loads[i:] {
			if at.Sub(loads[i]) < loadWindow {
				n++
			}
		}
		// The platform allows, in a window, the rate and a tenth of it plus three loads.
		if float64(n) > 4*loadWindow.Seconds()*1.1+3 {
			t.Fatalf("%d loads began within %v; the weight store allows 4 a second", n, loadWindow)
		}
	}
}

func TestLoadRate(t *testing.T) {
	// Twelve models have no replica, and the weight store allows four loads a second.
	names := []string{"a"}
	for i := range 12 {
		names = append(names, fmt.Sprintf("m%02d", i))
	}
	c := startCluster(t, clusterConfig(names...), []string{"a"}, nil, nil, nil, nil, nil, nil)
	until(t, "all models are loaded", func() bool { return len(c.loads()) >= 12 })
	c.checkLoadRate(t)
	c.checkOrders(t)
}

// TestLoadRateAfterDelayedUnloads checks the load rate when unloads wait for long requests that
// all end at the same time, so that the loads ordered meanwhile could begin at once.
func TestLoadRateAfterDelayedUnloads(t *testing.T) {
	names := []string{"a", "b"}
	var held [][]string
	for i := range 16 {
		names = append(names, fmt.Sprintf("m%02d", i))
		held = append(held, []string{"a", "b"})
	}
	c := startCluster(t, clusterConfig(names...), held...)
	// Without any demand nothing is unloaded.
	defer c.plane.TrackRunning("s", "a")()
	for _, e := range c.engines {
		e.mu.Lock()
		e.unloadsAt = time.Now().Add(4 * time.Second)
		e.mu.Unlock()
	}
	until(t, "ten models are loaded", func() bool { return len(c.loads()) >= 10 })
	c.checkLoadRate(t)
	c.checkOrders(t)
}

// TestUnansweredOrder checks an engine that restarts under its id during an order: the order may
// still take its memory. The planner must account for that and not spend the weight store's
// rate on moves that the keeper can't execute.
func TestUnansweredOrder(t *testing.T) {
	c := startCluster(t, clusterConfig("a", "b", "c"), []string{"a"})
	e := c.engines[0]
	e.mu.Lock()
	e.report.Sequence, e.crashOnLoad = 5, true
	e.mu.Unlock()
	until(t, "the engine restarted", func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return !e.crashOnLoad
	})
	time.Sleep(2 * time.Second)
	c.plane.planner.mu.Lock()
	defer c.plane.planner.mu.Unlock()
	if n := c.plane.planner.lastMoveID; n > 2 {
		t.Errorf("%d moves for an endpoint without free memory, want at most 2", n)
	}
}

// TestCrashReportReturns guards against a crash report that keepers don't pass on whole.
func TestCrashReportReturns(t *testing.T) {
	c := startCluster(t, clusterConfig("a"), []string{"a"}, []string{"a"})
	until(t, "a keeper has reported", func() bool {
		for _, s := range c.plane.States() {
			if s.StatusSupersedes {
				return true
			}
		}
		return false
	})
	want := poison.CrashReport{Crash: 1 << 63, Trial: true, Cleared: []uint64{7}}
	for i := range uint64(3000) {
		want.Keys = append(want.Keys, 1<<62+i)
	}
	c.plane.BroadcastCrashReports([]poison.CrashReport{want})
	keys, cleared := sets.Set[uint64]{}, sets.Set[uint64]{}
	timeout := time.After(3 * time.Second)
	for len(keys) < len(want.Keys) || len(cleared) < 1 {
		select {
		case r := <-c.crashReports:
			if r.Crash != want.Crash || !r.Trial {
				t.Fatalf("the relayed crash report is of crash %d, trial %v", r.Crash, r.Trial)
			}
			for _, k := range r.Keys {
				keys.Add(k)
			}
			for _, k := range r.Cleared {
				cleared.Add(k)
			}
		case <-timeout:
			t.Fatalf("keepers relayed %d of %d keys, %d cleared ones", len(keys), len(want.Keys), len(cleared))
		}
	}
}

// TestStoppingGatewayResigns checks that a gateway that resigns releases the lease at once and
// does not take it again.
func TestStoppingGatewayResigns(t *testing.T) {
	c := startCluster(t, clusterConfig("a"), []string{"a"})
	holder := func() string {
		row, err := c.store.Get(context.Background(), "planner")
		if err != nil {
			t.Fatal(err)
		}
		var r lease.Row
		if row.Version != 0 {
			if err := json.Unmarshal(row.Value, &r); err != nil {
				t.Fatal(err)
			}
		}
		return r.Holder
	}
	until(t, "the gateway is the planner", func() bool { return holder() != "" })
	c.plane.ResignPlanner()
	until(t, "the lease is released", func() bool { return holder() == "" })
	time.Sleep(2 * leaseRefreshInterval)
	if h := holder(); h != "" {
		t.Errorf("the lease is held by %q after the gateway resigned", h)
	}
}

func TestDemandSurvivesTakeover(t *testing.T) {
	c := startCluster(t, clusterConfig("a", "b"), []string{"a"})
	until(t, "the gateway is the planner", func() bool {
		c.plane.planner.mu.Lock()
		defer c.plane.planner.mu.Unlock()
		return c.plane.planner.fencingToken > 0
	})
	for range 200 {
		c.plane.RecordDemand("s", "a", 4000, 100)
	}
	c.plane.reportDemand()
	c.plane.planner.saveDemand(context.Background(), time.Now().Add(time.Hour))
	c.plane.planner.mu.Lock()
	c.plane.planner.savedAt = time.Time{}
	c.plane.planner.mu.Unlock()
	c.plane.planner.saveDemand(context.Background(), time.Now())
	next := newPlanner(c.plane, c.plane.planner.lease, c.store)
	next.loadDemand(context.Background())
	if d := next.totalDemand("s", time.Now()); d["a"].OfferedLoad <= 0 {
		t.Errorf("the next planner loaded the demand %v", d)
	}
}
