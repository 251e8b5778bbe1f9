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
	"chervilhead/internal/transport/keeper"
)

// rows is a table service in memory.
type rows struct {
	mu      sync.Mutex
	rows    map[string]store.Row
	version uint64
}

func (r *rows) Read(context.Context, string) (store.Snapshot, error) { return store.Snapshot{}, nil }

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

// engine carries out orders at once and checks their sequence and memory.
type engine struct {
	mu     sync.Mutex
	id     string
	report keeper.Report
	loads  []time.Time
	broken []string
	// dropsAt is when accepted unloads take effect; until then their runs go on.
	dropsAt time.Time
	drops   []string
	// crashes makes the engine restart at the next order to load a model, which gets no answer.
	crashes bool
}

func (e *engine) Report(context.Context) (keeper.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.drops) > 0 && !time.Now().Before(e.dropsAt) {
		e.report.Models = slices.DeleteFunc(slices.Clone(e.report.Models), func(r fleet.Resident) bool { return slices.Contains(e.drops, r.Model) })
		e.drops = nil
	}
	r := e.report
	r.Models = slices.Clone(r.Models)
	return r, nil
}

func (e *engine) Identify(context.Context, string) (string, error) { return e.id, nil }

func (e *engine) Order(_ context.Context, o keeper.Order) (keeper.OrderResult, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.ExpectedSequence != e.report.Sequence {
		return keeper.Rejected, fmt.Errorf("sequence is %d", e.report.Sequence)
	}
	if o.FencingToken == 0 || o.ExpectedEndpoint != e.id {
		e.broken = append(e.broken, fmt.Sprintf("order with fence %d for endpoint %q", o.FencingToken, o.ExpectedEndpoint))
	}
	if e.crashes && o.Name.Adapter == "" {
		e.crashes, e.report.Sequence = false, 0
		e.report.Incarnation++
		return keeper.Unanswered, errors.New("no answer")
	}
	e.report.Sequence++
	i := slices.IndexFunc(e.report.Models, func(r fleet.Resident) bool { return r.Model == o.Name.Model })
	switch {
	case o.Name.Adapter != "" && !o.Unload && i >= 0:
		e.report.Models[i].Adapters = append(slices.Clone(e.report.Models[i].Adapters), o.Name.Adapter)
	case o.Unload && time.Now().Before(e.dropsAt):
		e.drops = append(e.drops, o.Name.Model)
	case o.Unload && i >= 0:
		e.report.Models = slices.Delete(slices.Clone(e.report.Models), i, i+1)
	case !o.Unload && o.Name.Adapter == "":
		e.report.Models = append(slices.Clone(e.report.Models), fleet.Resident{Model: o.Name.Model})
		e.loads = append(e.loads, time.Now())
		if len(e.report.Models) > 2 {
			e.broken = append(e.broken, fmt.Sprintf("the engine holds %v", e.report.Models))
		}
	}
	return keeper.Accepted, nil
}

type source struct{ cfg fleet.Config }

func (s source) Config(context.Context, uint64, time.Duration) (watch.ConfigChange, error) {
	return watch.ConfigChange{Version: 5, Config: s.cfg, Changed: true}, nil
}

func (s source) Endpoints(context.Context, uint64) (watch.EndpointChange, error) {
	return watch.EndpointChange{}, nil
}

// townWindow is the time over which the town's weight store counts loads.
const townWindow = time.Second

// town is a desk with keepers on loopback addresses of their own.
type town struct {
	desk    *Plane
	engines []*engine
	view    atomic.Pointer[watch.View]
	store   *rows
	// marks are those that came back.
	marks chan poison.CrashRecord
	// inUse is set while the first endpoint's adapter x is in use.
	inUse atomic.Bool
}

