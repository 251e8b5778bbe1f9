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
	"chervilhead/internal/protocol/dgram"
	"chervilhead/internal/state/clock"
	"chervilhead/internal/state/fleet"
)

// gatedTable is a table service that can be made to refuse one host.
type gatedTable struct {
	store.TableService
	refusing atomic.Bool
}

var errRefused = errors.New("the store refuses this host")

func (t *gatedTable) Get(ctx context.Context, key string) (store.Row, error) {
	if t.refusing.Load() {
		return store.Row{}, errRefused
	}
	return t.TableService.Get(ctx, key)
}

func (t *gatedTable) Commit(ctx context.Context, txn store.Txn) (uint64, error) {
	if t.refusing.Load() {
		return 0, errRefused
	}
	return t.TableService.Commit(ctx, txn)
}

// testGateway is a gateway's Plane with the observations that it received.
type testGateway struct {
	*Plane
	observations chan watch.Observation
}

func startTestGateway(t *testing.T, name string, table store.TableService, view *watch.View) *testGateway {
	t.Helper()
	free, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	self := free.LocalAddr().String()
	_ = free.Close()
	log := logrus.New()
	log.SetOutput(io.Discard)
	p, err := New(Settings{GatewayID: name, Listen: self, KeeperPort: 9, SubscribeInterval: 50 * time.Millisecond, DemandInterval: 20 * time.Millisecond},
		func() *watch.View { return view }, lease.New(table, lease.Settings{Key: "planner", Holder: self, Term: 4 * time.Second, Margin: 500 * time.Millisecond}), table, logrus.NewEntry(log))
	if err != nil {
		t.Fatal(err)
	}
	g := &testGateway{Plane: p, observations: make(chan watch.Observation, 64)}
	p.OnObservation(func(s watch.Observation) { g.observations <- s })
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { p.Run(ctx) })
	t.Cleanup(func() { cancel(); wg.Wait() })
	return g
}

func (g *testGateway) plans() bool {
	g.planner.mu.Lock()
	defer g.planner.mu.Unlock()
	return time.Now().Before(g.planner.leaseUntil)
}

// TestPlannerAnnouncesObservation checks that the planner announces its observations of the store
// to another gateway, and that the other one takes over soon after it resigns.
func TestPlannerAnnouncesObservation(t *testing.T) {
	rows := &rows{rows: map[string]store.Row{}}
	view := &watch.View{
		HasConfig: true, Config: fleet.NewConfig(7, nil, nil, fleet.Limits{}), ConfigConfirmedAt: time.Now().Add(-time.Second),
		EndpointsConfirmedAt: time.Now(), StoreVersion: 40, EndpointsDigest: 99,
		ConfigProven: true, ConfigProof: clock.Reading{Era: 3, Time: time.Hour},
	}
	a := startTestGateway(t, "a", rows, view)
	until(t, "the first gateway is the planner", a.plans)
	b := startTestGateway(t, "b", rows, view)
	var got watch.Observation
	until(t, "the second gateway receives an announcement", func() bool {
		a.UpdateView(view)
		select {
		case got = <-b.observations:
			return true
		default:
			return false
		}
	})
	if n := b.GatewayCount(); n != 2 {
		t.Errorf("the second gateway counts %d gateways, want 2", n)
	}
	if got.StoreVersion != 40 || got.EndpointsDigest != 99 || got.ConfigVersion != 7 || got.ConfigProof != view.ConfigProof {
		t.Errorf("got observation %+v", got)
	}
	if age := time.Since(got.ConfigConfirmedAt); age < time.Second || age > 3*time.Second {
		t.Errorf("the configuration was confirmed %v ago, want 1 s to 3 s", age)
	}
	uncertain := *view
	uncertain.EndpointsUncertain = true
	a.UpdateView(&uncertain)
	time.Sleep(50 * time.Millisecond)
	for len(b.observations) > 0 {
		<-b.observations
	}
	a.UpdateView(&uncertain)
	select {
	case s := <-b.observations:
		t.Errorf("a gateway with uncertain endpoints announced %+v", s)
	case <-time.After(100 * time.Millisecond):
	}
	b.UpdateView(view)
	select {
	case s := <-a.observations:
		t.Errorf("a gateway that isn't the planner announced %+v", s)
	case <-time.After(100 * time.Millisecond):
	}

	a.ResignPlanner()
	began := time.Now()
	until(t, "the second gateway is the planner", b.plans)
	if took := time.Since(began); took > freeLeaseInterval+leaseRefreshInterval {
		t.Errorf("the second gateway took over %v after the first resigned", took)
	}
}

