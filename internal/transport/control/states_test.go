package control

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"chervilhead/internal/coordination/store"
	"chervilhead/internal/coordination/watch"
	"chervilhead/internal/protocol/dgram"
	"chervilhead/internal/state/fleet"
)

// planeWith returns a plane that knows a number of endpoints and whose keepers have reported.
func planeWith(t *testing.T, endpoints int) (*Plane, []*dgram.EndpointState) {
	t.Helper()
	v := &watch.View{HasConfig: true, Endpoints: map[string]fleet.Endpoint{}}
	var reports []*dgram.EndpointState
	for i := range endpoints {
		e := fleet.Endpoint{ID: fmt.Sprintf("e%03d", i), Service: "s", Address: fmt.Sprintf("10.0.%d.%d:1", i/200, i%200)}
		v.Endpoints[e.ID] = e
		reports = append(reports, &dgram.EndpointState{Address: e.Address, Alive: true, KeeperIncarnation: 1, Models: []dgram.Model{{Name: "m", Adapters: []string{"a", "b"}}}})
	}
	p := startTestGateway(t, "a", &rows{rows: map[string]store.Row{}}, v)
	p.UpdateView(v)
	return p.Plane, reports
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
	// Background work of the gateway allocates some bytes too.
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
	p.reports[reports[1].Address].status.ReceivedAt = time.Now().Add(-keeperSilentAfter)
	p.mu.Unlock()
	time.Sleep(maxSnapshotAge)
	if s := p.States()[1]; !s.KeeperSilent {
		t.Errorf("the keeper is silent: %+v", s)
	}
}
