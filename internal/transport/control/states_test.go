package control

import (
	"fmt"
	"io"
	"runtime"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"chervilhead/internal/coordination/lease"
	"chervilhead/internal/coordination/store"
	"chervilhead/internal/coordination/watch"
	"chervilhead/internal/protocol/dgram"
	"chervilhead/internal/state/fleet"
)

// planeWith returns a plane that knows a number of endpoints, and reports of their keepers. Its
// background tasks don't run.
func planeWith(t *testing.T, endpoints int) (*Plane, []*dgram.EndpointState) {
	t.Helper()
	v := &watch.View{HasConfig: true, Endpoints: map[string]fleet.Endpoint{}}
	var reports []*dgram.EndpointState
	for i := range endpoints {
		e := fleet.Endpoint{ID: fmt.Sprintf("e%03d", i), Service: "s", Address: fmt.Sprintf("10.0.%d.%d:1", i/200, i%200)}
		v.Endpoints[e.ID] = e
		reports = append(reports, &dgram.EndpointState{Address: e.Address, Alive: true, KeeperIncarnation: 1, Models: []dgram.Model{{Name: "m", Adapters: []string{"a", "b"}}}})
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	table := &rows{rows: map[string]store.Row{}}
	p, err := New(Settings{GatewayID: "a", Listen: "127.0.0.1:0", KeeperPort: 9}, func() *watch.View { return v }, lease.New(table, lease.Settings{Key: "planner", Holder: "a", Term: time.Second}), table, logrus.NewEntry(log))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = p.conn.Close() })
	return p, reports
}

// TestReportCost guards against work for each keeper's report that grows with the number of
// endpoints: with both, a gateway's work would grow with the square of the fleet.
func TestReportCost(t *testing.T) {
	cost := func(endpoints int) float64 {
		p, reports := planeWith(t, endpoints)
		const rounds = 5000
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for i := range rounds {
			m := reports[i%len(reports)]
			m.MessageSequence++
			m.Running++
			p.handleEndpointState(m)
		}
		runtime.ReadMemStats(&after)
		return float64(after.TotalAlloc-before.TotalAlloc) / rounds
	}
	few, many := cost(20), cost(400)
	if perEndpoint := (many - few) / 380; perEndpoint > 4 {
		t.Errorf("a report allocates %.0f bytes with 20 endpoints and %.0f with 400", few, many)
	}
}

// TestStates checks that States shows each report, and a keeper's silence, at the next call.
func TestStates(t *testing.T) {
	p, reports := planeWith(t, 3)
	for i := range 5 {
		reports[1].MessageSequence++
		reports[1].Running = i
		p.handleEndpointState(reports[1])
		if s := p.States()[1]; !s.StatusSupersedes || s.Status.Running != i || s.KeeperSilent {
			t.Fatalf("after report %d: %+v", i, s)
		}
	}
	p.mu.Lock()
	p.reports[reports[1].Address].status.ReceivedAt = time.Now().Add(-idleKeeperSilentAfter)
	p.mu.Unlock()
	time.Sleep(maxSnapshotAge)
	if s := p.States()[1]; !s.KeeperSilent {
		t.Errorf("the keeper is silent: %+v", s)
	}
}

// TestSubscriptionsFollowUse guards against traffic that grows with the number of engines at the
// rate that only the engines in use need, and against a suspicion of keepers that report seldom
// because they were asked to.
func TestSubscriptionsFollowUse(t *testing.T) {
	p, reports := planeWith(t, 100)
	used := map[string]bool{"e003": true}
	p.hooks.RecentlyUsed = func(id string) bool { return used[id] }
	var sent int
	for _, m := range reports {
		m.MessageSequence++
		p.handleEndpointState(m)
	}
	for tick := range ticksPerIdleSubscription {
		sent += p.subscribeDue(tick, time.Now())
	}
	// One tick more for the engine that has just come into use.
	if most := 100 + ticksPerIdleSubscription/ticksPerSubscription + 1; sent > most {
		t.Errorf("%d subscriptions in %d ticks, want at most %d", sent, ticksPerIdleSubscription, most)
	}
	now := time.Now()
	for _, tc := range []struct {
		name, id string
		since    time.Duration
		age      time.Duration
		silent   bool
	}{
		{"an engine in use", "e003", time.Minute, keeperSilentAfter + time.Millisecond, true},
		{"an engine that has just come into use", "e003", 0, keeperSilentAfter + time.Millisecond, false},
		{"an engine not in use", "e004", 0, idleReportInterval, false},
		{"an engine not in use, after two missed reports", "e004", 0, idleKeeperSilentAfter + time.Millisecond, true},
		{"a keeper that is gone", "e004", 0, keeperSilentFor, false},
	} {
		p.mu.Lock()
		p.usedSince["e003"] = now.Add(-tc.since)
		got := p.keeperSilent(tc.id, now.Add(-tc.age), now)
		p.mu.Unlock()
		if got != tc.silent {
			t.Errorf("%s: silent %v", tc.name, got)
		}
	}
}