// TestPlannerYieldsWithoutStore checks that when the store refuses the planner but serves another
// gateway, that one takes over before it could have seen the lease expire, and that the two
// never plan at the same time.
func TestPlannerYieldsWithoutStore(t *testing.T) {
	rows := &rows{rows: map[string]store.Row{}}
	view := &watch.View{HasConfig: true, Config: fleet.NewConfig(7, nil, nil, fleet.Limits{}), ConfigConfirmedAt: time.Now(), EndpointsConfirmedAt: time.Now(), StoreVersion: 40, EndpointsDigest: 99}
	table := &gatedTable{TableService: rows}
	a := startTestGateway(t, "a", table, view)
	until(t, "the first gateway is the planner", a.plans)
	b := startTestGateway(t, "b", rows, view)
	until(t, "the second gateway receives an announcement", func() bool { a.UpdateView(view); return len(b.observations) > 0 })
	table.refusing.Store(true)
	began := time.Now()
	until(t, "the second gateway is the planner", func() bool {
		if a.plans() && b.plans() {
			t.Fatal("both gateways plan")
		}
		return b.plans()
	})
	// Without a yield, the second gateway could see the expiry of the 4 s lease only 4 s after
	// it has read the row.
	if took := time.Since(began); took > 4*time.Second {
		t.Errorf("the second gateway took over %v after the store refused the first", took)
	}
	table.refusing.Store(false)
	time.Sleep(time.Second)
	if a.plans() || !b.plans() {
		t.Errorf("the first gateway plans %v, the second %v", a.plans(), b.plans())
	}
}

func TestLeaseRefreshDue(t *testing.T) {
	now := time.Unix(1000, 0)
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	for _, tc := range []struct {
		name        string
		p           *planner
		lastRefresh time.Time
		want        bool
	}{
		{"at the start", &planner{}, time.Time{}, true},
		{"while another gateway announces itself", &planner{announcedAt: ago(500 * time.Millisecond), holder: "h"}, ago(time.Minute), false},
		{"when the other gateway falls silent", &planner{announcedAt: ago(plannerSilentAfter), holder: "h"}, ago(time.Minute), true},
		{"not before the refresh interval while it stays silent", &planner{announcedAt: ago(2 * time.Second), holder: "h"}, ago(time.Second), false},
		{"after the refresh interval while it stays silent", &planner{announcedAt: ago(4 * time.Second), holder: "h"}, ago(leaseRefreshInterval), true},
		{"sooner while nobody holds the lease", &planner{}, ago(freeLeaseInterval), true},
		{"the holder renews", &planner{suspended: notSuspended, leaseUntil: now.Add(time.Second), holder: "self"}, ago(leaseRefreshInterval), true},
		{"the holder renews although a frozen gateway announced itself", &planner{suspended: notSuspended, leaseUntil: now.Add(time.Second), announcedAt: ago(0), holder: "h"}, ago(leaseRefreshInterval), true},
		{"the holder retries sooner after a failed refresh", &planner{suspended: notSuspended, leaseUntil: now.Add(time.Second), holder: "self", refreshFailures: 1}, ago(leaseRetryInterval), true},
		{"the holder does not renew before the refresh interval", &planner{suspended: notSuspended, leaseUntil: now.Add(time.Second), holder: "self"}, ago(time.Second), false},
	} {
		if got := tc.p.refreshDue(tc.lastRefresh, now); got != tc.want {
			t.Errorf("%s: due %v", tc.name, got)
		}
	}
}

// TestKeepersAbsent checks that keepers count as absent only once they have had time to start.
func TestKeepersAbsent(t *testing.T) {
	p := startTestGateway(t, "a", &rows{rows: map[string]store.Row{}}, &watch.View{Endpoints: map[string]fleet.Endpoint{"e": {ID: "e", Service: "s", Address: "127.0.0.1:9"}}})
	if p.KeepersAbsent("s") {
		t.Error("keepers are absent right after the start")
	}
	p.startedAt = time.Now().Add(-keeperStartupTime)
	if !p.KeepersAbsent("s") {
		t.Error("no keeper has reported, and keepers are not absent")
	}
	for age, want := range map[time.Duration]bool{time.Second: false, keeperSilentFor + time.Second: true} {
		p.mu.Lock()
		p.reports["127.0.0.1:9"] = &report{status: fleet.Status{ReceivedAt: time.Now().Add(-age)}}
		p.mu.Unlock()
		if got := p.KeepersAbsent("s"); got != want {
			t.Errorf("the last report came %v ago: absent %v", age, got)
		}
	}
}

