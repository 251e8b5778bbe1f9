package control

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"chervilhead/internal/coordination/lease"
	"chervilhead/internal/coordination/store"
	"chervilhead/internal/coordination/watch"
	"chervilhead/internal/state/fleet"
)

// door is one host's way to a table service, which may refuse it.
type door struct {
	store.TableService
	closed atomic.Bool
}

var errClosed = errors.New("the store refuses this host")

func (d *door) Get(ctx context.Context, key string) (store.Row, error) {
	if d.closed.Load() {
		return store.Row{}, errClosed
	}
	return d.TableService.Get(ctx, key)
}

func (d *door) Commit(ctx context.Context, txn store.Txn) (uint64, error) {
	if d.closed.Load() {
		return 0, errClosed
	}
	return d.TableService.Commit(ctx, txn)
}

// gate is a gateway's desk with what it heard.
type gate struct {
	*Plane
	heard chan watch.Observation
}

func startGate(t *testing.T, name string, rows store.TableService, view *watch.View) *gate {
	t.Helper()
	free, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	self := free.LocalAddr().String()
	_ = free.Close()
	log := logrus.New()
	log.SetOutput(io.Discard)
	d, err := New(Settings{GatewayID: name, Listen: self, KeeperPort: 9, SubscribeInterval: 50 * time.Millisecond, DemandInterval: 20 * time.Millisecond},
		func() *watch.View { return view }, lease.New(rows, lease.Settings{Key: "planner", Holder: self, Term: 4 * time.Second, Margin: 500 * time.Millisecond}), rows, logrus.NewEntry(log))
	if err != nil {
		t.Fatal(err)
	}
	g := &gate{Plane: d, heard: make(chan watch.Observation, 64)}
	d.OnObservation(func(s watch.Observation) { g.heard <- s })
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { d.Run(ctx) })
	t.Cleanup(func() { cancel(); wg.Wait() })
	return g
}

func (g *gate) plans() bool {
	g.planner.mu.Lock()
	defer g.planner.mu.Unlock()
	return time.Now().Before(g.planner.until)
}

// TestPlannerTellsWhatItRead plays two gateways: the one that plans tells the other what
// it read in the store, and another one plans soon after it stops.
func TestPlannerTellsWhatItRead(t *testing.T) {
	rows := &rows{rows: map[string]store.Row{}}
	view := &watch.View{
		HasConfig: true, Config: fleet.NewConfig(7, nil, nil, fleet.Limits{}), ConfigConfirmedAt: time.Now().Add(-time.Second),
		EndpointsConfirmedAt: time.Now(), StoreVersion: 40, EndpointsDigest: 99,
	}
	a := startGate(t, "a", rows, view)
	until(t, "the first gateway plans", a.plans)
	b := startGate(t, "b", rows, view)
	var got watch.Observation
	until(t, "the second gateway hears the first", func() bool {
		a.UpdateView(view)
		select {
		case got = <-b.heard:
			return true
		default:
			return false
		}
	})
	if got.StoreVersion != 40 || got.EndpointsDigest != 99 || got.ConfigVersion != 7 {
		t.Errorf("heard %+v", got)
	}
	if age := time.Since(got.ConfigConfirmedAt); age < time.Second || age > 3*time.Second {
		t.Errorf("the configuration was confirmed %v ago, want one second and the way", age)
	}
	doubtful := *view
	doubtful.EndpointsUncertain = true
	a.UpdateView(&doubtful)
	time.Sleep(50 * time.Millisecond)
	for len(b.heard) > 0 {
		<-b.heard
	}
	a.UpdateView(&doubtful)
	select {
	case s := <-b.heard:
		t.Errorf("a gateway that may keep endpoints that are gone announced %+v", s)
	case <-time.After(100 * time.Millisecond):
	}
	b.UpdateView(view)
	select {
	case s := <-a.heard:
		t.Errorf("a gateway that doesn't plan announced %+v", s)
	case <-time.After(100 * time.Millisecond):
	}

	a.ResignPlanner()
	began := time.Now()
	until(t, "the second gateway plans", b.plans)
	if took := time.Since(began); took > freeEvery+leaseEvery {
		t.Errorf("the second gateway planned %v after the first stopped", took)
	}
}

// TestPlannerWithoutStore lets the store refuse the gateway that plans and serve another:
// that one plans before the first one's lease would have run out for it, and at no time do
// both plan.
func TestPlannerWithoutStore(t *testing.T) {
	rows := &rows{rows: map[string]store.Row{}}
	view := &watch.View{HasConfig: true, Config: fleet.NewConfig(7, nil, nil, fleet.Limits{}), ConfigConfirmedAt: time.Now(), EndpointsConfirmedAt: time.Now(), StoreVersion: 40, EndpointsDigest: 99}
	way := &door{TableService: rows}
	a := startGate(t, "a", way, view)
	until(t, "the first gateway plans", a.plans)
	b := startGate(t, "b", rows, view)
	until(t, "the second gateway hears the first", func() bool { a.UpdateView(view); return len(b.heard) > 0 })
	way.closed.Store(true)
	began := time.Now()
	until(t, "the second gateway plans", func() bool {
		if a.plans() && b.plans() {
			t.Fatal("both gateways plan")
		}
		return b.plans()
	})
	// The first one's lease has 4 s, of which some have passed, and the second one can see
	// that only 4 s after it has read the row.
	if took := time.Since(began); took > 4*time.Second {
		t.Errorf("the second gateway planned %v after the store refused the first", took)
	}
	way.closed.Store(false)
	time.Sleep(time.Second)
	if a.plans() || !b.plans() {
		t.Errorf("the first gateway plans %v, the second %v", a.plans(), b.plans())
	}
}

func TestLeaseIsReadWhenDue(t *testing.T) {
	now := time.Unix(1000, 0)
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	for _, tc := range []struct {
		name  string
		p     *planner
		asked time.Time
		want  bool
	}{
		{"at the start", &planner{}, time.Time{}, true},
		{"while another gateway announces itself", &planner{heardAt: ago(500 * time.Millisecond), holder: "h"}, ago(time.Minute), false},
		{"when it falls silent", &planner{heardAt: ago(awayAfter), holder: "h"}, ago(time.Minute), true},
		{"while it stays silent, not sooner than usual", &planner{heardAt: ago(2 * time.Second), holder: "h"}, ago(time.Second), false},
		{"and then again", &planner{heardAt: ago(4 * time.Second), holder: "h"}, ago(leaseEvery), true},
		{"soon while nobody holds it", &planner{}, ago(freeEvery), true},
		{"the holder renews", &planner{until: now.Add(time.Second), holder: "self"}, ago(leaseEvery), true},
		{"though a frozen one announced itself", &planner{until: now.Add(time.Second), heardAt: ago(0), holder: "h"}, ago(leaseEvery), true},
		{"sooner after a refresh that failed", &planner{until: now.Add(time.Second), holder: "self", failures: 1}, ago(renewAgain), true},
		{"but not too often", &planner{until: now.Add(time.Second), holder: "self"}, ago(time.Second), false},
	} {
		if got := tc.p.due(tc.asked, now); got != tc.want {
			t.Errorf("%s: due %v", tc.name, got)
		}
	}
}