func startTown(t *testing.T, cfg fleet.Config, held ...[]string) *town {
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
	w := &town{marks: make(chan poison.CrashRecord, 64), store: &rows{rows: map[string]store.Row{}}}
	view := &watch.View{HasConfig: true, Config: cfg, Endpoints: map[string]fleet.Endpoint{}}
	for i, models := range held {
		ip := fmt.Sprintf("127.0.0.%d", 11+i)
		e := &engine{id: "e" + strconv.Itoa(i), report: keeper.Report{Status: fleet.Status{Alive: true}}}
		for _, m := range models {
			e.report.Models = append(e.report.Models, fleet.Resident{Model: m})
		}
		w.engines = append(w.engines, e)
		ep := fleet.Endpoint{ID: e.id, Service: "s", Address: ip + ":9", FailureDomain: "z", Models: e.report.Models}
		view.Endpoints[ep.ID] = ep
		k, err := keeper.New(keeper.Settings{
			Holder: "h" + e.id, Service: "s", Address: ep.Address, Listen: net.JoinHostPort(ip, strconv.Itoa(port)),
			PollInterval: 10 * time.Millisecond, MinStateInterval: 10 * time.Millisecond, HeartbeatInterval: 50 * time.Millisecond,
		}, e, source{cfg}, entry)
		if err != nil {
			t.Skipf("loopback addresses beside 127.0.0.1 are needed: %v", err)
		}
		wg.Go(func() { k.Run(ctx) })
	}
	w.view.Store(view)
	const self = "127.0.0.1:0"
	w.desk, err = New(Settings{GatewayID: "g", Listen: self, KeeperPort: port, SubscribeInterval: 50 * time.Millisecond, DemandInterval: 50 * time.Millisecond, ModelLoadWindow: townWindow},
		w.view.Load, lease.New(w.store, lease.Settings{Key: "planner", Holder: self, Term: 4 * time.Second, Margin: 500 * time.Millisecond}), w.store, entry)
	if err != nil {
		t.Fatal(err)
	}
	w.desk.SetHooks(func(id string) ([]string, []uint64) {
		if id == "e0" && w.inUse.Load() {
			return []string{"a/x"}, nil
		}
		return nil, nil
	}, func(fleet.Endpoint, []uint64) {}, func(m poison.CrashRecord) { w.marks <- m })
	wg.Go(func() { w.desk.Run(ctx) })
	return w
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
	t.Fatalf("waited in vain until %s", what)
}

func townConfig(models ...string) fleet.Config {
	e := &fleet.EngineSpec{Slots: 4, AdapterSlots: 1, WeightsMB: 150, LoadsPerSecond: 4, Models: map[string]fleet.Model{}}
	for _, m := range models {
		e.Models[m] = fleet.Model{Name: m, WeightsMB: 70, AdapterMB: 1, StoreLoadTime: time.Second}
	}
	return fleet.NewConfig(1, nil, []fleet.Service{{Name: "s", Engine: e}}, fleet.Limits{})
}

func (w *town) check(t *testing.T) {
	t.Helper()
	for _, e := range w.engines {
		e.mu.Lock()
		for _, b := range e.broken {
			t.Errorf("%s: %s", e.id, b)
		}
		e.mu.Unlock()
	}
}

func TestFetchAndReach(t *testing.T) {
	w := startTown(t, townConfig("a", "b", "c"), []string{"a", "b"}, []string{"a"})
	until(t, "all keepers have reported", func() bool {
		n := 0
		for _, s := range w.desk.States() {
			if s.Reported && s.Status.Alive {
				n++
			}
		}
		return n == len(w.engines)
	})
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	e := w.view.Load().Endpoints["e0"]
	if err := w.desk.LoadAdapter(ctx, e, fleet.ParseModelName("a/x")); err != nil {
		t.Fatal(err)
	}
	// The only place for an adapter is in use now.
	w.inUse.Store(true)
	time.Sleep(120 * time.Millisecond)
	if err := w.desk.LoadAdapter(ctx, e, fleet.ParseModelName("a/y")); err == nil {
		t.Error("an adapter was fetched although the only place is in use")
	}
	// Model c has no copy; the planner gives it one without taking the last of another.
	until(t, "every model has a copy", func() bool {
		held := map[string]bool{}
		for _, s := range w.desk.States() {
			for _, r := range s.Residents() {
				held[r.Model] = true
			}
		}
		return held["a"] && held["b"] && held["c"]
	})
	w.check(t)
}