func notSuspended() time.Duration { return 0 }

// TestSuspendedPlanner guards against orders of a planner whose machine was suspended until
// another gateway could take its lease.
func TestSuspendedPlanner(t *testing.T) {
	var suspended time.Duration
	now := time.Now()
	p := &planner{suspended: func() time.Duration { return suspended }, leaseUntil: now.Add(3 * time.Second)}
	if !p.holdsLease(now) {
		t.Error("the planner does not hold its lease before the suspension")
	}
	suspended = 4 * time.Second
	if p.holdsLease(now) {
		t.Error("the planner still counts on its lease after a suspension of 4s")
	}
	p.wake = make(chan struct{}, 1)
	p.handleAnnouncement(&dgram.PlannerStatus{Gateways: 3}, "other", now)
	if p.holder != "other" {
		t.Error("the planner ignores the announcement of the gateway that took over")
	}
}

// TestPlannerLearnsNewerConfig guards against a planner that started on a restored store and takes the copy's configuration, with keys that a lost one had removed, for the newest one although another gateway holds a newer one.
func TestPlannerLearnsNewerConfig(t *testing.T) {
	rows := &rows{rows: map[string]store.Row{}}
	viewOf := func(config uint64) *watch.View {
		return &watch.View{HasConfig: true, Config: fleet.NewConfig(config, nil, nil, fleet.Limits{}), ConfigConfirmedAt: time.Now(), EndpointsConfirmedAt: time.Now(), StoreVersion: 40, EndpointsDigest: 99}
	}
	older, newer := viewOf(7), viewOf(8)
	a := startTestGateway(t, "a", rows, older)
	until(t, "the first gateway is the planner", a.plans)
	b := startTestGateway(t, "b", rows, newer)
	until(t, "the planner learns of the newer configuration", func() bool {
		a.UpdateView(older)
		for len(b.observations) > 0 {
			<-b.observations
		}
		select {
		case got := <-a.observations:
			return got.ConfigVersion == 8
		default:
			return false
		}
	})
}

// TestGatewayCountAfterLossOfAllHosts guards against gateways that take the number of those that came back first, or that are still heard, for the number of all.
func TestGatewayCountAfterLossOfAllHosts(t *testing.T) {
	view := &watch.View{HasConfig: true, Config: fleet.NewConfig(7, nil, nil, fleet.Limits{}), EndpointsConfirmedAt: time.Now(), StoreVersion: 40}
	a := startTestGateway(t, "a", &rows{rows: map[string]store.Row{}}, view)
	report := func(keeperIncarnation int64, sequence uint64, gateways int) {
		a.handleEndpointState(&dgram.EndpointState{Address: "10.0.0.1:1", KeeperIncarnation: keeperIncarnation, MessageSequence: sequence, Alive: true, Gateways: gateways})
	}
	// A keeper that has just started has heard of one gateway.
	report(1, 1, 1)
	if n := a.GatewayBound(); n < defaultGatewayCount {
		t.Errorf("limits are divided by %d while keepers may still count, want %d or more", n, defaultGatewayCount)
	}
	a.mu.Lock()
	a.startedAt = time.Now().Add(-gatewayCountSettled)
	a.mu.Unlock()
	report(1, 2, 22)
	if n := a.GatewayBound(); n != 22 {
		t.Errorf("limits are divided by %d, want the number that a keeper has counted, 22", n)
	}
	report(1, 3, 4)
	if n := a.GatewayBound(); n != 22 {
		t.Errorf("limits are divided by %d after most gateways fell silent, want 22", n)
	}
	report(2, 1, 1)
	if n := a.GatewayBound(); n != 22 {
		t.Errorf("limits are divided by %d after a restart of the keeper, want 22", n)
	}
	if peak := (gatewayPeak{22, time.Now()}).with(4, time.Now().Add(silentGatewayTime+time.Second)); peak.count != 4 {
		t.Errorf("limits are divided by %d for gateways that are gone for good, want 4", peak.count)
	}
}