// loads returns the times of all loads in order.
func (w *town) loads() []time.Time {
	var out []time.Time
	for _, e := range w.engines {
		e.mu.Lock()
		out = append(out, e.loads...)
		e.mu.Unlock()
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}

// checkRate checks the loads that began within any window of the town's planner.
func (w *town) checkRate(t *testing.T) {
	t.Helper()
	list := w.loads()
	for i := range list {
		n := 0
		for _, at := range list[i:] {
			if at.Sub(list[i]) < townWindow {
				n++
			}
		}
		// The platform's bound in a window: the rate, a tenth more, and three.
		if float64(n) > 4*townWindow.Seconds()*1.1+3 {
			t.Fatalf("%d loads began within %v; the weight store allows 4 a second", n, townWindow)
		}
	}
}

func TestLoadsKeepTheRate(t *testing.T) {
	// Twelve models have no copy, and the weight store allows four loads a second.
	names := []string{"a"}
	for i := range 12 {
		names = append(names, fmt.Sprintf("m%02d", i))
	}
	w := startTown(t, townConfig(names...), []string{"a"}, nil, nil, nil, nil, nil, nil)
	until(t, "all models are loaded", func() bool { return len(w.loads()) >= 12 })
	w.checkRate(t)
	w.check(t)
}

// TestLateLoadsKeepTheRate plays engines whose unloads wait for long runs that all end at
// one time, so that the loads ordered meanwhile could begin at once.
func TestLateLoadsKeepTheRate(t *testing.T) {
	names := []string{"a", "b"}
	var held [][]string
	for i := range 16 {
		names = append(names, fmt.Sprintf("m%02d", i))
		held = append(held, []string{"a", "b"})
	}
	w := startTown(t, townConfig(names...), held...)
	for _, e := range w.engines {
		e.mu.Lock()
		e.dropsAt = time.Now().Add(4 * time.Second)
		e.mu.Unlock()
	}
	until(t, "ten models are loaded", func() bool { return len(w.loads()) >= 10 })
	w.checkRate(t)
	w.check(t)
}

// TestOrderWithoutAnswer plays an engine that restarts under its id at an order: its memory
// may be taken by what comes late. The planner knows that and doesn't spend the weight
// store's rate on orders that the keeper can't give.
func TestOrderWithoutAnswer(t *testing.T) {
	w := startTown(t, townConfig("a", "b", "c"), []string{"a"})
	e := w.engines[0]
	e.mu.Lock()
	e.report.Sequence, e.crashes = 5, true
	e.mu.Unlock()
	until(t, "the engine restarted", func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return !e.crashes
	})
	time.Sleep(2 * time.Second)
	w.desk.planner.mu.Lock()
	defer w.desk.planner.mu.Unlock()
	if n := w.desk.planner.lastID; n > 2 {
		t.Errorf("%d orders for a keeper that has no room", n)
	}
}

func TestMarksComeRound(t *testing.T) {
	w := startTown(t, townConfig("a"), []string{"a"}, []string{"a"})
	until(t, "a keeper has reported", func() bool {
		for _, s := range w.desk.States() {
			if s.Reported {
				return true
			}
		}
		return false
	})
	w.desk.BroadcastCrashRecord(poison.CrashRecord{Fingerprint: "f", Model: "a", Crashes: []poison.Crash{{ID: "r1", Level: poison.LevelShared}, {ID: "r2", Level: poison.LevelCleared}}})
	select {
	case m := <-w.marks:
		if m.Fingerprint != "f" || len(m.Crashes) != 2 || m.Crashes[0].Level != poison.LevelShared || m.Crashes[1].Level != poison.LevelCleared {
			t.Errorf("the mark came back as %+v", m)
		}
	case <-time.After(3 * time.Second):
		t.Fatal("no keeper passed the mark on")
	}
}

// TestStoppingGatewayResigns checks that a gateway that stops gives the lease up at once
// and does not take it again.
func TestStoppingGatewayResigns(t *testing.T) {
	w := startTown(t, townConfig("a"), []string{"a"})
	holder := func() string {
		row, err := w.store.Get(context.Background(), "planner")
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
	until(t, "the gateway plans", func() bool { return holder() != "" })
	w.desk.ResignPlanner()
	until(t, "the lease is given up", func() bool { return holder() == "" })
	time.Sleep(2 * leaseEvery)
	if h := holder(); h != "" {
		t.Errorf("the lease is held by %q after the gateway resigned", h)
	}
}

func TestDemandOutlivesThePlanner(t *testing.T) {
	w := startTown(t, townConfig("a", "b"), []string{"a"})
	until(t, "the gateway plans", func() bool {
		w.desk.planner.mu.Lock()
		defer w.desk.planner.mu.Unlock()
		return w.desk.planner.term > 0
	})
	for range 200 {
		w.desk.RecordDemand("s", "a", 4000, 100)
	}
	w.desk.say()
	w.desk.planner.remember(context.Background(), time.Now().Add(time.Hour))
	w.desk.planner.mu.Lock()
	w.desk.planner.wrote = time.Time{}
	w.desk.planner.mu.Unlock()
	w.desk.planner.remember(context.Background(), time.Now())
	next := newPlanner(w.desk, w.desk.planner.lease, w.store)
	next.recall(context.Background())
	if d := next.total("s", time.Now()); d["a"].OfferedLoad <= 0 {
		t.Errorf("the next planner knows the demand %v", d)
	}
}
